#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_ENDING_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_ENDING_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Gives back what the member holds.
void ReleaseMember(EngineState& state,
                   Job& job,
                   int member,
                   MemberState next_state);

// No member holds anything any more: the job is queued again, released or, when
// it has ended, forgotten by the list of active jobs.
void HandleAllReleased(EngineState& state, Job& job);

// All members finished.
void CompleteJob(EngineState& state, Job& job);

// Stops a checkpointing gang once all members that still run have answered.
void StopIfCheckpointed(EngineState& state, Job& job);

// Whether the job is queued and neither holds nor claims anything.
bool IsQueuedWithoutResources(const Job& job);

// Whether the job may run in a failure domain other than this one.
bool MayRunElsewhere(const EngineState& state, const Job& job);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_ENDING_H_
