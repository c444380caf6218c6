#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SNAPSHOT_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SNAPSHOT_H_

#include <map>
#include <vector>

#include "base/monotonic_clock.h"
#include "membership/record.h"

namespace wigeonstair::membership {

struct HostView {
  MemberRecord member;
  // Default until the member has published one.
  StatusRecord status;
};

struct UpstreamView {
  UpstreamRecord record;
  // The record's state, or kSuspect when its observer has been dead too long.
  UpstreamState state = UpstreamState::kAlive;
  // As far as this host knows, on its own clock.
  base::Instant last_heartbeat;
};

struct DomainView {
  // Default until the domain's authority has published one.
  CapacityRecord capacity;
  ServicesRecord services;
};

// What one host knows at one moment. Immutable.
struct Snapshot {
  // Sorted by id; dead and left members included until they are forgotten.
  std::vector<HostView> hosts;
  // Of the own domain, sorted by id, without gone ones.
  std::vector<UpstreamView> upstreams;
  std::map<base::DomainId, DomainView> domains;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SNAPSHOT_H_
