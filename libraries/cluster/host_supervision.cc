#include "cluster/host_supervision.h"

#include <vector>

namespace wigeonstair::cluster {

namespace {

HostCondition ConditionOf(const HostObservation& observation,
                          const base::HostId& host) {
  const auto found = observation.hosts.find(host);
  return found == observation.hosts.end() ? HostCondition::kUncertain
                                          : found->second;
}

// Suspends a dead host, so that the other hosts of the domain regain a majority
// or come closer to one.
std::optional<Command> PlanSuspension(const ClusterState& state,
                                      const HostObservation& observation,
                                      const base::DomainId& domain) {
  if (observation.domains_with_authority.contains(domain))
    return std::nullopt;
  std::size_t members = 0;
  std::size_t alive = 0;
  std::vector<base::HostId> dead;
  for (const HostConfiguration& host : state.configuration().hosts) {
    if (host.domain != domain || state.suspended_hosts().contains(host.id))
      continue;
    ++members;
    const HostCondition condition = ConditionOf(observation, host.id);
    if (condition == HostCondition::kAlive)
      ++alive;
    if (condition == HostCondition::kDead)
      dead.push_back(host.id);
  }
  const bool has_majority = alive > members / 2;
  // Without a live host no one could use the new list, and the domain is more
  // likely partitioned than dead.
  if (has_majority || alive == 0 || dead.empty())
    return std::nullopt;
  return SuspendHost{.host = dead.front(),
                     .expected_revision = state.revision()};
}

}  // namespace

std::optional<Command> PlanHostChange(const ClusterState& state,
                                      const HostObservation& observation) {
  for (const base::HostId& host : state.suspended_hosts()) {
    if (ConditionOf(observation, host) == HostCondition::kAlive)
      return RestoreHost{.host = host, .expected_revision = state.revision()};
  }
  for (const DomainConfiguration& domain : state.configuration().domains) {
    if (auto plan = PlanSuspension(state, observation, domain.id))
      return plan;
  }
  return std::nullopt;
}

}  // namespace wigeonstair::cluster
