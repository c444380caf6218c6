#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_WORKER_HEALTH_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_WORKER_HEALTH_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Whether a failure is attributed to the job or to the worker. It is attributed
// to a worker that has not finished any task yet or has failed its last tasks,
// because such a worker may fail everything.
enum class FailureCause { kJob, kWorker };

// Records that a task of the job failed on the slot. Ejects the worker after
// consecutive failures of different jobs, or after one failure on probation,
// unless too many workers are ejected already.
FailureCause RecordFailure(EngineState& state, SlotIndex slot, const Job& job);

// Records that a task finished on the slot. Resets the count of consecutive
// failures and ends an ejection or a probation.
void RecordSuccess(EngineState& state, SlotIndex slot);

// Removes the failures of a job that ends as failed from the health of its
// workers.
void DiscardFailures(EngineState& state, const Job& job);

// Moves workers whose ejection period has passed to probation.
void UpdateProbation(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_WORKER_HEALTH_H_
