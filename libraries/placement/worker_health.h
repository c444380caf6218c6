#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_WORKER_HEALTH_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_WORKER_HEALTH_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// True when the failure counts against the job. It does not when the worker has
// not finished anything yet, because such a worker may fail everything.
enum class FailureCause { kJob, kWorker };

// A task of the job failed on the slot. Ejects the worker after a streak of
// failures of different jobs, unless too many are ejected already.
FailureCause RecordFailure(EngineState& state, SlotIndex slot, const Job& job);

// A task finished on the slot; ends a streak and a probation.
void RecordSuccess(EngineState& state, SlotIndex slot);

// The job failed for good, so its failures do not count against workers.
void DiscardFailures(EngineState& state, const Job& job);

// Moves ejected workers whose time is over to probation.
void UpdateProbation(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_WORKER_HEALTH_H_
