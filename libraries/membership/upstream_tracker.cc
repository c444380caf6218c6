#include "membership/upstream_tracker.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "membership/message.h"

namespace wigeonstair::membership {

namespace {

bool ValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaximumNameBytes;
}

std::uint32_t ToMilliseconds(base::Duration age) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

bool SameAnnouncement(const UpstreamRecord& record,
                      const UpstreamAnnouncement& announcement) {
  return record.service == announcement.service &&
         record.address == announcement.address &&
         record.slots == announcement.slots &&
         record.connections == announcement.connections;
}

}  // namespace

UpstreamTracker::Result UpstreamTracker::Announce(
    const RecordStore& store,
    const UpstreamAnnouncement& announcement,
    base::Instant now) {
  if (!ValidName(announcement.id.value()) || !ValidName(announcement.service) ||
      !ValidName(announcement.address.ip))
    return {.outcome = UpstreamOutcome::kInvalid, .publish = {}};
  const auto* known =
      store.FindAs<UpstreamRecord>(UpstreamKey(announcement.id));
  if (known != nullptr && known->incarnation > announcement.incarnation)
    return {.outcome = UpstreamOutcome::kStale, .publish = {}};
  const bool same_start =
      known != nullptr && known->incarnation == announcement.incarnation;
  if (same_start && known->state == UpstreamState::kAlive &&
      SameAnnouncement(*known, announcement))
    return Heartbeat(store, announcement.id, announcement.incarnation, now);
  heard_[announcement.id] = now;
  return {.publish = UpstreamRecord{
              .id = announcement.id,
              .service = announcement.service,
              .domain = domain_,
              .address = announcement.address,
              .slots = announcement.slots,
              .connections = announcement.connections,
              .incarnation = announcement.incarnation,
              .version = same_start ? known->version + 1 : 0,
              .observer = self_,
          }};
}

UpstreamTracker::Result UpstreamTracker::Heartbeat(const RecordStore& store,
                                                   const base::UpstreamId& id,
                                                   std::uint64_t incarnation,
                                                   base::Instant now) {
  const auto* known = store.FindAs<UpstreamRecord>(UpstreamKey(id));
  if (known == nullptr || known->incarnation < incarnation ||
      known->state == UpstreamState::kGone)
    return {.outcome = UpstreamOutcome::kUnknown, .publish = {}};
  if (known->incarnation > incarnation)
    return {.outcome = UpstreamOutcome::kStale, .publish = {}};
  return {.publish = Heard(store, *known, now)};
}

UpstreamTracker::Result UpstreamTracker::Leave(const RecordStore& store,
                                               const base::UpstreamId& id,
                                               std::uint64_t incarnation,
                                               base::Instant now) {
  const auto* known = store.FindAs<UpstreamRecord>(UpstreamKey(id));
  if (known == nullptr || known->incarnation < incarnation)
    return {.outcome = UpstreamOutcome::kUnknown, .publish = {}};
  if (known->incarnation > incarnation)
    return {.outcome = UpstreamOutcome::kStale, .publish = {}};
  if (known->state == UpstreamState::kLeaving ||
      known->state == UpstreamState::kGone)
    return {};
  heard_[id] = now;
  UpstreamRecord leaving = Next(*known, UpstreamState::kLeaving, now);
  leaving.observer = self_;
  return {.publish = std::move(leaving)};
}

std::optional<UpstreamRecord> UpstreamTracker::Heard(
    const RecordStore& store,
    const UpstreamRecord& record,
    base::Instant now) {
  const bool observed_here = record.observer == self_;
  if (observed_here)
    heard_[record.id] = now;
  if (record.state == UpstreamState::kLeaving ||
      record.state == UpstreamState::kGone)
    return std::nullopt;
  if (record.state == UpstreamState::kAlive) {
    if (observed_here)
      return std::nullopt;
    if (ObserverDeadFor(store, record, now) == base::Duration::zero()) {
      relays_[record.observer].insert(UpstreamHash(record.id));
      return std::nullopt;
    }
  }
  // The observer is dead, or missed heartbeats that arrive here.
  heard_[record.id] = now;
  UpstreamRecord alive = Next(record, UpstreamState::kAlive, now);
  alive.observer = self_;
  alive.heartbeat_age_milliseconds = 0;
  return alive;
}

std::vector<UpstreamRecord> UpstreamTracker::Relayed(
    const RecordStore& store,
    const std::vector<std::uint64_t>& hashes,
    base::Instant now) {
  const std::set<std::uint64_t> wanted(hashes.begin(), hashes.end());
  std::vector<UpstreamRecord> publish;
  store.ForEach<UpstreamRecord>([&](const UpstreamRecord& record) {
    // A relay that crossed a change of the observer is dropped, so that relays
    // never start another relay.
    if (record.observer != self_ || !wanted.contains(UpstreamHash(record.id)))
      return;
    if (auto changed = Heard(store, record, now))
      publish.push_back(std::move(*changed));
  });
  return publish;
}

