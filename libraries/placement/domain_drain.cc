#include "placement/domain_drain.h"

#include <vector>

#include "placement/gang_lifecycle.h"
#include "placement/job_ending.h"
#include "placement/reclaim_planner.h"

namespace wigeonstair::placement {

namespace {

const Reason& OutOfServiceReason() {
  static const Reason kReason{
      .code = ReasonCode::kDomainOut,
      .text = "operators took the failure domain out of service"};
  return kReason;
}

void ReleaseWaitingJobs(EngineState& state) {
  // During recovery, waiting jobs may still run on workers that have not
  // reported. EndRecovery() releases them.
  if (state.recovering)
    return;
  std::vector<Job*> waiting;
  for (const auto& [key, job] : state.queue.order()) {
    if (MayRunElsewhere(state, *job))
      waiting.push_back(job);
  }
  for (Job* job : waiting)
    ReleaseJob(state, *job, OutOfServiceReason());
}

// A job that is already stopping for another reason is queued again when it has
// stopped.
void StopForDrain(EngineState& state, Job& job) {
  if (job.ended() || job.state == JobState::kStopping)
    return;
  if (job.state == JobState::kCheckpointing) {
    job.stop_cause = StopCause::kDrain;
    return;
  }
  CheckpointAndStopGang(state, job, StopCause::kDrain,
                        state.options.checkpoint_grace, OutOfServiceReason());
}

void TakeOutOfService(EngineState& state) {
  state.drained_reported = false;
  state.reservations.clear();
  DropAllClaims(state, OutOfServiceReason());
  std::vector<Job*> active;
  for (const auto& [sequence, job] : state.active)
    active.push_back(job);
  for (Job* job : active)
    StopForDrain(state, *job);
  if (state.drain_mode == DrainMode::kRelease)
    ReleaseWaitingJobs(state);
}

// Jobs that are still writing their checkpoint for the drain keep running.
void ReturnToService(EngineState& state) {
  for (const auto& [sequence, job] : state.active) {
    if (job->state != JobState::kCheckpointing ||
        job->stop_cause != StopCause::kDrain)
      continue;
    job->state = JobState::kRunning;
    job->stop_cause = StopCause::kNone;
    state.SetDeadline(*job, std::nullopt);
    state.RecordReason(
        *job, "running",
        {.code = ReasonCode::kAllPrepared,
         .text =
             "the failure domain returned to service before the job stopped"});
  }
  state.pass_needed = true;
}

}  // namespace

void ChangeDomainStatus(EngineState& state, const DomainStatusChanged& change) {
  const bool was_out = state.status == DomainStatus::kOut;
  state.status = change.status;
  state.drain_mode = change.mode;
  if (change.status == DomainStatus::kOut)
    TakeOutOfService(state);
  else if (was_out)
    ReturnToService(state);
}

void ReportDrained(EngineState& state) {
  if (state.status == DomainStatus::kIn || state.drained_reported ||
      state.recovering || !state.active.empty())
    return;
  state.drained_reported = true;
  int checkpointed = 0;
  for (const auto& [key, job] : state.queue.order())
    checkpointed += job->state == JobState::kCheckpointed ? 1 : 0;
  state.Emit(DomainDrained{
      .checkpointed_jobs = checkpointed,
      .reason = {.code = ReasonCode::kDomainOut,
                 .text = "no task holds resources of the domain any more"}});
}

DrainPreview PreviewDrainOf(const EngineState& state, DrainMode mode) {
  DrainPreview preview;
  for (const auto& [id, job] : state.jobs) {
    if (job.ended())
      continue;
    if (job.state == JobState::kRunning ||
        job.state == JobState::kCheckpointing) {
      preview.checkpoint.push_back(id);
      preview.longest = state.options.checkpoint_grace;
    } else if (job.state == JobState::kPreparing ||
               job.state == JobState::kStarting) {
      preview.abort.push_back(id);
    }
    preview.accelerators_in_use +=
        job.held_members * job.specification.accelerators_per_task;
    if (MayRunElsewhere(state, job))
      preview.movable.push_back(id);
    if (mode == DrainMode::kHoldForReturn || !MayRunElsewhere(state, job))
      preview.held.push_back(id);
  }
  return preview;
}

}  // namespace wigeonstair::placement
