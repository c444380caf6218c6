#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RECOVERY_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RECOVERY_H_

#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Adds a worker to the hierarchy, or updates one that registered again.
void RegisterWorker(EngineState& state, const WorkerRegistered& event);

// Compares all tasks that a worker reports with the engine's state. Applies
// changes whose events were missed and stops orphans, which are tasks that
// belong to the current attempt of no known job. During recovery, orphans are
// kept until all workers have had time to report.
void ReconcileWorker(EngineState& state,
                     SlotIndex slot,
                     const std::vector<ReportedTask>& tasks);

// Applies a new state of an orphan: records it for adoption at the end of
// recovery, and releases the resources of an orphan that has ended.
void UpdateOrphan(EngineState& state,
                  const TaskKey& key,
                  ReportedState reported,
                  std::int64_t checkpoint_milliseconds);

// Sends another stop directive for each orphan that still holds resources.
void RepeatOrphanStops(EngineState& state);

// Removes a worker whose lease has expired, or that registered again with a
// different capacity. Its tasks have stopped.
void RemoveLostWorker(EngineState& state, const base::WorkerId& worker);

// Adopts the gangs of which every task was reported as running or finished,
// stops all other orphans, and allows the engine to start jobs.
void EndRecovery(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RECOVERY_H_
