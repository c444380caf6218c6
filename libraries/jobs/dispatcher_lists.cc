#include <algorithm>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// How long the answer to a hold may wait for an end. Long, because each hold
// has a cost; a lease must outlast several of them.
constexpr base::Duration kLongestHoldWait = std::chrono::milliseconds(1500);
// Leases of a worker that has not answered for this time are not extended, so
// that its tasks can be placed elsewhere once the last lease has expired.
constexpr base::Duration kNoAnswerLimit = std::chrono::milliseconds(3500);
// Interval of the checks whether a worker without tasks needs a hold.
constexpr base::Duration kIdleCheckInterval = std::chrono::milliseconds(50);
// Delay before the next hold after an unusable answer or none.
constexpr base::Duration kHoldRetryDelay = std::chrono::milliseconds(400);
// Delay before the next hold after an answer with rows that were skipped. A
// worker lists an end until it is acknowledged, and then answers at once.
constexpr base::Duration kForeignRowsDelay = std::chrono::milliseconds(100);
// Number of runs of unknown jobs that are stopped after one answer.
constexpr int kMaximumUnknownStops = 8;
// A worker without any heartbeat or answer for this time is removed.
constexpr base::Duration kWorkerExpiry = std::chrono::seconds(45);
// Delay before a removal that did not take effect is proposed again. Longer
// than the timeout of a proposal.
constexpr base::Duration kRemovalRetryDelay = std::chrono::seconds(3);
// Number of failures since the last completed task after which a worker gets no
// tasks for `kFailurePause`.
constexpr int kFailureThreshold = 2;
constexpr base::Duration kFailurePause = std::chrono::seconds(6);

RunOutcome OutcomeOf(ListedOutcome outcome) {
  switch (outcome) {
    case ListedOutcome::kDone:
      return RunOutcome::kDone;
    case ListedOutcome::kFailed:
      return RunOutcome::kFailed;
    case ListedOutcome::kStopped:
    case ListedOutcome::kLeaseExpired:
    case ListedOutcome::kGangBroken:
    case ListedOutcome::kGangIncomplete:
      return RunOutcome::kReturned;
  }
  return RunOutcome::kReturned;
}

