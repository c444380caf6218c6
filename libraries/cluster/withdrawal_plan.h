#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_WITHDRAWAL_PLAN_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_WITHDRAWAL_PLAN_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/cluster_state.h"

namespace wigeonstair::cluster {

// How long a job waits in its domain before it may move to another one. About
// as long as reclaiming accelerators takes, including the checkpoint.
inline constexpr base::Duration kWithdrawAfter = std::chrono::seconds(5);

struct WithdrawalInput {
  // The domain whose placement authority reports the waiting jobs.
  base::DomainId domain;
  // Domains whose placement authority responds.
  std::set<base::DomainId> reachable;
  // Jobs of the domain that hold no resources, in scheduling order.
  std::vector<base::JobId> waiting;
  // Maximum number of jobs in one plan.
  std::size_t limit = 16;
};

struct PlannedWithdrawal {
  base::JobId job;
  std::string why;
};

// A job that was assigned this many times is not withdrawn any more, so that
// jobs that fit nowhere do not move between domains forever.
inline constexpr std::uint32_t kMaximumAssignments = 16;

// Returns false when no other domain is reachable; PlanWithdrawals() then plans
// nothing.
bool MayWithdraw(const WithdrawalInput& input);

// Plans the withdrawal of waiting jobs that would fit into the free capacity of
// another domain. A pure function that chooses domains by the same rules as
// PlanAssignments(), so that a job is not reassigned to the domain it leaves.
std::vector<PlannedWithdrawal> PlanWithdrawals(const ClusterState& state,
                                               const WithdrawalInput& input);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_WITHDRAWAL_PLAN_H_
