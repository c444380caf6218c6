#include "membership/table.h"

#include <algorithm>
#include <cmath>

namespace wigeonstair::membership {

namespace {

// How long an ack carries this member's own record after a refutation.
constexpr base::Duration kRefutationEcho = std::chrono::seconds(3);
// A record with a larger number could not be overridden any more.
constexpr std::uint64_t kMaximumNumber = std::uint64_t{1} << 62;

bool Plausible(const Record& record) {
  const auto& [first, second, rank, text] = VersionOf(record);
  return first < kMaximumNumber && second < kMaximumNumber;
}

}  // namespace

Table::Table(TableOptions options, base::Instant now)
    : options_(std::move(options)),
      self_{.id = options_.self,
            .domain = options_.domain,
            .messages = options_.messages,
            .http = options_.http,
            .incarnation = options_.initial_incarnation},
      status_{.id = options_.self, .version = options_.initial_incarnation},
      random_(options_.seed),
      scheduler_(options_.self, options_.settings.probe),
      upstreams_(options_.self, options_.domain, options_.settings.upstream),
      tokens_(options_.settings.burst_bytes),
      last_tick_(now) {
  PublishSelf(now);
}

void Table::Tick(base::Instant now) {
  const TableSettings& settings = options_.settings;
  const base::Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap >= settings.freeze) {
    scheduler_.ForgetOpenProbes(now);
    upstreams_.SkipGap(gap);
  }
  tokens_ = std::min(settings.burst_bytes,
                     tokens_ + settings.bytes_per_second *
                                   std::chrono::duration<double>(gap).count());
  CountMembers();
  if (waiting_status_ && now >= next_status_)
    PublishStatus(now);
  if (waiting_capacity_ && now >= next_capacity_)
    PublishCapacity(now);
  if (Due(next_check_, settings.upstream.check_interval, now)) {
    for (const UpstreamRecord& record : upstreams_.Check(store_, now))
      Apply(record, now);
    // Upstreams whose observer is dead become suspect with time alone.
    dirty_ = dirty_ || !dead_members_.empty();
    store_.DropTombstones(now - settings.member_tombstone,
                          now - settings.upstream_tombstone);
    PublishServices(now);
  }
  RunProbes(now);
  CountMembers();
  if (Due(next_mix_, settings.mixing_interval, now))
    Mix();
  if (Due(next_revival_, settings.revival_interval, now))
    Revive();
  if (Due(next_relay_, settings.upstream.relay_interval, now))
    SendRelays();
  if (Due(next_gossip_, settings.gossip_interval, now))
    Gossip();
  std::erase_if(relays_,
                [&](const auto& item) { return item.second.expires < now; });
}

void Table::SetStatus(const LocalStatus& status, base::Instant now) {
  const bool same_authority =
      status.authority_epoch == status_.authority_epoch &&
      status.holding == status_.holding;
  waiting_status_ = status;
  // Workers and callers are sent to the authority, so that cannot wait.
  if (!same_authority || now >= next_status_)
    PublishStatus(now);
}

void Table::PublishStatus(base::Instant now) {
  const LocalStatus status = *std::exchange(waiting_status_, std::nullopt);
  const LocalStatus published{.applied_revision = status_.applied_revision,
                              .authority_epoch = status_.authority_epoch,
                              .holding = status_.holding};
  if (status == published)
    return;
  status_.applied_revision = status.applied_revision;
  status_.authority_epoch = status.authority_epoch;
  status_.holding = status.holding;
  ++status_.version;
  next_status_ = now + options_.settings.status_interval;
  Apply(status_, now);
}

void Table::SetCapacity(std::uint64_t epoch,
                        const CapacitySummary& capacity,
                        base::Instant now) {
  waiting_capacity_ = CapacityRecord{
      .domain = options_.domain, .epoch = epoch, .capacity = capacity};
  if (now >= next_capacity_)
    PublishCapacity(now);
}

void Table::PublishCapacity(base::Instant now) {
  CapacityRecord record = *std::exchange(waiting_capacity_, std::nullopt);
  const auto* known = store_.FindAs<CapacityRecord>(KeyOf(record));
  if (known != nullptr && known->epoch == record.epoch) {
    if (known->capacity == record.capacity)
      return;
    record.version = known->version + 1;
  }
  next_capacity_ = now + options_.settings.capacity_interval;
  Apply(record, now);
}

bool Table::IsServicesPublisher() const {
  if (self_.id.role != HostRole::kEntry)
    return false;
  return std::none_of(domain_members_.begin(), domain_members_.end(),
                      [&](const MemberId& id) {
                        return id.role == HostRole::kEntry && id < self_.id;
                      });
}

void Table::PublishServices(base::Instant now) {
  if (now < next_services_ || !IsServicesPublisher())
    return;
  ServicesRecord record{.domain = options_.domain,
                        .publisher = self_.id,
                        .services = upstreams_.Summarize(store_, now)};
  const auto* known = store_.FindAs<ServicesRecord>(KeyOf(record));
  if (known == nullptr ? record.services.empty()
                       : known->services == record.services)
    return;
  record.version = known == nullptr ? 1 : known->version + 1;
  next_services_ = now + options_.settings.upstream.summary_interval;
  Apply(record, now);
}

UpstreamOutcome Table::Announce(const UpstreamAnnouncement& announcement,
                                base::Instant now) {
  return Publish(upstreams_.Announce(store_, announcement, now), now);
}

UpstreamOutcome Table::Heartbeat(const base::UpstreamId& id,
                                 std::uint64_t incarnation,
                                 base::Instant now) {
  return Publish(upstreams_.Heartbeat(store_, id, incarnation, now), now);
}

