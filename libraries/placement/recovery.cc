#include "placement/recovery.h"

#include <algorithm>
#include <limits>
#include <map>

#include "placement/admission.h"
#include "placement/cover_planner.h"
#include "placement/domain_drain.h"
#include "placement/gang_lifecycle.h"
#include "placement/job_ending.h"
#include "placement/reclaim_planner.h"

namespace wigeonstair::placement {

namespace {

bool HoldsResources(ReportedState state) {
  return state == ReportedState::kPrepared ||
         state == ReportedState::kRunning ||
         state == ReportedState::kCheckpointing;
}

// The member index of the reported task, or -1 when the current attempt of the
// job has no such member on this slot.
int MemberOf(const Job* job, const ReportedTask& task, SlotIndex slot) {
  if (!job || job->attempt != task.key.attempt || task.key.index < 0 ||
      task.key.index >= static_cast<int>(job->members.size()) ||
      job->members[task.key.index].slot != slot)
    return -1;
  return task.key.index;
}

void StopOrphan(EngineState& state, SlotIndex slot, const TaskKey& key) {
  state.Emit(StopTask{
      .place = {.task = key, .worker = state.hierarchy.slot(slot).worker},
      .reason = {.code = ReasonCode::kUnknownTask,
                 .text = "the task belongs to no current attempt"}});
}

void AddOrphan(EngineState& state, SlotIndex slot, const ReportedTask& task) {
  const std::vector<Orphan>& orphans = state.hierarchy.slot(slot).orphans;
  const bool known = std::any_of(
      orphans.begin(), orphans.end(),
      [&](const Orphan& orphan) { return orphan.task.key == task.key; });
  const bool finished = task.state == ReportedState::kFinished;
  state.last_attempt = std::max(state.last_attempt, task.key.attempt);
  if (!known &&
      (HoldsResources(task.state) || (state.recovering && finished))) {
    Orphan orphan{.task = task,
                  .accelerators = HoldsResources(task.state)
                                      ? MaskOf(task.accelerators)
                                      : 0};
    const Job* job = state.FindJob(task.key.job);
    if (job && HoldsResources(task.state))
      orphan.resources = job->task_resources();
    state.hierarchy.AddOrphan(slot, std::move(orphan));
  }
  if (!state.recovering && HoldsResources(task.state))
    StopOrphan(state, slot, task.key);
}

void ApplyReported(EngineState& state,
                   Job& job,
                   int member,
                   const ReportedTask& task) {
  Member& known = job.members[member];
  known.checkpoint_milliseconds = std::max(
      known.checkpoint_milliseconds,
      task.checkpoint_milliseconds > 0 ? task.checkpoint_milliseconds : -1);
  switch (task.state) {
    case ReportedState::kPrepared:
      MemberPrepared(state, job, member);
      return;
    case ReportedState::kRunning:
    case ReportedState::kCheckpointing:
      MemberStarted(state, job, member);
      return;
    case ReportedState::kFinished:
      MemberFinished(state, job, member);
      return;
    case ReportedState::kFailed:
      MemberFailed(state, job, member, "reported as failed");
      return;
    case ReportedState::kStopped:
      MemberStopped(state, job, member);
      return;
  }
}

// Handles members that the worker reported before but no longer has. For a task
// that was never reported, the directive to prepare may still be in transit.
void HandleUnreportedMembers(EngineState& state,
                             SlotIndex slot,
                             const std::vector<ReportedTask>& tasks) {
  const std::vector<TaskReference> held = state.hierarchy.slot(slot).tasks;
  for (const TaskReference& reference : held) {
    Job& job = *reference.job;
    if (reference.member >= static_cast<int>(job.members.size()))
      continue;
    const MemberState member = job.members[reference.member].state;
    if (!job.members[reference.member].confirmed)
      continue;
    const bool reported =
        std::any_of(tasks.begin(), tasks.end(), [&](const ReportedTask& task) {
          return task.key == KeyOf(job, reference.member);
        });
    if (reported)
      continue;
    if (member == MemberState::kStopping)
      MemberStopped(state, job, reference.member);
    else
      MemberLost(state, job, reference.member,
                 "the worker no longer reports it");
  }
}

void DropUnreportedOrphans(EngineState& state,
                           SlotIndex slot,
                           const std::vector<ReportedTask>& tasks) {
  const std::vector<Orphan> orphans = state.hierarchy.slot(slot).orphans;
  for (const Orphan& orphan : orphans) {
    const bool held =
        std::any_of(tasks.begin(), tasks.end(), [&](const ReportedTask& task) {
          return task.key == orphan.task.key &&
                 (HoldsResources(task.state) || state.recovering);
        });
    if (!held && state.hierarchy.RemoveOrphan(slot, orphan.task.key))
      state.pass_needed = true;
  }
}

struct ReportedMember {
  SlotIndex slot = kNoSlot;
  Orphan orphan;
};

using ReportedGang = std::map<int, ReportedMember>;

// The reported tasks of the latest attempt of each job.
std::map<base::JobId, ReportedGang> CollectGangs(const EngineState& state) {
  std::map<base::JobId, ReportedGang> gangs;
  std::map<base::JobId, std::int64_t> newest;
  for (SlotIndex i = 0; i < static_cast<int>(state.hierarchy.slots().size());
       ++i) {
    for (const Orphan& orphan : state.hierarchy.slot(i).orphans) {
      const TaskKey& key = orphan.task.key;
      std::int64_t& attempt = newest[key.job];
      if (key.attempt < attempt)
        continue;
      if (key.attempt > attempt)
        gangs[key.job].clear();
      attempt = key.attempt;
      gangs[key.job][key.index] = {.slot = i, .orphan = orphan};
    }
  }
  return gangs;
}

bool IsComplete(const Job& job, const ReportedGang& gang) {
  return static_cast<int>(gang.size()) == job.specification.tasks &&
         gang.begin()->first == 0 &&
         std::all_of(gang.begin(), gang.end(), [](const auto& entry) {
           const ReportedState state = entry.second.orphan.task.state;
           return state == ReportedState::kRunning ||
                  state == ReportedState::kCheckpointing ||
                  state == ReportedState::kFinished;
         });
}

Member AdoptMember(EngineState& state,
                   Job& job,
                   int index,
                   const ReportedMember& reported) {
  const ReportedTask& task = reported.orphan.task;
  state.hierarchy.RemoveOrphan(reported.slot, task.key);
  Member member{.slot = reported.slot,
                .accelerators = reported.orphan.accelerators,
                .state = MemberState::kFinished,
                .checkpoint_milliseconds = task.checkpoint_milliseconds > 0
                                               ? task.checkpoint_milliseconds
                                               : -1,
                .confirmed = true};
  if (task.state == ReportedState::kFinished) {
    ++job.finished_members;
    return member;
  }
  member.state = MemberState::kRunning;
  state.hierarchy.HoldExactly(reported.slot, job.task_resources(),
                              member.accelerators,
                              {.job = &job, .member = index});
  ++job.held_members;
  return member;
}

void Adopt(EngineState& state, Job& job, const ReportedGang& gang) {
  state.queue.Remove(job);
  std::int64_t progress = 0;
  for (const auto& [index, reported] : gang) {
    progress = std::max(progress, reported.orphan.task.progress_milliseconds);
    job.attempt = reported.orphan.task.key.attempt;
    job.members.push_back(AdoptMember(state, job, index, reported));
  }
  job.state = JobState::kRunning;
  job.started_at = state.now - std::chrono::milliseconds(std::max<std::int64_t>(
                                   0, progress - job.checkpoint_milliseconds));
  job.ready_members = job.specification.tasks;
  if (job.finished_members == job.specification.tasks) {
    CompleteJob(state, job);
    return;
  }
  state.active[job.sequence] = &job;
  state.customers[job.customer].borrowed_accelerators +=
      job.held_members * job.specification.accelerators_per_task;
  const bool covered = CoverInPlace(state.hierarchy, state.ledger, job);
  if (covered) {
    job.coverage = Coverage::kGuaranteed;
    state.customers[job.customer].borrowed_accelerators -=
        job.held_members * job.specification.accelerators_per_task;
  }
  state.RecordReason(
      job, "adopted",
      {.code = covered ? ReasonCode::kGuaranteed : ReasonCode::kBorrowed,
       .text = "all tasks were running when the authority changed"});
}

// Sets the progress from which a gang that is stopped resumes: the smallest
// checkpoint of its members. Keeps the former value if a member was not
// reported.
void KeepReportedProgress(Job& job, const ReportedGang& gang) {
  if (static_cast<int>(gang.size()) < job.specification.tasks)
    return;
  std::int64_t progress = std::numeric_limits<std::int64_t>::max();
  for (const auto& [index, reported] : gang)
    progress = std::min(progress, reported.orphan.task.checkpoint_milliseconds);
  job.checkpoint_milliseconds = std::max(job.checkpoint_milliseconds, progress);
}

void AdoptGangs(EngineState& state) {
  for (const auto& [id, gang] : CollectGangs(state)) {
    Job* job = state.FindJob(id);
    if (!job || job->ended() || gang.empty())
      continue;
    job->attempt =
        std::max(job->attempt, gang.begin()->second.orphan.task.key.attempt);
    if (IsComplete(*job, gang))
      Adopt(state, *job, gang);
    else
      KeepReportedProgress(*job, gang);
  }
}

// Directs the orphans that were not adopted to stop. Each keeps its
// accelerators until its stop is confirmed; among them are tasks reported for
// two slots of one worker or with wrong indexes.
void StopRemainingOrphans(EngineState& state) {
  for (SlotIndex i = 0; i < static_cast<int>(state.hierarchy.slots().size());
       ++i) {
    const std::vector<Orphan> orphans = state.hierarchy.slot(i).orphans;
    for (const Orphan& orphan : orphans) {
      if (orphan.task.state == ReportedState::kFinished)
        state.hierarchy.RemoveOrphan(i, orphan.task.key);
      else
        StopOrphan(state, i, orphan.task.key);
    }
  }
}

}  // namespace

void RegisterWorker(EngineState& state, const WorkerRegistered& event) {
  SlotIndex slot = state.hierarchy.Find(event.worker);
  if (slot != kNoSlot &&
      state.hierarchy.slot(slot).capacity != event.capacity) {
    RemoveLostWorker(state, event.worker);
    slot = kNoSlot;
  }
  if (slot == kNoSlot) {
    slot = state.hierarchy.Attach(event.worker, event.rack, event.capacity);
    state.ledger.FitToCapacity(state.hierarchy, slot);
  }
  state.pass_needed = true;
  ReconcileWorker(state, slot, event.tasks);
}

void ReconcileWorker(EngineState& state,
                     SlotIndex slot,
                     const std::vector<ReportedTask>& tasks) {
  DropUnreportedOrphans(state, slot, tasks);
  HandleUnreportedMembers(state, slot, tasks);
  for (const ReportedTask& task : tasks) {
    Job* job = state.FindJob(task.key.job);
    const int member = MemberOf(job, task, slot);
    if (member >= 0)
      ApplyReported(state, *job, member, task);
    else
      AddOrphan(state, slot, task);
  }
}

void UpdateOrphan(EngineState& state,
                  const TaskKey& key,
                  ReportedState reported,
                  std::int64_t checkpoint_milliseconds) {
  const int slots = static_cast<int>(state.hierarchy.slots().size());
  for (SlotIndex i = 0; i < slots; ++i) {
    std::vector<Orphan>& orphans = state.hierarchy.slot(i).orphans;
    const auto found = std::find_if(
        orphans.begin(), orphans.end(),
        [&](const Orphan& orphan) { return orphan.task.key == key; });
    if (found == orphans.end())
      continue;
    ReportedTask task = found->task;
    task.state = reported;
    task.checkpoint_milliseconds =
        std::max(task.checkpoint_milliseconds, checkpoint_milliseconds);
    if (HoldsResources(reported)) {
      found->task = task;
      return;
    }
    state.hierarchy.RemoveOrphan(i, key);
    state.pass_needed = true;
    if (state.recovering && reported == ReportedState::kFinished)
      AddOrphan(state, i, task);
    return;
  }
}

void RepeatOrphanStops(EngineState& state) {
  if (state.recovering || state.now < state.next_orphan_stop_at)
    return;
  state.next_orphan_stop_at = state.now + state.options.stop_retry_interval;
  const int slots = static_cast<int>(state.hierarchy.slots().size());
  for (SlotIndex i = 0; i < slots; ++i) {
    for (const Orphan& orphan : state.hierarchy.slot(i).orphans)
      StopOrphan(state, i, orphan.task.key);
  }
}

void RemoveLostWorker(EngineState& state, const base::WorkerId& worker) {
  const SlotIndex slot = state.hierarchy.Find(worker);
  if (slot == kNoSlot)
    return;
  DropClaimsOn(state, slot);
  const std::vector<TaskReference> held = state.hierarchy.slot(slot).tasks;
  for (const TaskReference& reference : held)
    MemberLost(state, *reference.job, reference.member, "its worker was lost");
  state.hierarchy.Detach(slot);
  state.pass_needed = true;
}

void EndRecovery(EngineState& state) {
  if (!state.recovering)
    return;
  AdoptGangs(state);
  state.recovering = false;
  StopRemainingOrphans(state);
  RefuseInfeasibleWaitingJobs(state);
  state.pass_needed = true;
  // A domain that is out of service must not keep running the gangs that were
  // started under an earlier authority.
  if (state.status == DomainStatus::kOut)
    ChangeDomainStatus(state,
                       {.status = state.status, .mode = state.drain_mode});
}

}  // namespace wigeonstair::placement
