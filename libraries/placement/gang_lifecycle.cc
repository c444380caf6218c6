#include "placement/gang_lifecycle.h"

#include <algorithm>

#include "placement/job_ending.h"
#include "placement/worker_health.h"

namespace wigeonstair::placement {

namespace {

// A job whose total failures reach this multiple of its limit ends, even if all
// of them are attributed to workers.
constexpr int kTotalFailureFactor = 3;

Reason MemberReason(const base::WorkerId& worker,
                    int member,
                    std::string_view detail) {
  return {.code = ReasonCode::kGangMemberFailed,
          .text = Join(
              "task ", member, " on worker ", worker.value(), ": ",
              detail.empty() ? "it failed without an error message" : detail)};
}

bool IsStarted(MemberState state) {
  return state == MemberState::kStarting || state == MemberState::kRunning;
}

void StartMembers(EngineState& state, Job& job) {
  StartGang start{.job = job.specification.id,
                  .reason = {.code = ReasonCode::kAllPrepared,
                             .text = Join("all ", job.specification.tasks,
                                          " tasks are prepared")}};
  for (int i = 0; i < static_cast<int>(job.members.size()); ++i) {
    if (!HoldsResources(job.members[i].state))
      continue;
    job.members[i].state = MemberState::kStarting;
    start.members.push_back(PlaceOf(state, job, i));
  }
  job.state = JobState::kStarting;
  job.ready_members = 0;
  state.SetDeadline(job, state.now + state.options.start_timeout);
  state.RecordReason(job, "start", start.reason);
  state.Emit(std::move(start));
}

void FailJobOrRetry(EngineState& state, Job& job, const Reason& reason) {
  const int limit = state.options.maximum_failures;
  if (job.attributed_failures >= limit ||
      job.total_failures >= limit * kTotalFailureFactor) {
    DiscardFailures(state, job);
    EndJob(state, job, JobEnd::kFailed,
           {.code = ReasonCode::kAttemptsExhausted,
            .text = Join("failed ", job.total_failures,
                         " times; last: ", reason.text)});
    return;
  }
  StopGang(state, job, StopCause::kFailure, reason);
}

void RecordMemberFailure(EngineState& state, Job& job, int member) {
  const SlotIndex slot = job.members[member].slot;
  const FailureCause failure_cause = RecordFailure(state, slot, job);
  ++job.total_failures;
  job.avoid_until = state.now + state.options.ejection_period;
  const bool seen = std::find(job.failed_slots.begin(), job.failed_slots.end(),
                              slot) != job.failed_slots.end();
  if (seen)
    return;
  job.failed_slots.push_back(slot);
  if (failure_cause == FailureCause::kJob)
    ++job.attributed_failures;
}

// Stops a gang whose members did not all prepare or start in time.
void HandleMemberTimeout(EngineState& state, Job& job) {
  const bool preparing = job.state == JobState::kPreparing;
  const MemberState awaited =
      preparing ? MemberState::kPreparing : MemberState::kStarting;
  const Reason reason{
      .code =
          preparing ? ReasonCode::kPrepareTimeout : ReasonCode::kStartTimeout,
      .text = "some tasks were not prepared or started in time"};
  if (!preparing && state.HasFault(PlantedFault::kIgnoreStartTimeout))
    return;
  for (int i = 0; i < static_cast<int>(job.members.size()); ++i) {
    if (job.members[i].state == awaited)
      RecordMemberFailure(state, job, i);
  }
  FailJobOrRetry(state, job, reason);
}

void RepeatStops(EngineState& state, Job& job) {
  for (int i = 0; i < static_cast<int>(job.members.size()); ++i) {
    if (job.members[i].state != MemberState::kStopping)
      continue;
    state.Emit(StopTask{
        .place = PlaceOf(state, job, i),
        .reason = {.code = ReasonCode::kStopUnconfirmed,
                   .text = "the stop was not confirmed in time; sent again"}});
  }
  state.SetDeadline(job, state.now + state.options.stop_retry_interval);
}

}  // namespace

void BeginPreparation(EngineState& state,
                      Job& job,
                      std::vector<Member> members,
                      const Reason& reason) {
  state.queue.Remove(job);
  job.attempt = ++state.last_attempt;
  job.members = std::move(members);
  job.coverage = job.members.front().cell >= 0 ? Coverage::kGuaranteed
                                               : Coverage::kBorrowed;
  job.state = JobState::kPreparing;
  job.prepare_ordered_at = state.now;
  job.stop_ordered_at.reset();
  job.stop_cause = StopCause::kNone;
  job.after_stop = AfterStop::kRequeue;
  job.held_members = static_cast<int>(job.members.size());
  job.ready_members = job.finished_members = 0;
  state.active[job.sequence] = &job;
  state.SetDeadline(job, state.now + state.options.prepare_timeout);
  if (job.coverage == Coverage::kBorrowed)
    state.customers[job.customer].borrowed_accelerators += job.accelerators();
  state.RecordReason(job, "prepare", reason);
  const Resources resources = job.task_resources();
  for (int i = 0; i < job.held_members; ++i) {
    Member& member = job.members[i];
    member.accelerators = state.hierarchy.Hold(
        member.slot, resources, {.job = &job, .member = i}, state.now);
    if (state.HasFault(PlantedFault::kGrantTwice))
      state.hierarchy.MarkHeldAsFree(member.slot, member.accelerators);
    state.Emit(PrepareTask{
        .place = PlaceOf(state, job, i),
        .accelerators = AcceleratorList(member.accelerators),
        .resources = resources,
        .coverage = job.coverage,
        .resume_from_milliseconds = job.checkpoint_milliseconds,
        .reason = i == 0 ? reason
                         : Reason{.code = reason.code, .text = reason.text}});
  }
}

void StopGang(EngineState& state,
              Job& job,
              StopCause cause,
              const Reason& reason) {
  if (!job.ended()) {
    job.stop_cause = cause;
    job.state = JobState::kStopping;
    state.RecordReason(job, "stop", reason);
  }
  for (int i = 0; i < static_cast<int>(job.members.size()); ++i) {
    Member& member = job.members[i];
    if (!HoldsResources(member.state) || member.state == MemberState::kStopping)
      continue;
    if (IsStarted(member.state))
      state.Emit(StopTask{.place = PlaceOf(state, job, i), .reason = reason});
    else
      state.Emit(
          AbortPreparation{.place = PlaceOf(state, job, i), .reason = reason});
    member.state = MemberState::kStopping;
  }
  state.SetDeadline(job, state.now + state.options.stop_retry_interval);
  if (job.held_members == 0)
    HandleAllReleased(state, job);
}

void CheckpointAndStopGang(EngineState& state,
                           Job& job,
                           StopCause cause,
                           base::Duration grace,
                           const Reason& reason) {
  if (job.state != JobState::kRunning) {
    StopGang(state, job, cause, reason);
    return;
  }
  job.state = JobState::kCheckpointing;
  job.stop_cause = cause;
  job.stop_ordered_at = state.now;
  job.ready_members = 0;
  state.RecordReason(job, "checkpoint", reason);
  state.SetDeadline(job, state.now + grace);
  for (int i = 0; i < static_cast<int>(job.members.size()); ++i) {
    job.members[i].checkpoint_confirmed = false;
    if (HoldsResources(job.members[i].state)) {
      state.Emit(
          CheckpointTask{.place = PlaceOf(state, job, i), .reason = reason});
    }
  }
}

void MemberPrepared(EngineState& state, Job& job, int index) {
  Member& member = job.members[index];
  member.confirmed = true;
  if (member.state != MemberState::kPreparing)
    return;
  member.state = MemberState::kPrepared;
  ++job.ready_members;
  if (job.ready_members == job.specification.tasks ||
      state.HasFault(PlantedFault::kStartBeforeAllPrepared))
    StartMembers(state, job);
}

void MemberStarted(EngineState& state, Job& job, int index) {
  Member& member = job.members[index];
  if (member.state != MemberState::kStarting)
    return;
  member.state = MemberState::kRunning;
  ++job.ready_members;
  if (job.state != JobState::kStarting ||
      job.ready_members < job.specification.tasks)
    return;
  job.state = JobState::kRunning;
  job.started_at = state.now;
  if (job.checkpoint_milliseconds > 0 && job.prepare_ordered_at)
    state.migration_cost.ObserveStart(state.now - *job.prepare_ordered_at);
  state.SetDeadline(job, std::nullopt);
  state.RecordReason(
      job, "running",
      {.code = ReasonCode::kAllPrepared, .text = "all tasks are running"});
}

void MemberFinished(EngineState& state, Job& job, int index) {
  Member& member = job.members[index];
  if (!HoldsResources(member.state) ||
      member.state == MemberState::kPreparing ||
      member.state == MemberState::kPrepared)
    return;
  // The start event was lost, or the task finished before it was sent.
  if (member.state == MemberState::kStarting)
    MemberStarted(state, job, index);
  RecordSuccess(state, member.slot);
  ++job.finished_members;
  ReleaseMember(state, job, index, MemberState::kFinished);
  if (job.finished_members == job.specification.tasks && !job.ended()) {
    CompleteJob(state, job);
    return;
  }
  if (job.held_members == 0)
    HandleAllReleased(state, job);
  else if (job.state == JobState::kCheckpointing)
    StopIfCheckpointed(state, job);
}

void MemberFailed(EngineState& state,
                  Job& job,
                  int index,
                  std::string_view detail) {
  Member& member = job.members[index];
  if (!HoldsResources(member.state))
    return;
  const bool stopping = member.state == MemberState::kStopping;
  const base::WorkerId worker = state.hierarchy.slot(member.slot).worker;
  ReleaseMember(state, job, index, MemberState::kTerminated);
  if (stopping || job.ended()) {
    if (job.held_members == 0)
      HandleAllReleased(state, job);
    return;
  }
  RecordMemberFailure(state, job, index);
  if (state.HasFault(PlantedFault::kKeepGangAfterFailure) &&
      job.held_members > 0)
    return;
  FailJobOrRetry(state, job, MemberReason(worker, index, detail));
}

void MemberCheckpointed(EngineState& state,
                        Job& job,
                        int index,
                        std::int64_t progress_milliseconds) {
  Member& member = job.members[index];
  if (!HoldsResources(member.state))
    return;
  member.checkpoint_milliseconds =
      std::max(member.checkpoint_milliseconds, progress_milliseconds);
  if (job.state != JobState::kCheckpointing || member.checkpoint_confirmed)
    return;
  member.checkpoint_confirmed = true;
  StopIfCheckpointed(state, job);
}

void MemberStopped(EngineState& state, Job& job, int index) {
  Member& member = job.members[index];
  if (!HoldsResources(member.state))
    return;
  if (member.state != MemberState::kStopping) {
    MemberLost(state, job, index, "the worker stopped it without a directive");
    return;
  }
  ReleaseMember(state, job, index, MemberState::kTerminated);
  if (job.held_members == 0)
    HandleAllReleased(state, job);
}

void MemberLost(EngineState& state,
                Job& job,
                int index,
                std::string_view detail) {
  if (!HoldsResources(job.members[index].state))
    return;
  const base::WorkerId worker =
      state.hierarchy.slot(job.members[index].slot).worker;
  ReleaseMember(state, job, index, MemberState::kTerminated);
  if (job.ended() || job.state == JobState::kStopping) {
    if (job.held_members == 0)
      HandleAllReleased(state, job);
    return;
  }
  if (state.HasFault(PlantedFault::kKeepGangAfterFailure) &&
      job.held_members > 0)
    return;
  const StopCause cause = job.state == JobState::kCheckpointing
                              ? job.stop_cause
                              : StopCause::kFailure;
  StopGang(state, job, cause, MemberReason(worker, index, detail));
}

void HandleDeadline(EngineState& state, Job& job) {
  state.SetDeadline(job, std::nullopt);
  if (job.held_members > 0 &&
      (job.ended() || job.state == JobState::kStopping)) {
    RepeatStops(state, job);
    return;
  }
  switch (job.state) {
    case JobState::kPreparing:
    case JobState::kStarting:
      HandleMemberTimeout(state, job);
      return;
    case JobState::kCheckpointing:
      StopGang(
          state, job, job.stop_cause,
          {.code = job.reason.code,
           .text = "the checkpoint did not complete within the grace period"});
      return;
    case JobState::kReclaiming:
      DropClaims(state, job);
      Enqueue(state, job,
              {.code = ReasonCode::kNoCapacity,
               .text = "the claims were not met in time; queued again"});
      return;
    default:
      return;
  }
}

void ConvertToBorrowed(EngineState& state, Job& job) {
  if (job.coverage != Coverage::kGuaranteed)
    return;
  job.coverage = Coverage::kBorrowed;
  for (Member& member : job.members) {
    if (HoldsResources(member.state)) {
      state.customers[job.customer].borrowed_accelerators +=
          job.specification.accelerators_per_task;
      if (member.cell >= 0)
        state.ledger.Uncover(member.cell, member.segment, job.task_resources());
    }
    member.cell = member.segment = -1;
  }
}

}  // namespace wigeonstair::placement
