#include "jobs/leader_client.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wigeonstair::jobs {

namespace {

// Known addresses; those heard of first are dropped beyond it.
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

void LeaderClient::Send(const Call& call,
                        base::Instant deadline,
                        std::function<void(CallResultOfLeader)> done) {
  auto pending = std::make_shared<Pending>(Pending{
      .body = EncodeCall(call), .deadline = deadline, .done = std::move(done)});
  options_.loop->Post([this, pending] { Try(pending); });
}

std::string LeaderClient::NextAddress(std::size_t tries) {
  const std::lock_guard lock(mutex_);
  if (tries == 0 && !leader_.empty())
    return leader_;
  // A new hint is worth following at once, an old one was just tried.
  if (!leader_.empty() && tries % 2 == 0)
    return leader_;
  if (addresses_.empty())
    return {};
  return addresses_[next_++ % addresses_.size()];
}

void LeaderClient::Try(const std::shared_ptr<Pending>& pending) {
  const base::Instant now = base::MonotonicClock::now();
  const std::string address = NextAddress(pending->tries++);
  if (now >= pending->deadline) {
    pending->done(
        {.reply = {.status = pending->reach == Reach::kNothingSent
                                 ? ReplyStatus::kUnavailable
                                 : ReplyStatus::kUnknown,
                   .text = "no scheduler that leads answered in time"},
         .reach = pending->reach});
    return;
  }
  const auto channel =
      address.empty() ? nullptr : options_.channels->Open(address);
  if (!channel)
    return TryLater(pending);
  const base::Duration timeout =
      std::min(options_.try_timeout, pending->deadline - now);
  channel->Call(kCallMessage, pending->body, timeout,
                [this, pending, address](const net::CallOutcome& outcome) {
                  Handle(pending, address, outcome);
                });
}

void LeaderClient::Handle(const std::shared_ptr<Pending>& pending,
                          const std::string& address,
                          const net::CallOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome)) {
    if (error->code != base::ErrorCode::kUnavailable)
      pending->reach = Reach::kMaybeSent;
    Distrust(address);
    return TryLater(pending);
  }
  const auto decoded = base::Capture(
      [&] { return DecodeEnvelope(std::get<std::string>(outcome)); });
  const auto* envelope = std::get_if<Envelope>(&decoded);
  if (envelope == nullptr) {
    pending->reach = Reach::kMaybeSent;
    return TryLater(pending);
  }
  Learn(*envelope, address);
  if (!envelope->reply)
    return TryLater(pending);
  if (envelope->reply->status == ReplyStatus::kUnavailable)
    return TryLater(pending);
  if (envelope->reply->status == ReplyStatus::kUnknown) {
    pending->reach = Reach::kMaybeSent;
    return TryLater(pending);
  }
  pending->done({.reply = *envelope->reply});
}

void LeaderClient::TryLater(const std::shared_ptr<Pending>& pending) {
  bool hinted = false;
  {
    const std::lock_guard lock(mutex_);
    hinted = !leader_.empty();
  }
  const base::Duration delay =
      hinted && pending->tries < 3 ? base::Duration(0) : options_.retry_delay;
  options_.loop->Schedule(delay, [this, pending] { Try(pending); });
}

void LeaderClient::Learn(const Envelope& envelope, const std::string& from) {
  AddSeeds(envelope.members);
  const std::lock_guard lock(mutex_);
  if (envelope.reply) {
    leader_ = from;
    last_answer_ = base::MonotonicClock::now();
  } else if (leader_ == from || !envelope.leader.empty()) {
    leader_ = envelope.leader == options_.self ? "" : envelope.leader;
  }
}

// A channel that does not answer may be silent for good; the next call opens
// another one.
void LeaderClient::Distrust(const std::string& address) {
  {
    const std::lock_guard lock(mutex_);
    if (leader_ == address)
      leader_.clear();
  }
  options_.channels->Forget(address);
}

}  // namespace wigeonstair::jobs
