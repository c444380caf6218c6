#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RECOVERY_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RECOVERY_H_

#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Puts a worker into the hierarchy, or takes note that it registered again.
void RegisterWorker(EngineState& state, const WorkerRegistered& event);

// Compares everything that a worker holds with the table. Missed changes are
// applied, tasks that no job accounts for are stopped. During recovery those
// are kept until all workers had time to report.
void ReconcileWorker(EngineState& state,
                     SlotIndex slot,
                     const std::vector<ReportedTask>& tasks);

// News of a task that no job of the table accounts for: it does not hold its
// resources any more, or its state matters for adoption after recovery.
void UpdateOrphan(EngineState& state,
                  const TaskKey& key,
                  ReportedState reported,
                  std::int64_t checkpoint_milliseconds);

// Stops again the unknown tasks whose stop was not confirmed.
void RepeatOrphanStops(EngineState& state);

// The worker's lease ran out: its tasks have stopped.
void RemoveLostWorker(EngineState& state, const base::WorkerId& worker);

// Adopts the gangs that workers reported as a whole, stops the others, and
// lets the engine start work.
void EndRecovery(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RECOVERY_H_
