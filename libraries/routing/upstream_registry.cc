#include "routing/upstream_registry.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

namespace wigeonstair::routing {

namespace {

constexpr int kMaximumSlots = 4096;
constexpr int kMaximumConnections = 65536;
constexpr std::size_t kMaximumNameLength = 128;

bool ValidName(const std::string& name) {
  const auto valid = [](char character) {
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '.' ||
           character == '_' || character == ':' || character == '-';
  };
  return !name.empty() && name.size() <= kMaximumNameLength &&
         std::all_of(name.begin(), name.end(), valid);
}

// Sort key of updates by recency: the newer of two updates has the higher key.
auto Recency(const UpstreamUpdate& update) {
  return std::tuple(update.announcement.incarnation,
                    update.state == UpstreamState::kLeft, update.sequence,
                    update.reporter);
}

}  // namespace

UpstreamRegistry::UpstreamRegistry(UpstreamRegistryOptions options)
    : options_(std::move(options)) {}

base::Result<std::monostate> UpstreamRegistry::Check(
    const Announcement& announcement) const {
  const auto fail = [&](std::string detail) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "announce upstream",
                      announcement.id.value(), std::move(detail));
  };
  if (!ValidName(announcement.id.value()))
    return fail("the id must be 1 to 128 characters of A-Za-z0-9._:-");
  if (!ValidName(announcement.service))
    return fail("the service must be 1 to 128 characters of A-Za-z0-9._:-");
  if (announcement.domain != options_.domain) {
    return fail("the upstream is in domain '" + announcement.domain.value() +
                "' and must announce itself to an entry host there; this "
                "host is in '" +
                options_.domain.value() + "'");
  }
  if (announcement.slots < 1 || announcement.slots > kMaximumSlots)
    return fail("slots must be between 1 and 4096");
  if (announcement.connections < 1 ||
      announcement.connections > kMaximumConnections)
    return fail("connections must be between 1 and 65536");
  return std::monostate{};
}

base::Result<std::uint64_t> UpstreamRegistry::Announce(
    const Announcement& announcement,
    base::Instant now) {
  TRY(Check(announcement));
  const auto found = upstreams_.find(announcement.id);
  if (found == upstreams_.end() &&
      upstreams_.size() >= options_.maximum_upstreams) {
    return base::Fail(
        base::ErrorCode::kResourceLimit, "announce upstream",
        announcement.id.value(),
        "this host already knows the maximum number of upstreams");
  }
  Record& record = upstreams_[announcement.id];
  const bool first = record.update.sequence == 0;
  const Announcement& before = record.update.announcement;
  const bool left_before = !first &&
                           announcement.incarnation == before.incarnation &&
                           record.update.state == UpstreamState::kLeft;
  const bool outdated =
      !first && announcement.incarnation < before.incarnation &&
      options_.fault != RegistryFault::kAcceptOlderIncarnation;
  if (outdated || left_before) {
    return base::Fail(
        base::ErrorCode::kConflict, "announce upstream",
        announcement.id.value(),
        "incarnation " + std::to_string(before.incarnation) +
            (left_before ? " has left; announce a higher incarnation"
                         : " is already known; announce a higher incarnation"));
  }
  record.last_heartbeat = now;
  const bool same = !first && before == announcement &&
                    record.update.state == UpstreamState::kAlive;
  if (same)
    return announcement.incarnation;
  if (first || announcement.incarnation > before.incarnation ||
      record.update.state != UpstreamState::kAlive)
    record.usable_since = now;
  record.update.announcement = announcement;
  SetState(record, UpstreamState::kAlive, now);
  QueueUpdate(record, now);
  return announcement.incarnation;
}

HeartbeatResult UpstreamRegistry::Heartbeat(const base::UpstreamId& id,
                                            std::uint64_t incarnation,
                                            base::Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end())
    return HeartbeatResult::kAnnounceAgain;
  Record& record = found->second;
  const std::uint64_t current = record.update.announcement.incarnation;
  if (incarnation < current)
    return HeartbeatResult::kOutdated;
  if (incarnation > current || record.update.state == UpstreamState::kLeft)
    return HeartbeatResult::kAnnounceAgain;
  record.last_heartbeat = now;
  const bool returned = record.update.state == UpstreamState::kSuspect;
  if (returned) {
    record.usable_since = now;
    SetState(record, UpstreamState::kAlive, now);
  }
  const bool reporter_gone =
      record.update.reporter != options_.self &&
      (record.reporter_deadline != base::Instant::max() ||
       now - record.last_update > options_.takeover_age);
  if (returned || reporter_gone)
    QueueUpdate(record, now);
  return HeartbeatResult::kAccepted;
}