UpstreamOutcome Table::LeaveUpstream(const base::UpstreamId& id,
                                     std::uint64_t incarnation,
                                     base::Instant now) {
  return Publish(upstreams_.Leave(store_, id, incarnation, now), now);
}

UpstreamOutcome Table::Publish(const UpstreamTracker::Result& result,
                               base::Instant now) {
  if (result.publish)
    Apply(*result.publish, now);
  return result.outcome;
}

void Table::LeaveCluster(base::Instant now) {
  self_.state = MemberState::kLeft;
  PublishSelf(now);
  Gossip();
}

void Table::PublishSelf(base::Instant now) {
  if (store_.Put(self_, TransmissionsFor(RecordScope::kGlobal), now) ==
      PutOutcome::kStored)
    dirty_ = true;
}

FullCopy Table::CopyFor(const base::DomainId& domain) const {
  return {.records =
              store_.All(domain == options_.domain ? RecordScope::kDomain
                                                   : RecordScope::kGlobal)};
}

JoinRequest Table::MakeJoinRequest() const {
  return {.domain = options_.domain, .self = self_};
}

void Table::Merge(const std::vector<Record>& records, base::Instant now) {
  for (const Record& record : records)
    Apply(record, now);
}

void Table::Apply(const Record& record, base::Instant now) {
  if (!Plausible(record))
    return;
  const auto* member = std::get_if<MemberRecord>(&record);
  const auto* status = std::get_if<StatusRecord>(&record);
  const auto* upstream = std::get_if<UpstreamRecord>(&record);
  if (member != nullptr && member->id == self_.id)
    return ApplyOwnMember(*member, now);
  if (status != nullptr && status->id == self_.id)
    return ApplyOwnStatus(*status, now);
  if (upstream != nullptr && upstream->domain != options_.domain)
    return;
  if (store_.Put(record, TransmissionsFor(ScopeOf(record)), now) ==
      PutOutcome::kNotNewer)
    return;
  dirty_ = true;
  if (member != nullptr)
    NoteMember(*member, now);
}

void Table::ApplyOwnMember(const MemberRecord& record, base::Instant now) {
  if (self_.state == MemberState::kLeft ||
      record.incarnation < self_.incarnation || record == self_)
    return;
  self_.incarnation = record.incarnation + 1;
  ++counters_.refutations;
  refuted_until_ = now + kRefutationEcho;
  PublishSelf(now);
}

void Table::ApplyOwnStatus(const StatusRecord& record, base::Instant now) {
  // An earlier run of this process may have reached a higher version.
  if (record.version > status_.version)
    status_.version = record.version + 1;
  if (store_.Put(status_, TransmissionsFor(RecordScope::kGlobal), now) ==
      PutOutcome::kStored)
    dirty_ = true;
}

void Table::NoteMember(const MemberRecord& record, base::Instant now) {
  members_changed_ = true;
  changes_.push_back({.id = record.id,
                      .state = record.state,
                      .incarnation = record.incarnation});
  if (record.state == MemberState::kSuspect)
    scheduler_.HearSuspicion(record.id, now);
  else
    scheduler_.Clear(record.id);
}

void Table::Claim(const MemberId& id, MemberState state, base::Instant now) {
  const MemberRecord* known = FindMember(id);
  if (known == nullptr || known->state >= state)
    return;
  MemberRecord claim = *known;
  claim.state = state;
  if (state == MemberState::kDead)
    ++counters_.deaths;
  Apply(claim, now);
}

void Table::CountMembers() {
  if (!members_changed_)
    return;
  members_changed_ = false;
  members_.clear();
  domain_members_.clear();
  dead_members_.clear();
  store_.ForEach<MemberRecord>([&](const MemberRecord& record) {
    if (record.id == self_.id)
      return;
    if (record.state == MemberState::kDead)
      dead_members_.push_back(record.id);
    if (IsTombstone(record))
      return;
    members_.push_back(record.id);
    if (record.domain == options_.domain)
      domain_members_.push_back(record.id);
  });
  scheduler_.SetMembers(members_);
}

int Table::TransmissionsFor(RecordScope scope) const {
  const std::size_t others =
      scope == RecordScope::kDomain ? domain_members_.size() : members_.size();
  return std::max(
      2,
      static_cast<int>(std::ceil(options_.settings.transmission_factor *
                                 std::log2(static_cast<double>(others) + 2))));
}

Snapshot Table::MakeSnapshot(base::Instant now) const {
  Snapshot snapshot;
  store_.ForEach<MemberRecord>([&](const MemberRecord& member) {
    HostView view{.member = member, .status = {.id = member.id}};
    if (const auto* status = store_.FindAs<StatusRecord>(StatusKey(member.id)))
      view.status = *status;
    snapshot.hosts.push_back(std::move(view));
  });
  std::sort(snapshot.hosts.begin(), snapshot.hosts.end(),
            [](const HostView& a, const HostView& b) {
              return a.member.id < b.member.id;
            });
  store_.ForEach<UpstreamRecord>([&](const UpstreamRecord& record) {
    if (record.state == UpstreamState::kGone)
      return;
    snapshot.upstreams.push_back(
        {.record = record,
         .state = upstreams_.EffectiveState(store_, record, now),
         .last_heartbeat = upstreams_.LastHeartbeat(store_, record)});
  });
  store_.ForEach<CapacityRecord>([&](const CapacityRecord& record) {
    snapshot.domains[record.domain].capacity = record;
  });
  store_.ForEach<ServicesRecord>([&](const ServicesRecord& record) {
    snapshot.domains[record.domain].services = record;
  });
  return snapshot;
}

}  // namespace wigeonstair::membership
