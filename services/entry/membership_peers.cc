#include "services/entry/membership_peers.h"

#include <set>
#include <string>

#include "net/address.h"

namespace wigeonstair::entry {

namespace {

using membership::UpstreamOutcome;

routing::HeartbeatResult Convert(UpstreamOutcome outcome) {
  switch (outcome) {
    case UpstreamOutcome::kAccepted:
      return routing::HeartbeatResult::kAccepted;
    case UpstreamOutcome::kStale:
      return routing::HeartbeatResult::kOutdated;
    case UpstreamOutcome::kUnknown:
    case UpstreamOutcome::kInvalid:
      break;
  }
  return routing::HeartbeatResult::kAnnounceAgain;
}

routing::UpstreamState Convert(membership::UpstreamState state) {
  switch (state) {
    case membership::UpstreamState::kAlive:
      return routing::UpstreamState::kAlive;
    case membership::UpstreamState::kSuspect:
      return routing::UpstreamState::kSuspect;
    case membership::UpstreamState::kLeaving:
    case membership::UpstreamState::kGone:
      break;
  }
  return routing::UpstreamState::kLeft;
}

// A suspect host may still be using its share of the upstream slots, so it
// counts as live until it is declared dead.
bool IsLiveEntry(const membership::HostView& host) {
  return host.member.id.role == membership::HostRole::kEntry &&
         (host.member.state == membership::MemberState::kAlive ||
          host.member.state == membership::MemberState::kSuspect);
}

}  // namespace

base::Result<std::uint64_t> MembershipPeers::Announce(
    const routing::Announcement& announcement,
    base::Instant now) {
  now_ = now;
  const auto fail = [&](base::ErrorCode code, std::string detail) {
    return base::Fail(code, "announce upstream", announcement.id.value(),
                      std::move(detail));
  };
  if (announcement.domain != domain_) {
    return fail(base::ErrorCode::kInvalidArgument,
                "the upstream is in domain '" + announcement.domain.value() +
                    "' and must announce itself to an entry host there");
  }
  const auto left = left_incarnations_.find(announcement.id);
  if (left != left_incarnations_.end() &&
      announcement.incarnation <= left->second)
    return fail(base::ErrorCode::kConflict,
                "the incarnation has left; announce a higher one");
  const UpstreamOutcome outcome = service_.Announce(
      {.id = announcement.id,
       .service = announcement.service,
       .address = TRY(net::ParseAddress(announcement.address)),
       .slots = static_cast<std::uint32_t>(announcement.slots),
       .connections = static_cast<std::uint32_t>(announcement.connections),
       .incarnation = announcement.incarnation});
  if (outcome == UpstreamOutcome::kInvalid)
    return fail(base::ErrorCode::kInvalidArgument,
                "the id or the service is longer than 64 characters");
  if (outcome != UpstreamOutcome::kAccepted)
    return fail(base::ErrorCode::kConflict, "a higher incarnation is known");
  left_incarnations_.erase(announcement.id);
  if (!observations_.contains(announcement.id) ||
      observations_[announcement.id].incarnation < announcement.incarnation) {
    pending_announcements_[announcement.id] = {.announcement = announcement,
                                               .usable_since = now};
  }
  return announcement.incarnation;
}

routing::HeartbeatResult MembershipPeers::Heartbeat(const base::UpstreamId& id,
                                                    std::uint64_t incarnation,
                                                    base::Instant now) {
  now_ = now;
  const auto left = left_incarnations_.find(id);
  if (left != left_incarnations_.end() && incarnation <= left->second)
    return routing::HeartbeatResult::kAnnounceAgain;
  return Convert(service_.Heartbeat(id, incarnation));
}

routing::HeartbeatResult MembershipPeers::Leave(const base::UpstreamId& id,
                                                std::uint64_t incarnation,
                                                base::Instant now) {
  now_ = now;
  const auto result = Convert(service_.LeaveUpstream(id, incarnation));
  if (result == routing::HeartbeatResult::kAccepted) {
    left_incarnations_[id] = incarnation;
    pending_announcements_.erase(id);
  }
  return result;
}

std::vector<routing::KnownUpstream> MembershipPeers::Upstreams() {
  const auto snapshot = service_.snapshot();
  std::vector<routing::KnownUpstream> upstreams;
  std::map<base::UpstreamId, UpstreamObservation> observations;
  for (const membership::UpstreamView& view : snapshot->upstreams) {
    const membership::UpstreamRecord& record = view.record;
    const auto left = left_incarnations_.find(record.id);
    const bool gone =
        left != left_incarnations_.end() && record.incarnation <= left->second;
    const auto state =
        gone ? routing::UpstreamState::kLeft : Convert(view.state);
    UpstreamObservation entry = observations_[record.id];
    const bool alive = state == routing::UpstreamState::kAlive;
    if (alive && (!entry.alive || entry.incarnation != record.incarnation))
      entry.alive_since = now_;
    const auto announced = pending_announcements_.find(record.id);
    if (announced != pending_announcements_.end()) {
      if (record.incarnation < announced->second.announcement.incarnation)
        continue;
      entry.alive_since = announced->second.usable_since;
      pending_announcements_.erase(announced);
    }
    entry.alive = alive;
    entry.incarnation = record.incarnation;
    observations[record.id] = entry;
    upstreams.push_back(
        {.announcement = {.id = record.id,
                          .service = record.service,
                          .domain = record.domain,
                          .address = record.address.ToString(),
                          .slots = static_cast<int>(record.slots),
                          .connections = static_cast<int>(record.connections),
                          .incarnation = record.incarnation},
         .state = state,
         .usable_since = entry.alive_since});
  }
  for (const auto& [id, known] : pending_announcements_)
    upstreams.push_back(known);
  observations_ = std::move(observations);
  std::erase_if(left_incarnations_, [this](const auto& entry) {
    return !observations_.contains(entry.first);
  });
  // An announcement that is missing from the snapshot after 2 s was rejected or
  // removed by the membership service.
  std::erase_if(pending_announcements_, [this](const auto& entry) {
    return now_ - entry.second.usable_since > std::chrono::seconds(2);
  });
  return upstreams;
}

std::vector<routing::EntryHost> MembershipPeers::LiveHosts() {
  const auto snapshot = service_.snapshot();
  std::vector<routing::EntryHost> hosts;
  for (const membership::HostView& host : snapshot->hosts) {
    const membership::MemberRecord& member = host.member;
    if (IsLiveEntry(host) && member.domain == domain_ &&
        member.id.host != self_)
      hosts.push_back(
          {.id = member.id.host, .incarnation = member.incarnation});
  }
  return hosts;
}

routing::ClusterReach MembershipPeers::Reach() {
  const auto snapshot = service_.snapshot();
  std::set<base::HostId> seen = {self_};
  for (const membership::HostView& host : snapshot->hosts) {
    if (host.member.state == membership::MemberState::kAlive)
      seen.insert(host.member.id.host);
  }
  return 2 * seen.size() > cluster_hosts_ ? routing::ClusterReach::kMajority
                                          : routing::ClusterReach::kMinority;
}

std::vector<routing::RemoteService> MembershipPeers::RemoteServices() {
  const auto snapshot = service_.snapshot();
  std::map<base::DomainId, std::vector<std::string>> entries;
  for (const membership::HostView& host : snapshot->hosts) {
    if (IsLiveEntry(host) && host.member.domain != domain_)
      entries[host.member.domain].push_back(host.member.http.ToString());
  }
  std::vector<routing::RemoteService> services;
  for (const auto& [domain, view] : snapshot->domains) {
    const auto hosts = entries.find(domain);
    if (hosts == entries.end())
      continue;
    for (const membership::ServiceSummary& summary : view.services.services) {
      if (summary.upstreams > 0) {
        services.push_back(
            {.service = summary.service,
             .remote = {.domain = domain, .entry_hosts = hosts->second}});
      }
    }
  }
  return services;
}

}  // namespace wigeonstair::entry
