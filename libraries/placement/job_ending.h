#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_ENDING_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_ENDING_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Releases the resources and the guaranteed cell of the member.
void ReleaseMember(EngineState& state,
                   Job& job,
                   int member,
                   MemberState next_state);

// Called when no member holds resources any more: removes the job from the
// active jobs and, unless it has ended, queues it again or releases it to
// another failure domain.
void HandleAllReleased(EngineState& state, Job& job);

// Ends the job as finished and records its run time for later estimates.
void CompleteJob(EngineState& state, Job& job);

// Stops a checkpointing gang once all members that still hold resources have
// confirmed the checkpoint.
void StopIfCheckpointed(EngineState& state, Job& job);

// Whether the job is queued and neither holds nor claims resources.
bool IsQueuedWithoutResources(const Job& job);

// Whether the job may run in a failure domain other than this one.
bool MayRunElsewhere(const EngineState& state, const Job& job);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_ENDING_H_
