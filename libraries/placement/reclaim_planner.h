#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RECLAIM_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RECLAIM_PLANNER_H_

#include <optional>
#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Chooses borrowed jobs to stop so that, together with the stops in progress,
// all claims can be met. Prefers jobs that lose the least work. Empty when
// borrowed jobs do not hold enough resources.
std::optional<std::vector<Job*>> ChooseVictims(
    EngineState& state,
    const std::vector<Claim>& claims);

// The victims of a reclaim and the members that the claimant prepares once the
// victims have stopped. The steps are fixed: checkpoint, stop, prepare, start.
struct ReclaimPlan {
  std::vector<Member> members = {};
  std::vector<Claim> claims = {};
  std::vector<Job*> victims = {};
  StopCause cause = StopCause::kReclaim;
  base::Duration grace{0};
  Reason reason = {};
};

// Moves the claimant to state kReclaiming and directs the victims to checkpoint
// and stop.
void BeginReclaim(EngineState& state, Job& claimant, ReclaimPlan plan);

// Prepares the jobs in state kReclaiming whose claimed resources are free.
void FinishReclaims(EngineState& state);

// Drops the claims of all jobs that wait for a slot whose worker was lost, and
// queues these jobs again.
void DropClaimsOn(EngineState& state, SlotIndex slot);

// Drops all claims when the domain is taken out of service.
void DropAllClaims(EngineState& state, const Reason& reason);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RECLAIM_PLANNER_H_
