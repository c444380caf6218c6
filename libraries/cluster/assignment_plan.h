#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_ASSIGNMENT_PLAN_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_ASSIGNMENT_PLAN_H_

#include <compare>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "base/strong_id.h"
#include "cluster/cluster_state.h"
#include "cluster/command.h"
#include "cluster/domain_choice.h"

namespace wigeonstair::cluster {

// A command for the leader to propose, with the reason that is logged.
struct PlannedAssignment {
  Command command;
  base::JobId job;
  std::string why;
  std::vector<DomainRejection> rejected;
};

struct AssignmentInput {
  // Domains whose placement authority responds.
  std::set<base::DomainId> reachable;
  // Domains that are out and in which no task can run any more. Their jobs are
  // requeued even when no placement authority there can release them.
  std::set<base::DomainId> stopped;
  // Jobs with a proposed command that is not applied yet.
  std::set<base::JobId> in_flight;
  // Maximum number of commands in one plan.
  std::size_t limit = 64;

  auto operator<=>(const AssignmentInput&) const = default;
};

// Plans the assignment of queued jobs to domains, the refusal of jobs that no
// domain can ever run, and the release of jobs from domains that have stopped.
// A pure function.
//
// The load of a domain is the sum of the resources that its assigned jobs
// request. It is computed from the replicated log alone, so it does not lag
// behind the assignments.
// FIXME: Workers that are lost or ejected still count as capacity here.
std::vector<PlannedAssignment> PlanAssignments(const ClusterState& state,
                                               const AssignmentInput& input);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_ASSIGNMENT_PLAN_H_
