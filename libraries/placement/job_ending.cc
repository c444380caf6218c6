#include "placement/job_ending.h"

#include <algorithm>

#include "placement/gang_lifecycle.h"

namespace wigeonstair::placement {

namespace {

// Raises the progress of the job to what all unfinished members have
// checkpointed.
void UpdateCheckpointedProgress(Job& job) {
  std::int64_t progress = -1;
  for (const Member& member : job.members) {
    if (member.state == MemberState::kFinished)
      continue;
    progress = progress < 0
                   ? member.checkpoint_milliseconds
                   : std::min(progress, member.checkpoint_milliseconds);
    if (member.checkpoint_milliseconds < 0)
      return;
  }
  job.checkpoint_milliseconds = std::max(job.checkpoint_milliseconds, progress);
}

// Keeps the job for Explain(), and erases the oldest ended jobs beyond the
// limit, so that memory stays bounded. Jobs that still hold resources are kept.
void RetainEndedJob(EngineState& state, const Job& job) {
  state.ended_jobs.push_back(job.specification.id);
  const auto limit =
      static_cast<std::size_t>(state.options.retained_ended_jobs);
  std::size_t tries = state.ended_jobs.size();
  while (state.ended_jobs.size() > limit && tries-- > 0) {
    const base::JobId id = state.ended_jobs.front();
    state.ended_jobs.pop_front();
    const Job* ended = state.FindJob(id);
    if (id == job.specification.id || (ended && ended->held_members > 0))
      state.ended_jobs.push_back(id);
    else
      state.jobs.erase(id);
  }
}

// Removes the job from the queue, drops its claims and deadline, and sets its
// state. The job stays in the table of all jobs.
void SetEndState(EngineState& state, Job& job, JobState end_state) {
  state.queue.Remove(job);
  if (job.state == JobState::kReclaiming)
    DropClaims(state, job);
  state.SetDeadline(job, std::nullopt);
  job.state = end_state;
}

}  // namespace

bool MayRunElsewhere(const EngineState& state, const Job& job) {
  const auto& allowed = job.specification.allowed_domains;
  return allowed.empty() ||
         std::any_of(allowed.begin(), allowed.end(),
                     [&](const base::DomainId& domain) {
                       return domain != state.options.domain.id;
                     });
}

bool IsQueuedWithoutResources(const Job& job) {
  return (job.state == JobState::kQueued ||
          job.state == JobState::kCheckpointed) &&
         job.held_members == 0;
}

void ReleaseMember(EngineState& state,
                   Job& job,
                   int index,
                   MemberState next_state) {
  Member& member = job.members[index];
  const Resources resources = job.task_resources();
  state.hierarchy.Release(member.slot, resources, member.accelerators,
                          {.job = &job, .member = index}, state.now);
  if (member.cell >= 0) {
    state.ledger.Uncover(member.cell, member.segment, resources);
    member.cell = member.segment = -1;
  }
  if (job.coverage == Coverage::kBorrowed) {
    state.customers[job.customer].borrowed_accelerators -=
        resources.accelerators;
  }
  member.state = next_state;
  --job.held_members;
  state.pass_needed = true;
}

void StopIfCheckpointed(EngineState& state, Job& job) {
  const bool complete = std::all_of(
      job.members.begin(), job.members.end(), [](const Member& member) {
        return !HoldsResources(member.state) || member.checkpoint_confirmed;
      });
  if (complete) {
    StopGang(state, job, job.stop_cause,
             {.code = job.reason.code, .text = "the checkpoint is complete"});
  }
}

void HandleAllReleased(EngineState& state, Job& job) {
  state.active.erase(job.sequence);
  state.SetDeadline(job, std::nullopt);
  if (job.ended())
    return;
  if (job.stop_ordered_at)
    state.migration_cost.ObserveStop(state.now - *job.stop_ordered_at);
  UpdateCheckpointedProgress(job);
  job.members.clear();
  if (state.status == DomainStatus::kOut &&
      state.drain_mode == DrainMode::kRelease && MayRunElsewhere(state, job)) {
    ReleaseJob(state, job,
               {.code = ReasonCode::kDomainOut,
                .text = "released so that another failure domain can run it"});
    return;
  }
  const Reason stopped = job.reason;
  if (job.stop_cause == StopCause::kDrain &&
      state.HasFault(PlantedFault::kDropCheckpointedJobs)) {
    job.state = JobState::kCheckpointed;
    return;
  }
  Enqueue(state, job,
          {.code = stopped.code,
           .text = Join("queued again after a stop: ", stopped.text)});
}

void CompleteJob(EngineState& state, Job& job) {
  state.estimator.Observe(
      job.specification,
      state.now - job.started_at +
          std::chrono::milliseconds(job.checkpoint_milliseconds));
  state.active.erase(job.sequence);
  EndJob(state, job, JobEnd::kFinished,
         {.code = ReasonCode::kCompleted, .text = "all tasks finished"});
}

void AddToQueue(EngineState& state, Job& job) {
  const RuntimeEstimate estimate = state.estimator.Estimate(job.specification);
  job.estimate = estimate.typical;
  job.upper_estimate = estimate.upper;
  job.state = job.checkpoint_milliseconds > 0 ? JobState::kCheckpointed
                                              : JobState::kQueued;
  job.queued_at = state.now;
  state.queue.Add(job, state.customers[job.customer].configuration.priority);
}

void ReportWaiting(EngineState& state, Job& job, Reason reason) {
  if (!job.entries.empty() && job.reason.code == reason.code) {
    job.reason = std::move(reason);
    return;
  }
  state.RecordReason(job, "waiting", reason);
  JobWaiting waiting{.job = job.specification.id, .reason = std::move(reason)};
  for (const Reservation& reservation : state.reservations) {
    if (reservation.sequence == job.sequence)
      waiting.expected_wait = reservation.start - state.now;
  }
  state.Emit(std::move(waiting));
}

void Enqueue(EngineState& state, Job& job, Reason reason) {
  AddToQueue(state, job);
  state.pass_needed = true;
  state.RecordReason(job, "waiting", reason);
  state.Emit(
      JobWaiting{.job = job.specification.id, .reason = std::move(reason)});
}

void DropClaims(EngineState& state, Job& job) {
  for (const Claim& claim : job.claims)
    state.hierarchy.slot(claim.slot).earmarked -= claim.resources;
  job.claims.clear();
  for (const Member& member : job.planned_members) {
    if (member.cell >= 0)
      state.ledger.Uncover(member.cell, member.segment, job.task_resources());
  }
  job.planned_members.clear();
  state.reclaiming.erase(job.sequence);
  state.SetDeadline(job, std::nullopt);
  state.pass_needed = true;
}

void EndJob(EngineState& state, Job& job, JobEnd end, const Reason& reason) {
  SetEndState(state, job,
              end == JobEnd::kFinished ? JobState::kFinished
              : end == JobEnd::kFailed ? JobState::kFailed
                                       : JobState::kCancelled);
  state.RecordReason(job, "ended", reason);
  state.Emit(
      JobEnded{.job = job.specification.id, .end = end, .reason = reason});
  if (job.held_members > 0)
    StopGang(state, job, StopCause::kCancel, reason);
  else
    state.active.erase(job.sequence);
  RetainEndedJob(state, job);
}

void RefuseJob(EngineState& state, Job& job, Reason reason) {
  SetEndState(state, job, JobState::kRefused);
  state.RecordReason(job, "refused", reason);
  state.Emit(
      JobRefused{.job = job.specification.id, .reason = std::move(reason)});
  RetainEndedJob(state, job);
}

void ReleaseJob(EngineState& state, Job& job, Reason reason) {
  SetEndState(state, job, JobState::kReleased);
  state.RecordReason(job, "released", reason);
  state.Emit(JobReleased{.job = job.specification.id,
                         .checkpoint_milliseconds = job.checkpoint_milliseconds,
                         .reason = std::move(reason)});
  RetainEndedJob(state, job);
}

}  // namespace wigeonstair::placement