std::string_view NameOf(ListedOutcome outcome) {
  switch (outcome) {
    case ListedOutcome::kDone:
      return "done";
    case ListedOutcome::kFailed:
      return "failed";
    case ListedOutcome::kStopped:
      return "stopped";
    case ListedOutcome::kLeaseExpired:
      return "lease_expired";
    case ListedOutcome::kGangBroken:
      return "gang_broken";
    case ListedOutcome::kGangIncomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

}  // namespace

void Dispatcher::SendDueHolds(const Now& now) {
  for (auto& [id, worker] : workers_) {
    if (worker.hold_in_flight || worker.ends_in_flight ||
        now.instant < worker.next_hold_at) {
      continue;
    }
    const bool runs = HasStartedRuns(worker.description.incarnation);
    if (!runs && worker.listed_in_term && !worker.needs_probe &&
        worker.confirmed_end == worker.acknowledged_end) {
      // An accepted start schedules a hold immediately.
      worker.next_hold_at = now.instant + kIdleCheckInterval;
      continue;
    }
    SendHold(worker,
             runs && worker.listed_in_term
                 ? HoldWaitMs(worker.description.incarnation, now)
                 : 0,
             now);
  }
}

bool Dispatcher::HasStartedRuns(const WorkerIncarnation& worker) const {
  const auto found = runs_by_worker_.find(worker);
  if (found == runs_by_worker_.end())
    return false;
  const auto& runs = found->second.runs;
  return std::any_of(runs.begin(), runs.end(), [](const auto& item) {
    return item.second->starts.sent > 0 &&
           item.second->phase != RunPhase::kProposed;
  });
}

std::uint32_t Dispatcher::HoldWaitMs(const WorkerIncarnation& worker,
                                     const Now& now) const {
  base::Duration wait = kLongestHoldWait;
  for (const auto& [key, run] : runs_by_worker_.at(worker).runs) {
    if (run->running_since || !AnsweredSince(*run))
      continue;
    const base::Instant needed_at =
        run->room_released ? run->starts.LastExecution() : now.instant;
    wait = std::min(wait, std::max(needed_at - now.instant, base::Duration{}));
  }
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

void Dispatcher::SendHold(Worker& worker,
                          std::uint32_t wait_ms,
                          const Now& now) {
  HoldAction hold{.worker = worker.description.incarnation,
                  .address = worker.description.address,
                  .term = term_,
                  .fencing_token = worker.fencing_token,
                  .acknowledged_end = worker.acknowledged_end,
                  .wait_ms = wait_ms};
  const bool silent = now.instant - worker.answered_at > kNoAnswerLimit;
  // A call that is not answered may not arrive, so a longer lease would only
  // delay the return of the runs.
  if (worker.clock_ms && !silent && !worker.unanswered_at) {
    const auto lease_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.longest_lease);
    hold.lease_until_ms = WorkerClockMs(worker, now) +
                          static_cast<std::uint64_t>(lease_ms.count());
    ExtendLeaseBound(worker, *hold.lease_until_ms, now);
  }
  worker.hold_in_flight = true;
  worker.needs_probe = false;
  actions_.emplace_back(std::move(hold));
}

void Dispatcher::OnHoldAnswer(const HoldAction& call,
                              base::Instant sent_at,
                              const HoldAnswer& answer,
                              const Now& now) {
  Worker* worker = FindWorker(call.worker);
  if (!leads() || worker == nullptr || call.term != term_)
    return;
  worker->hold_in_flight = false;
  const bool same_life = answer.lists && answer.lists->born == call.worker.born;
  if (!same_life) {
    worker->next_hold_at = now.instant + kHoldRetryDelay;
    if (!answer.lists && !answer.fenced)
      RecordUnanswered(*worker, now);
    // Another incarnation answered a call to the recorded one, which has ended.
    // Reports of an incarnation that is older by its clock have no effect while
    // the ended one is recorded.
    if (answer.lists && answer.lists->born < call.worker.born)
      RemoveEndedWorker(*worker, now);
    return;
  }
  RecordClock(*worker, answer.lists->clock_ms, now);
  RecordAnswer(*worker, now);
  worker->listed_in_term = true;
  EndRemovedWorkersAt(worker->description.address);
  worker->confirmed_end =
      std::max(worker->confirmed_end, answer.acknowledged_end);
  const HoldAnswer::Lists lists =
      RemoveForeignRows(*worker, *answer.lists, now);
  worker->next_hold_at =
      now.instant +
      (lists.malformed_rows > 0 ? kForeignRowsDelay : base::Duration{});
  ReconcileRuns(*worker, sent_at, lists, now);
  ProcessEnds(*worker, lists, now);
}

// Whether the attempt was placed, or is watched for another reason.
bool Dispatcher::Exists(const RunKey& run) const {
  return runs_.contains(run) || store_.WasPlaced(run);
}

HoldAnswer::Lists Dispatcher::RemoveForeignRows(const Worker& worker,
                                                const HoldAnswer::Lists& lists,
                                                const Now& now) {
  HoldAnswer::Lists sound = lists;
  std::vector<RunKey> foreign;
  std::erase_if(sound.running, [&](const ListedRun& entry) {
    if (Exists(entry.run))
      return false;
    foreign.push_back(entry.run);
    return true;
  });
  // Nothing else ends a run of a job that is not known any more.
  int stops = 0;
  for (const RunKey& run : foreign) {
    if (store_.FindJob(run.task.job) != nullptr)
      continue;
    if (++stops > kMaximumUnknownStops)
      break;
    actions_.emplace_back(StopAction{.run = run,
                                     .worker = worker.description.incarnation,
                                     .address = worker.description.address,
                                     .term = term_,
                                     .fencing_token = worker.fencing_token});
  }
  std::set<RunKey> running;
  if (!sound.ended.empty()) {
    for (const ListedRun& entry : sound.running)
      running.insert(entry.run);
  }
  // An end that is acknowledged hides all with lower numbers, so it must be one
  // of the worker's own: a run is not listed as active and as ended.
  std::erase_if(sound.ended, [&](const ListedEnd& end) {
    if (end.number <= worker.acknowledged_end ||
        (Exists(end.run) && !running.contains(end.run))) {
      return false;
    }
    foreign.push_back(end.run);
    return true;
  });
  if (!foreign.empty()) {
    sound.malformed_rows += foreign.size();
    foreign_rows_ += foreign.size();
    RecordDecision("foreign_rows", foreign.front(),
                   worker.description.incarnation,
                   std::to_string(foreign.size()), now);
  }
  return sound;
}

// The next check stops the run.
Dispatcher::Run* Dispatcher::AddUnexpectedRun(const RunKey& key,
                                              const WorkerIncarnation& worker,
                                              const Now& now) {
  const TaskProgress* task = store_.FindTask(key.task);
  const bool elsewhere = task != nullptr && task->phase == TaskPhase::kPlaced;
  Run* run =
      AddRun({.task = key.task, .attempt = key.attempt, .worker = worker}, now);
  if (run == nullptr)
    return nullptr;
  run->starts.sent = 1;
  run->starts.last_sent_at = now.instant;
  run->starts.has_unknown = true;
  run->phase = RunPhase::kRunning;
  RecordDecision("found", key, worker,
                 elsewhere ? "placed_as " + std::to_string(task->attempt) +
                                 " on " + task->worker.id.value()
                           : "not_placed",
                 now);
  return run;
}

void Dispatcher::ReconcileRuns(Worker& worker,
                               base::Instant sent_at,
                               const HoldAnswer::Lists& lists,
                               const Now& now) {
  std::set<RunKey> listed;
  for (const ListedRun& entry : lists.running) {
    listed.insert(entry.run);
    const auto found = runs_.find(entry.run);
    Run* known =
        found == runs_.end()
            ? AddUnexpectedRun(entry.run, worker.description.incarnation, now)
            : &found->second;
    if (known == nullptr || known->worker != worker.description.incarnation)
      continue;
    Run& run = *known;
    if (!std::exchange(run.starts.confirmed, true))
      NoteConfirmedStart(entry.run, run);
    if (run.phase == RunPhase::kStarting) {
      run.phase = RunPhase::kRunning;
      run.call_in_flight = false;
    }
    if (run.phase == RunPhase::kRunning)
      run.settled_at = now.instant;
    if (!run.running_since)
      run.running_since = now.instant;
    if (entry.percent != run.percent || entry.checkpoint != run.checkpoint)
      run.progress_at = now.instant;
    run.percent = entry.percent;
    Sample(entry.run, run, entry.percent, now);
    if (!entry.checkpoint.empty())
      run.checkpoint = entry.checkpoint;
  }
  for (const ListedEnd& end : lists.ended)
    listed.insert(end.run);
  if (!lists.has_more_ends && lists.malformed_rows == 0)
    ResolveLostAttempts(worker.description.incarnation, sent_at);
  const auto expected_here =
      runs_by_worker_.find(worker.description.incarnation);
  if (expected_here == runs_by_worker_.end())
    return;
  std::vector<RunKey> missing;
  std::vector<RunKey> not_begun;
  for (const auto& [key, run] : expected_here->second.runs) {
    if (listed.contains(key))
      continue;
    const ListWithoutRun list{.requested_at = sent_at,
                              .starts = run->starts,
                              .settled_at = AnsweredSince(*run),
                              .has_more_ends = lists.has_more_ends,
                              .has_malformed_rows = lists.malformed_rows > 0};
    if (!ListShowsAbsence(list, options_.longest_lease))
      continue;
    if (IsEnded(key.task) || ListProvesAbsence(list, options_.longest_lease))
      missing.push_back(key);
    else
      not_begun.push_back(key);
  }
  ReturnRuns(missing, "not_listed", now);
  for (const RunKey& key : not_begun)
    WaitForLateStart(key, now);
}

// Load pattern: workers carry out calls that they did not answer seconds later.
// The stop keeps this incarnation from beginning the run, so its room and the
// other members of its gang need not wait for it.
void Dispatcher::WaitForLateStart(const RunKey& key, const Now& now) {
  Run& run = runs_.at(key);
  if (run.phase != RunPhase::kStopping) {
    RequestStop(key, run, "not_listed", now);
    return;
  }
  if (std::exchange(run.room_released, true))
    return;
  RecordDecision("defer", key, run.worker, "late_start", now);
  UnindexRun(key, run);
  run.resources = {};
  IndexRun(key, run);
}

bool Dispatcher::IsEnded(const TaskRef& task) const {
  const JobRecord* job = store_.FindJobOf(task);
  const TaskProgress* progress = store_.FindTask(task);
  return job == nullptr || job->ended() || progress == nullptr ||
         progress->phase == TaskPhase::kDone;
}

std::optional<base::Instant> Dispatcher::AnsweredSince(const Run& run) {
  switch (run.phase) {
    case RunPhase::kRunning:
      return run.settled_at;
    case RunPhase::kStopping:
      return run.stop_accepted ? run.settled_at : std::nullopt;
    case RunPhase::kStarting:
      return run.starts.sent > 0 && !run.call_in_flight && !run.long_running
                 ? std::optional(run.next_call_at)
                 : std::nullopt;
    case RunPhase::kProposed:
    case RunPhase::kEnding:
      return std::nullopt;
  }
  return std::nullopt;
}

void Dispatcher::ProcessEnds(Worker& worker,
                             const HoldAnswer::Lists& lists,
                             const Now& now) {
  EndTasks command{.term = term_, .now_ms = now.wall_ms};
  PendingEnds pending{.worker = worker.description.incarnation.id,
                      .born = worker.description.incarnation.born,
                      .last_number = worker.acknowledged_end};
  for (const ListedEnd& end : lists.ended) {
    if (end.number <= worker.acknowledged_end)
      continue;
    pending.last_number = std::max(pending.last_number, end.number);
    UpdateStatistics(end, worker, now);
    const auto run = runs_.find(end.run);
    if (run != runs_.end() &&
        run->second.worker == worker.description.incarnation) {
      run->second.phase = RunPhase::kEnding;
      open_jobs_.Touch(end.run.task.job);
      pending.runs.push_back(end.run);
    }
    if (store_.FindTask(end.run.task) == nullptr)
      continue;
    command.ends.push_back({.task = end.run.task,
                            .attempt = end.run.attempt,
                            .outcome = OutcomeOf(end.outcome),
                            .checkpoint = end.checkpoint});
    RecordDecision("end", end.run, worker.description.incarnation,
                   std::string(NameOf(end.outcome)), now);
  }
  if (pending.last_number == worker.acknowledged_end)
    return;
  worker.ends_in_flight = true;
  Propose(std::move(command), std::move(pending));
}

void Dispatcher::UpdateStatistics(const ListedEnd& end,
                                  Worker& worker,
                                  const Now& now) {
  if (end.outcome == ListedOutcome::kFailed &&
      ++worker.failures >= kFailureThreshold) {
    worker.avoid_until = now.instant + kFailurePause;
  }
  const auto found = runs_.find(end.run);
  const JobRecord* job = store_.FindJobOf(end.run.task);
  if (found != runs_.end() && job != nullptr)
    LearnFrom(end, found->second, *job, now);
  if (end.outcome != ListedOutcome::kDone)
    return;
  worker.failures = 0;
  if (found == runs_.end() || job == nullptr || !found->second.running_since ||
      found->second.remote || found->second.starts.sent != 1) {
    return;
  }
  const TaskProgress* task = store_.FindTask(end.run.task);
  // The duration of a run that resumed from a checkpoint is not the run time of
  // the whole task.
  if (task == nullptr || !task->checkpoint.empty())
    return;
  const std::chrono::duration<double, std::milli> took =
      now.instant - *found->second.running_since;
  queue_means_.Record(job->queue, took.count(),
                      job->spec.steps[end.run.task.step].estimate_ms);
}

void Dispatcher::RemoveEndedWorker(Worker& worker, const Now& now) {
  if (worker.removal_proposed_at &&
      now.instant - *worker.removal_proposed_at < kRemovalRetryDelay)
    return;
  worker.removal_proposed_at = now.instant;
  Propose(RemoveWorker{.incarnation = worker.description.incarnation},
          std::nullopt);
}

void Dispatcher::ExpireWorkers(const Now& now) {
  std::erase_if(removed_workers_, [&](const auto& item) {
    return now.instant >
           LateStartBound(item.second.lease_bound, options_.longest_lease);
  });
  for (auto& [id, worker] : workers_) {
    if (now.instant - worker.last_contact_at >= kWorkerExpiry)
      RemoveEndedWorker(worker, now);
  }
}

}  // namespace wigeonstair::jobs
