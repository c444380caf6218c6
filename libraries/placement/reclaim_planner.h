#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RECLAIM_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RECLAIM_PLANNER_H_

#include <optional>
#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Chooses borrowed jobs whose stop, with the stops under way, makes room for
// all claims. Prefers those that lose the least work. Empty when borrowed jobs
// do not hold enough.
std::optional<std::vector<Job*>> ChooseVictims(
    EngineState& state,
    const std::vector<Claim>& claims);

// What the claimant does while its victims stop. The number of steps is fixed:
// checkpoint, stop, prepare, start.
struct ReclaimPlan {
  std::vector<Member> members = {};
  std::vector<Claim> claims = {};
  std::vector<Job*> victims = {};
  StopCause cause = StopCause::kReclaim;
  base::Duration grace{0};
  Reason reason = {};
};

// Puts the claimant into state kReclaiming and tells the victims to checkpoint
// and stop.
void BeginReclaim(EngineState& state, Job& claimant, ReclaimPlan order);

// Prepares the jobs in state kReclaiming whose room is there.
void FinishReclaims(EngineState& state);

// Gives up the claims on a slot whose worker is gone; these jobs plan again.
void DropClaimsOn(EngineState& state, SlotIndex slot);

// Gives up all claims, when the domain goes out.
void DropAllClaims(EngineState& state, const Reason& reason);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RECLAIM_PLANNER_H_
