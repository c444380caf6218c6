#include "jobs/leader_client.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wigeonstair::jobs {

namespace {

// Maximum number of known addresses; the oldest are dropped first.
constexpr std::size_t kMaximumAddresses = 32;

}  // namespace

LeaderClient::LeaderClient(LeaderClientOptions options)
    : options_(std::move(options)) {
  AddSeeds(options_.seeds);
}

void LeaderClient::AddSeeds(const std::vector<std::string>& seeds) {
  const std::lock_guard lock(mutex_);
  for (const std::string& seed : seeds) {
    if (seed == options_.self || std::find(addresses_.begin(), addresses_.end(),
                                           seed) != addresses_.end()) {
      continue;
    }
    addresses_.push_back(seed);
  }
  if (addresses_.size() > kMaximumAddresses) {
    addresses_.erase(addresses_.begin(), addresses_.end() - kMaximumAddresses);
  }
}

std::optional<base::Instant> LeaderClient::last_answer() const {
  const std::lock_guard lock(mutex_);
  return last_answer_;
}

std::string LeaderClient::leader() const {
  const std::lock_guard lock(mutex_);
  return leader_;
}

std::optional<std::string> LeaderClient::RecentLeader() const {
  const std::lock_guard lock(mutex_);
  if (leader_.empty() || !last_answer_ ||
      base::MonotonicClock::now() - *last_answer_ > options_.leader_validity) {
    return std::nullopt;
  }
  return leader_;
}

void LeaderClient::Send(const Call& call,
                        base::Instant deadline,
                        std::function<void(LeaderCallResult)> done) {
  const base::Instant now = base::MonotonicClock::now();
  const base::Duration unsent_timeout =
      std::min(options_.unsent_timeout,
               (deadline - now) / options_.unsent_timeout_divisor);
  auto pending =
      std::make_shared<Pending>(Pending{.body = EncodeCall(call),
                                        .deadline = deadline,
                                        .unsent_deadline = now + unsent_timeout,
                                        .done = std::move(done)});
  options_.loop->Post([this, pending] { Try(pending); });
}

void LeaderClient::Probe() {
  options_.loop->Post([this] { ProbeAll(); });
}

void LeaderClient::Try(const PendingPointer& pending) {
  const base::Instant now = base::MonotonicClock::now();
  if (now >= pending->deadline) {
    Fail(pending);
    return;
  }
  const auto leader = RecentLeader();
  const auto channel = leader ? options_.channels->Open(*leader) : nullptr;
  if (!channel) {
    Wait(pending);
    return;
  }
  const base::Duration timeout =
      std::min(options_.try_timeout, pending->deadline - now);
  channel->Call(kCallMessage, pending->body, timeout,
                [this, pending, leader](const net::CallOutcome& outcome) {
                  Handle(pending, *leader, outcome);
                });
}

void LeaderClient::Handle(const PendingPointer& pending,
                          const std::string& address,
                          const net::CallOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome)) {
    if (error->code != base::ErrorCode::kUnavailable)
      pending->delivery = Delivery::kMaybeSent;
    DropLeader(address);
    return Wait(pending);
  }
  const auto decoded = base::Capture(
      [&] { return DecodeEnvelope(std::get<std::string>(outcome)); });
  const auto* envelope = std::get_if<Envelope>(&decoded);
  if (envelope == nullptr) {
    pending->delivery = Delivery::kMaybeSent;
    DropLeader(address);
    return Wait(pending);
  }
  UpdateLeader(*envelope, address);
  if (envelope->reply && envelope->reply->status == ReplyStatus::kUnknown)
    pending->delivery = Delivery::kMaybeSent;
  const bool settled = envelope->reply &&
                       envelope->reply->status != ReplyStatus::kUnavailable &&
                       envelope->reply->status != ReplyStatus::kUnknown;
  if (settled)
    pending->done({.reply = *envelope->reply});
  else
    Wait(pending);
}

void LeaderClient::Wait(const PendingPointer& pending) {
  waiting_.push_back(pending);
  if (!std::exchange(probing_, true))
    ProbeWhileWaiting();
}

void LeaderClient::Fail(const PendingPointer& pending) {
  const bool unsent = pending->delivery == Delivery::kNothingSent;
  pending->done({.reply = {.status = unsent ? ReplyStatus::kUnavailable
                                            : ReplyStatus::kUnknown,
                           .text = "no leading scheduler answered in time"},
                 .delivery = pending->delivery});
}

void LeaderClient::ProbeWhileWaiting() {
  const base::Instant now = base::MonotonicClock::now();
  std::list<PendingPointer> ended;
  for (auto pending = waiting_.begin(); pending != waiting_.end();) {
    const base::Instant end = (*pending)->delivery == Delivery::kNothingSent
                                  ? (*pending)->unsent_deadline
                                  : (*pending)->deadline;
    const auto next = std::next(pending);
    if (now >= end)
      ended.splice(ended.end(), waiting_, pending);
    pending = next;
  }
  for (const PendingPointer& pending : ended)
    Fail(pending);
  if (waiting_.empty()) {
    probing_ = false;
    return;
  }
  ProbeAll();
  options_.loop->Schedule(options_.probe_interval,
                          [this] { ProbeWhileWaiting(); });
}

void LeaderClient::ProbeAll() {
  std::vector<std::string> targets;
  if (const auto leader = RecentLeader()) {
    targets.push_back(*leader);
  } else {
    const std::lock_guard lock(mutex_);
    targets = addresses_;
  }
  for (const std::string& address : targets) {
    const auto channel = options_.channels->Open(address);
    if (!channel)
      continue;
    channel->Call(kCallMessage, EncodeCall(PingCall{}), options_.try_timeout,
                  [this, address](const net::CallOutcome& outcome) {
                    if (std::holds_alternative<base::Error>(outcome))
                      return DropLeader(address);
                    const auto decoded = base::Capture([&] {
                      return DecodeEnvelope(std::get<std::string>(outcome));
                    });
                    if (const auto* envelope = std::get_if<Envelope>(&decoded))
                      UpdateLeader(*envelope, address);
                    Flush();
                  });
  }
}

void LeaderClient::Flush() {
  if (!RecentLeader())
    return;
  for (const PendingPointer& pending : std::exchange(waiting_, {}))
    Try(pending);
}

void LeaderClient::UpdateLeader(const Envelope& envelope,
                                const std::string& from) {
  AddSeeds(envelope.members);
  if (!envelope.leader.empty())
    AddSeeds({envelope.leader});
  const bool leads =
      envelope.reply && envelope.reply->status != ReplyStatus::kUnavailable;
  const std::lock_guard lock(mutex_);
  if (leads) {
    leader_ = from;
    last_answer_ = base::MonotonicClock::now();
  } else if (leader_ == from) {
    leader_.clear();
  }
}

// An unanswered channel may be dead without an error. It is dropped, so that
// the next call opens a new one.
void LeaderClient::DropLeader(const std::string& address) {
  {
    const std::lock_guard lock(mutex_);
    if (leader_ == address)
      leader_.clear();
  }
  options_.channels->Forget(address);
}

}  // namespace wigeonstair::jobs
