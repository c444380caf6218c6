#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_GANG_LIFECYCLE_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_GANG_LIFECYCLE_H_

#include <string_view>
#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// First phase of starting a gang: allocates the resources of all members and
// directs the workers to prepare them. `members` give slot and cell; the
// resources must be free.
void BeginPreparation(EngineState& state,
                      Job& job,
                      std::vector<Member> members,
                      const Reason& reason);

// Directs all members to stop without a checkpoint; those that have not started
// abort their preparation.
void StopGang(EngineState& state,
              Job& job,
              StopCause cause,
              const Reason& reason);

// Directs all members to checkpoint, and stops them once all have done so or
// after the grace period. A gang that is not in state kRunning is stopped at
// once.
void CheckpointAndStopGang(EngineState& state,
                           Job& job,
                           StopCause cause,
                           base::Duration grace,
                           const Reason& reason);

// Updates the estimates of the job and adds it to the queue.
void AddToQueue(EngineState& state, Job& job);

// Emits JobWaiting if no reason was reported for the job yet or the reason code
// has changed; otherwise only updates the stored reason.
void ReportWaiting(EngineState& state, Job& job, Reason reason);

// Adds the job to the queue and emits JobWaiting.
void Enqueue(EngineState& state, Job& job, Reason reason);

// Releases the earmarked resources and the cells of a job in state kReclaiming.
void DropClaims(EngineState& state, Job& job);

// Moves the job to its end state and stops members that still run.
void EndJob(EngineState& state, Job& job, JobEnd end, const Reason& reason);

// Ends a job that can never run in this failure domain.
void RefuseJob(EngineState& state, Job& job, Reason reason);

// Hands the job back so that another failure domain can run it. It must hold no
// resources.
void ReleaseJob(EngineState& state, Job& job, Reason reason);

// Handle events of one member of the current attempt.
void MemberPrepared(EngineState& state, Job& job, int member);
void MemberStarted(EngineState& state, Job& job, int member);
void MemberFinished(EngineState& state, Job& job, int member);
void MemberFailed(EngineState& state,
                  Job& job,
                  int member,
                  std::string_view detail);
void MemberCheckpointed(EngineState& state,
                        Job& job,
                        int member,
                        std::int64_t progress_milliseconds);
void MemberStopped(EngineState& state, Job& job, int member);
// The worker was lost or does not have the task any more. Counts as a failure
// of neither the job nor the worker.
void MemberLost(EngineState& state,
                Job& job,
                int member,
                std::string_view detail);

// Handles the expiry of the deadline of the job's current state.
void HandleDeadline(EngineState& state, Job& job);

// Removes all members from their guaranteed cells; the job goes on running on
// borrowed resources.
void ConvertToBorrowed(EngineState& state, Job& job);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_GANG_LIFECYCLE_H_
