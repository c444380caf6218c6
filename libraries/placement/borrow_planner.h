#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_BORROW_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_BORROW_PLANNER_H_

#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// A placement of a job on free resources, or the reason why there is none.
struct BorrowPlan {
  // One member per task; empty if the job does not fit.
  std::vector<Member> members = {};
  // Why the job does not fit, or why this placement was chosen, with the
  // rejected alternatives.
  Reason reason = {};
};

// Chooses slots for the whole gang: with the requested adjacency if possible,
// otherwise anywhere in the domain if the job allows that. A job that would
// exceed the borrowing limit of its customer gets no placement.
BorrowPlan PlanBorrow(const EngineState& state, const Job& job);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_BORROW_PLANNER_H_
