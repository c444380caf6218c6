#include "authority/service.h"

#include <chrono>
#include <mutex>
#include <random>
#include <utility>

namespace wigeonstair::authority {

namespace {

// Fills in the options that differ in each run of the process.
ElectionOptions WithDefaults(ElectionOptions options) {
  if (options.first_epoch == 0) {
    options.first_epoch = base::WallClockNow().count();
  }
  if (options.seed == 0) {
    std::random_device device;
    options.seed = (std::uint64_t{device()} << 32) | device();
  }
  return options;
}

}  // namespace

std::string_view LossReasonName(LossReason reason) {
  switch (reason) {
    case LossReason::kExpired:
      return "expired";
    case LossReason::kFenced:
      return "fenced";
    case LossReason::kRemoved:
      return "removed";
    case LossReason::kReleased:
      return "released";
  }
  return "unknown";
}

struct Service::Implementation {
  explicit Implementation(ServiceOptions service_options)
      : options(std::move(service_options)),
        election(WithDefaults(options.election), base::MonotonicClock::now()) {}

  void Step(const ElectionEvent& event);
  void Report(const StateChange& change) const;

  ServiceOptions options;
  // Held during a whole step and its effects, so that messages are sent and
  // changes reported in the order of the steps. Recursive, because on_change
  // may call the service.
  std::recursive_mutex step_mutex;
  bool stopped = false;
  // Guards the members below. Not held during callbacks, so that HeldEpoch()
  // does not wait for them.
  mutable std::mutex mutex;
  Election election;
  // Removed hosts stay here, because they are still asked which list they have
  // applied.
  MemberAddresses addresses;
  std::uint64_t dropped = 0;
  net::EventLoop::TimerId timer = 0;
};

void Service::Implementation::Step(const ElectionEvent& event) {
  const std::lock_guard step(step_mutex);
  if (stopped)
    return;
  ElectionOutput output;
  std::vector<std::pair<net::Address, const Message*>> sends;
  {
    const std::lock_guard lock(mutex);
    output = election.Step(event, base::MonotonicClock::now());
    for (const OutgoingMessage& outgoing : output.messages) {
      const auto address = addresses.find(outgoing.to);
      if (address != addresses.end())
        sends.emplace_back(address->second, &outgoing.message);
    }
  }
  for (const auto& [address, message] : sends)
    options.send(address, TypeOf(*message), EncodeMessage(*message));
  for (const StateChange& change : output.changes)
    Report(change);
}

void Service::Implementation::Report(const StateChange& change) const {
  if (const auto* acquired = std::get_if<Acquired>(&change)) {
    options.event_log->Info(
        base::EventNumber::kAuthorityAcquired,
        {{"domain", options.domain.value()}, {"epoch", acquired->epoch}});
  } else if (const auto* lost = std::get_if<Lost>(&change)) {
    options.event_log->Warning(base::EventNumber::kAuthorityLost,
                               {{"domain", options.domain.value()},
                                {"epoch", lost->epoch},
                                {"reason", LossReasonName(lost->reason)}});
  }
  if (options.on_change)
    options.on_change(change);
}

base::Result<std::unique_ptr<Service>> Service::create(ServiceOptions options) {
  if (options.loop == nullptr || !options.send || !options.event_log ||
      options.election.self.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "create authority service", {},
                      "loop, send, event_log and election.self are required");
  }
  auto implementation = std::make_shared<Implementation>(std::move(options));
  std::weak_ptr<Implementation> weak = implementation;
  implementation->timer = implementation->options.loop->ScheduleEvery(
      implementation->options.tick, [weak] {
        if (const auto self = weak.lock())
          self->Step(TickEvent{});
      });
  return std::unique_ptr<Service>(new Service(std::move(implementation)));
}

Service::Service(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Service::~Service() {
  Stop();
}

void Service::Receive(const net::Address& sender,
                      net::MessageType type,
                      const std::string& body) {
  const auto decoded = base::Capture([&] { return DecodeMessage(type, body); });
  const auto* message = std::get_if<Message>(&decoded);
  bool accepted = false;
  {
    const std::lock_guard lock(implementation_->mutex);
    if (message != nullptr) {
      // A process that still runs at a former address of the host must not
      // vote.
      const auto entry = implementation_->addresses.find(SenderOf(*message));
      accepted =
          entry != implementation_->addresses.end() && entry->second == sender;
    }
    if (!accepted)
      ++implementation_->dropped;
  }
  if (accepted)
    implementation_->Step(*message);
}

void Service::SetMembers(const MemberAddresses& members,
                         std::uint64_t version) {
  MemberList list{.version = version};
  // No other step may come between the changes of the addresses and the list.
  const std::lock_guard step(implementation_->step_mutex);
  {
    const std::lock_guard lock(implementation_->mutex);
    if (version <= implementation_->election.members().version)
      return;
    for (const auto& [host, address] : members) {
      list.hosts.insert(host);
      implementation_->addresses[host] = address;
    }
  }
  implementation_->Step(list);
}

void Service::SawListApplied(const base::HostId& host, std::uint64_t version) {
  implementation_->Step(ListAppliedEvent{.host = host, .version = version});
}

void Service::SawEpoch(std::int64_t epoch) {
  implementation_->Step(EpochSeenEvent{.epoch = epoch});
}

void Service::Release() {
  implementation_->Step(ReleaseEvent{});
}

void Service::Stop() {
  implementation_->options.loop->Cancel(implementation_->timer);
  const std::lock_guard step(implementation_->step_mutex);
  implementation_->stopped = true;
}

std::optional<std::int64_t> Service::HeldEpoch(base::Instant now) const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->election.HeldEpoch(now);
}

std::optional<KnownHolder> Service::holder() const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->election.holder();
}

std::uint64_t Service::retired_version() const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->election.retired_version();
}

bool Service::settled() const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->election.settled();
}

std::uint64_t Service::dropped() const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->dropped;
}

}  // namespace wigeonstair::authority