HeartbeatResult UpstreamRegistry::Leave(const base::UpstreamId& id,
                                        std::uint64_t incarnation,
                                        base::Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end())
    return HeartbeatResult::kAnnounceAgain;
  Record& record = found->second;
  if (incarnation < record.update.announcement.incarnation)
    return HeartbeatResult::kOutdated;
  if (record.update.state == UpstreamState::kLeft ||
      options_.fault == RegistryFault::kIgnoreLeave)
    return HeartbeatResult::kAccepted;
  record.update.announcement.incarnation = incarnation;
  SetState(record, UpstreamState::kLeft, now);
  QueueUpdate(record, now);
  return HeartbeatResult::kAccepted;
}

void UpstreamRegistry::Apply(const UpstreamUpdate& update, base::Instant now) {
  const bool checked = std::holds_alternative<std::monostate>(
      base::Capture([&] { return Check(update.announcement); }));
  if (!checked)
    return;
  const auto found = upstreams_.find(update.announcement.id);
  if (found == upstreams_.end()) {
    if (upstreams_.size() >= options_.maximum_upstreams)
      return;
    Record& record = upstreams_[update.announcement.id];
    record.update = update;
    record.last_update = now;
    record.usable_since = now;
    SetState(record, update.state, now);
    return;
  }
  Record& record = found->second;
  if (Recency(update) <= Recency(record.update))
    return;
  const bool same_incarnation =
      update.announcement.incarnation == record.update.announcement.incarnation;
  const bool was_alive = record.update.state == UpstreamState::kAlive;
  if (update.state == UpstreamState::kAlive &&
      (!same_incarnation || !was_alive))
    record.usable_since = now;
  record.update = update;
  record.last_update = now;
  record.reporter_deadline = base::Instant::max();
  SetState(record, update.state, now);
  // The heartbeats that the reporter missed reached this host instead.
  if (update.state == UpstreamState::kSuspect && same_incarnation &&
      HasRecentHeartbeat(record, now)) {
    SetState(record, UpstreamState::kAlive, now);
    QueueUpdate(record, now);
  }
}

void UpstreamRegistry::HostLost(const base::HostId& host, base::Instant now) {
  for (auto& [id, record] : upstreams_) {
    if (record.update.reporter == host &&
        record.reporter_deadline == base::Instant::max())
      record.reporter_deadline = now + options_.heartbeat_timeout;
  }
}

void UpstreamRegistry::Tick(base::Instant now) {
  const bool frozen = last_tick_ != base::Instant::min() &&
                      now - last_tick_ > options_.freeze_limit;
  for (auto& [id, record] : upstreams_) {
    if (frozen)
      record.last_heartbeat += now - last_tick_;
    CheckTimeout(record, now);
  }
  last_tick_ = now;
  std::erase_if(upstreams_, [&](const auto& entry) {
    const Record& record = entry.second;
    return record.update.state != UpstreamState::kAlive &&
           now - record.state_since > options_.removal_delay;
  });
}

void UpstreamRegistry::CheckTimeout(Record& record, base::Instant now) {
  if (record.update.state != UpstreamState::kAlive ||
      HasRecentHeartbeat(record, now) ||
      options_.fault == RegistryFault::kIgnoreMissedHeartbeats)
    return;
  const bool own = record.update.reporter == options_.self;
  if (!own && now < record.reporter_deadline)
    return;
  SetState(record, UpstreamState::kSuspect, now);
  QueueUpdate(record, now);
}

bool UpstreamRegistry::HasRecentHeartbeat(const Record& record,
                                          base::Instant now) const {
  return record.last_heartbeat != base::Instant{} &&
         now - record.last_heartbeat <= options_.heartbeat_timeout;
}

void UpstreamRegistry::SetState(Record& record,
                                UpstreamState state,
                                base::Instant now) {
  record.update.state = state;
  record.state_since = now;
  ++version_;
}

void UpstreamRegistry::QueueUpdate(Record& record, base::Instant now) {
  ++record.update.sequence;
  record.update.reporter = options_.self;
  record.last_update = now;
  record.reporter_deadline = base::Instant::max();
  updates_.push_back(record.update);
}

std::vector<KnownUpstream> UpstreamRegistry::List() const {
  std::vector<KnownUpstream> list;
  list.reserve(upstreams_.size());
  for (const auto& [id, record] : upstreams_) {
    list.push_back({.announcement = record.update.announcement,
                    .state = record.update.state,
                    .usable_since = record.usable_since});
  }
  return list;
}

std::vector<UpstreamUpdate> UpstreamRegistry::TakeUpdates() {
  return std::exchange(updates_, {});
}

}  // namespace wigeonstair::routing