std::vector<UpstreamRecord> UpstreamTracker::Check(const RecordStore& store,
                                                   base::Instant now) {
  std::vector<UpstreamRecord> publish;
  store.ForEach<UpstreamRecord>([&](const UpstreamRecord& record) {
    if (auto changed = CheckOne(store, record, now))
      publish.push_back(std::move(*changed));
  });
  return publish;
}

std::optional<UpstreamRecord> UpstreamTracker::CheckOne(
    const RecordStore& store,
    const UpstreamRecord& record,
    base::Instant now) {
  if (record.observer != self_ || record.state == UpstreamState::kGone) {
    heard_.erase(record.id);
    if (record.state == UpstreamState::kGone ||
        ObserverDeadFor(store, record, now) < settings_.gone_after)
      return std::nullopt;
    return Next(record, UpstreamState::kGone, now);
  }
  // A record of an earlier run of this process has its full time again.
  const base::Duration silence =
      now - heard_.try_emplace(record.id, now).first->second;
  switch (record.state) {
    case UpstreamState::kAlive:
      if (silence >= settings_.suspect_after)
        return Next(record, UpstreamState::kSuspect, now);
      break;
    case UpstreamState::kLeaving:
      if (silence >= settings_.suspect_after)
        return Next(record, UpstreamState::kGone, now);
      break;
    case UpstreamState::kSuspect:
      if (silence >= settings_.gone_after)
        return Next(record, UpstreamState::kGone, now);
      break;
    case UpstreamState::kGone:
      break;
  }
  return std::nullopt;
}

std::map<MemberId, std::set<std::uint64_t>> UpstreamTracker::TakeRelays() {
  return std::exchange(relays_, {});
}

void UpstreamTracker::SkipGap(base::Duration gap) {
  for (auto& [id, heard] : heard_)
    heard += gap;
}

base::Duration UpstreamTracker::ObserverDeadFor(const RecordStore& store,
                                                const UpstreamRecord& record,
                                                base::Instant now) const {
  if (record.observer == self_)
    return base::Duration::zero();
  const RecordKey key = MemberKey(record.observer);
  const auto* observer = store.FindAs<MemberRecord>(key);
  if (observer != nullptr && !IsTombstone(*observer))
    return base::Duration::zero();
  base::Instant since = store.StoredAt(UpstreamKey(record.id));
  if (observer != nullptr)
    since = std::max(since, store.StoredAt(key));
  return std::max(now - since, base::Duration(1));
}

UpstreamState UpstreamTracker::EffectiveState(const RecordStore& store,
                                              const UpstreamRecord& record,
                                              base::Instant now) const {
  if (record.state == UpstreamState::kAlive &&
      ObserverDeadFor(store, record, now) >= settings_.suspect_after)
    return UpstreamState::kSuspect;
  return record.state;
}

base::Instant UpstreamTracker::LastHeartbeat(
    const RecordStore& store,
    const UpstreamRecord& record) const {
  const auto heard = heard_.find(record.id);
  if (record.observer == self_ && heard != heard_.end())
    return heard->second;
  return store.StoredAt(UpstreamKey(record.id)) -
         std::chrono::milliseconds(record.heartbeat_age_milliseconds);
}

std::vector<ServiceSummary> UpstreamTracker::Summarize(
    const RecordStore& store,
    base::Instant now) const {
  std::map<std::string, ServiceSummary> services;
  store.ForEach<UpstreamRecord>([&](const UpstreamRecord& record) {
    if (EffectiveState(store, record, now) != UpstreamState::kAlive)
      return;
    ServiceSummary& summary = services[record.service];
    summary.service = record.service;
    ++summary.upstreams;
    summary.slots += record.slots;
    summary.connections += record.connections;
  });
  std::vector<ServiceSummary> summaries;
  summaries.reserve(services.size());
  for (auto& [name, summary] : services)
    summaries.push_back(std::move(summary));
  std::stable_sort(summaries.begin(), summaries.end(),
                   [](const ServiceSummary& a, const ServiceSummary& b) {
                     return a.slots > b.slots;
                   });
  if (summaries.size() > kMaximumSummaryServices)
    summaries.resize(kMaximumSummaryServices);
  return summaries;
}

UpstreamRecord UpstreamTracker::Next(const UpstreamRecord& record,
                                     UpstreamState state,
                                     base::Instant now) const {
  UpstreamRecord next = record;
  next.state = state;
  ++next.version;
  const auto heard = heard_.find(record.id);
  if (heard != heard_.end())
    next.heartbeat_age_milliseconds = ToMilliseconds(now - heard->second);
  return next;
}

}  // namespace wigeonstair::membership
