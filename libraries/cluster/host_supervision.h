#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_SUPERVISION_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_SUPERVISION_H_

#include <map>
#include <optional>
#include <set>

#include "base/strong_id.h"
#include "cluster/cluster_state.h"
#include "cluster/command.h"

namespace wigeonstair::cluster {

enum class HostCondition : std::uint8_t {
  kAlive,
  kUncertain,
  // Unresponsive for longer than a transient network failure lasts.
  kDead,
};

struct HostObservation {
  // Control hosts; a missing entry counts as kUncertain.
  std::map<base::HostId, HostCondition> hosts;
  // Domains with a live placement authority.
  std::set<base::DomainId> domains_with_authority;
};

// Returns the command that suspends or restores the next host, if any. Most
// domains have two hosts, so the loss of one leaves the other without a
// majority and the domain without a placement authority until the lost host is
// removed from the domain's member list. A pure function.
std::optional<Command> PlanHostChange(const ClusterState& state,
                                      const HostObservation& observation);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_SUPERVISION_H_
