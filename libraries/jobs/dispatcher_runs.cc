#include <algorithm>
#include <limits>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Maximum number of start calls to a worker that answers nothing.
constexpr int kMaximumStarts = 3;
// How long a start is repeated on a worker that answers other calls.
constexpr base::Duration kStartPatience = std::chrono::seconds(4);
// Delay before a call that the worker did not accept is sent again.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(150);
// How long a worker gets no new tasks after it refused a start, or did not
// answer one.
constexpr base::Duration kRefusalPause = std::chrono::milliseconds(700);
constexpr base::Duration kNoAnswerPause = std::chrono::seconds(2);
// How long a worker with a hanging or slow task gets no new tasks.
constexpr base::Duration kStallPause = std::chrono::seconds(4);
// Interval of the checks of running tasks; delays a stop by up to this time,
// and by the pause between two rounds.
constexpr base::Duration kSweepInterval = std::chrono::milliseconds(50);
// Lease in a start call; the first hold extends it. It is short so that a start
// lost in a network partition is in doubt for this time only.
constexpr base::Duration kStartLease = std::chrono::milliseconds(3500);
// Interval at which confirmed starts are written to the log.
constexpr base::Duration kConfirmationInterval = std::chrono::milliseconds(300);
// Two incarnations of a worker differ more in their clocks, since the clock
// restarts with the worker.
constexpr std::uint64_t kClockToleranceMs = 250;
// How long after its last answer a worker is expected to come back from a cut
// and to list whether a lost attempt failed.
constexpr base::Duration kOutcomeWait = std::chrono::seconds(14);
// An incomplete gang is stopped after this share of the gang wait, so that the
// stops arrive before its members end by themselves.
constexpr double kGangStartShare = 0.75;

// What a task takes of the capacity of its worker.
Resources RoomFor(const StepSpec& step) {
  Resources room = step.task;
  if (step.fills)
    room.cpu = 0;
  return room;
}

}  // namespace

Dispatcher::Run* Dispatcher::AddRun(const Placement& placement,
                                    const Now& now) {
  const JobRecord* job = store_.FindJobOf(placement.task);
  if (job == nullptr)
    return nullptr;
  const StepSpec& step = job->spec.steps[placement.task.step];
  Run run{.worker = placement.worker,
          .cap_demand = step.task,
          .gang = step.gang,
          .long_running = step.long_running,
          .checkpointing = step.checkpointing,
          .priority = job->policy.priority,
          .customer = job->customer,
          .queue = job->queue,
          .placed_at = now.instant};
  run.resources = RoomFor(step);
  run.progress_at = now.instant;
  run.next_call_at = now.instant;
  const RunKey key{.task = placement.task, .attempt = placement.attempt};
  if (const auto old = runs_.find(key); old != runs_.end())
    EraseRun(old);
  const auto added = runs_.emplace(key, std::move(run)).first;
  IndexRun(key, added->second);
  return &added->second;
}

void Dispatcher::EraseRun(std::map<RunKey, Run>::iterator run) {
  UnindexRun(run->first, run->second);
  runs_.erase(run);
}

// A run that ended may begin again by another copy of its start, and then run
// beside the next attempt.
void Dispatcher::OnEndCommitted(std::map<RunKey, Run>::iterator ended,
                                const Now& now) {
  const auto& [key, run] = *ended;
  StartHistory others = run.starts;
  others.confirmed = true;
  if (IsEnded(key.task) || !others.MayBeCarriedOutAfter(now.instant)) {
    EraseRun(ended);
    return;
  }
  RequestStop(key, ended->second, "may_begin_again", now);
}

const Dispatcher::Worker* Dispatcher::SuccessorOf(const Run& run) const {
  const auto found = workers_.find(run.worker.id);
  return found != workers_.end() &&
                 found->second.description.incarnation != run.worker
             ? &found->second
             : nullptr;
}

WorkerOfRun Dispatcher::StateOfWorker(const CheckedRun& checked) const {
  const Run& run = checked.run;
  if (checked.worker != nullptr) {
    return RecordedWorker{.lease_bound = checked.worker->lease_bound};
  }
  if (SuccessorOf(run) != nullptr)
    return RestartedWorker{};
  const auto removed = removed_workers_.find(run.worker);
  if (removed != removed_workers_.end())
    return RemovedWorker{.lease_bound = removed->second.lease_bound};
  return EndedWorker{};
}

// The new incarnation may have begun the run. A list under its own fencing
// token shows whether it has.
void Dispatcher::MoveToSuccessor(const RunKey& key,
                                 Run& run,
                                 const WorkerIncarnation& successor,
                                 const Now& now) {
  RecordDecision("move", key, run.worker, "worker_restarted", now);
  UnindexRun(key, run);
  run.worker = successor;
  run.worker_revision = 0;
  if (const JobRecord* job = store_.FindJobOf(key.task))
    run.resources = RoomFor(job->spec.steps[key.task.step]);
  run.room_released = false;
  IndexRun(key, run);
  run.phase = RunPhase::kRunning;
  run.call_in_flight = false;
  run.stop_accepted = false;
  run.starts.confirmed = false;
  run.settled_at = run.placed_at;
}

std::optional<std::string> Dispatcher::StopReasonOfRunning(
    const CheckedRun& checked,
    const Now& now) {
  if (auto stall_reason = DetectStall(checked, now)) {
    // In a gang any member may be the cause, so all of their workers get a
    // penalty in the next placement.
    Worker& stalled = *checked.worker;
    stalled.failures = std::max(stalled.failures, 1);
    if (!checked.run.gang)
      stalled.avoid_until = now.instant + kStallPause;
    return stall_reason;
  }
  if (MustLeaveWorker(checked, now))
    return "worker_leaving";
  return StopReason(checked, now);
}

Dispatcher::CheckedStep Dispatcher::CheckStep(const RunKey& key,
                                              const JobRecord* job,
                                              bool with_speeds) const {
  CheckedStep step{.job = job};
  const bool known = job != nullptr && job->HasTask(key.task);
  const bool gang = known && job->spec.steps[key.task.step].gang;
  if (known)
    step.tasks = job->FindProgress(key.task.occurrence, key.task.step);
  if (gang && step.tasks != nullptr && !step.tasks->empty()) {
    const std::uint32_t attempt = step.tasks->front().attempt;
    const bool whole = std::all_of(
        step.tasks->begin(), step.tasks->end(), [&](const TaskProgress& task) {
          return task.phase == TaskPhase::kPlaced && task.attempt == attempt;
        });
    if (whole && !IsMemberGivenUp(StepOf(key.task), attempt))
      step.whole_attempt = attempt;
  }
  if (with_speeds && !gang)
    step.fastest = FastestOfStep(key);
  return step;
}

bool Dispatcher::IsMemberGivenUp(const StepRef& step,
                                 std::uint32_t attempt) const {
  const RunKey first{.task = {.job = step.job,
                              .occurrence = step.occurrence,
                              .step = step.step}};
  for (auto run = runs_.lower_bound(first);
       run != runs_.end() && StepOf(run->first.task) == step; ++run) {
    if (run->first.attempt == attempt && !run->second.running_since &&
        run->second.phase == RunPhase::kStopping) {
      return true;
    }
  }
  return false;
}

// Running tasks are checked periodically: with a thousand of them, a check
// after each event left a small host no processor time for calls.
void Dispatcher::AdvanceRuns(const Now& now) {
  const bool sweeps = now.instant >= next_sweep_at_;
  if (sweeps)
    next_sweep_at_ = now.instant + kSweepInterval;
  std::map<AbsenceProof, std::vector<RunKey>> absent;
  const TaskRef* last = nullptr;
  CheckedStep step;
  for (auto& [key, run] : runs_) {
    if (run.phase == RunPhase::kProposed || run.phase == RunPhase::kEnding ||
        (run.phase == RunPhase::kRunning && !sweeps)) {
      continue;
    }
    // The runs of a job are neighbours, and so are those of a step.
    const TaskRef& task = key.task;
    const bool new_job = last == nullptr || last->job != task.job;
    if (new_job || last->occurrence != task.occurrence ||
        last->step != task.step) {
      step =
          CheckStep(key, new_job ? store_.FindJob(task.job) : step.job, sweeps);
    }
    last = &task;
    CheckedRun checked{
        .key = key, .run = run, .step = step, .worker = WorkerOf(run)};
    const bool recorded = checked.worker != nullptr;
    if (!recorded || run.starts.sent > 0) {
      const auto proof = ProveAbsence(run.starts, StateOfWorker(checked),
                                      options_.longest_lease, now.instant);
      if (proof) {
        if (recorded)
          RecordLostAttempt(key, run, now);
        absent[*proof].push_back(key);
        continue;
      }
    }
    if (!recorded) {
      const Worker* successor = SuccessorOf(run);
      if (successor == nullptr)
        continue;
      MoveToSuccessor(key, run, successor->description.incarnation, now);
      checked.worker = WorkerOf(run);
    }
    if (run.phase != RunPhase::kStopping) {
      auto reason = run.phase == RunPhase::kRunning
                        ? StopReasonOfRunning(checked, now)
                        : StopReason(checked, now);
      if (reason) {
        if (run.phase == RunPhase::kStarting && run.starts.sent == 0) {
          absent[AbsenceProof::kNeverSent].push_back(key);
          continue;
        }
        RequestStop(key, run, std::move(*reason), now);
      }
    }
    if (run.phase == RunPhase::kStarting)
      SendStart(key, run, now);
    else if (run.phase == RunPhase::kStopping)
      SendStop(key, run, now);
  }
  for (const auto& [proof, keys] : absent)
    ReturnRuns(keys, NameOf(proof), now);
}

// Whether a start may still be sent: the worker must be ready and its domain in
// service.
bool Dispatcher::MayStart(const CheckedRun& checked, const Now& now) const {
  const Worker* worker = checked.worker;
  return worker != nullptr && worker->clock_ms &&
         worker->description.phase == WorkerPhase::kReady &&
         !worker->deregisters_at &&
         store_.InService(worker->description.domain) &&
         checked.key.attempt > 0 && now.instant >= checked.run.placed_at;
}

std::optional<std::string> Dispatcher::StopReason(const CheckedRun& checked,
                                                  const Now& now) const {
  const RunKey& key = checked.key;
  const Run& run = checked.run;
  const JobRecord* job = checked.step.job;
  if (job == nullptr)
    return "job_unknown";
  const std::vector<TaskProgress>* tasks = checked.step.tasks;
  if (tasks == nullptr || key.task.index >= tasks->size())
    return "not_placed";
  const TaskProgress& task = (*tasks)[key.task.index];
  if (task.attempt != key.attempt)
    return "superseded";
  // When a gang is done, its members that run end by themselves.
  if (task.phase == TaskPhase::kDone) {
    return run.gang && run.phase == RunPhase::kRunning &&
                   !run.starts.has_unknown
               ? std::nullopt
               : std::optional<std::string>("done_elsewhere");
  }
  if (job->ended())
    return job->state == JobState::kCancelled ? "job_cancelled" : "job_ended";
  if (task.phase == TaskPhase::kWaiting)
    return "not_placed";
  if (run.gang && checked.step.whole_attempt != key.attempt)
    return "gang_incomplete";
  if (run.phase == RunPhase::kStarting) {
    if (!MayStart(checked, now))
      return "worker_leaving";
    // The cap was lowered after the placement. The stop of a start that was
    // not answered also keeps it from being carried out late.
    if (!run.call_in_flight && caps_.IsExceeded(run.customer, accounts_))
      return "customer_cap";
    const bool late =
        run.gang && run.first_sent_at &&
        now.instant - *run.first_sent_at > options_.gang_wait * kGangStartShare;
    if (late || (!run.call_in_flight && !MayStillBegin(run, now)))
      return "start_unanswered";
  }
  return std::nullopt;
}

// Load pattern: workers leave calls unanswered and carry them out late, in
// whichever incarnation they have by then. A copy that is carried out after
// another one has ended as done runs the task twice, so a start is repeated
// only if its run does not end by itself.
bool Dispatcher::MaySendStart(const Run& run, const Now& now) const {
  if (now.instant - run.placed_at >= kStartWindow)
    return false;
  if (run.starts.sent == 0)
    return true;
  if (!run.long_running)
    return false;
  if (run.starts.sent < kMaximumStarts)
    return true;
  const Worker* worker = FindWorker(run.worker);
  return worker != nullptr && run.first_sent_at &&
         worker->answered_at > *run.first_sent_at &&
         now.instant - *run.first_sent_at < kStartPatience;
}

bool Dispatcher::MayStillBegin(const Run& run, const Now& now) const {
  return MaySendStart(run, now) || run.starts.MayBeCarriedOutAfter(now.instant);
}

void Dispatcher::RequestStop(const RunKey& key,
                             Run& run,
                             std::string reason,
                             const Now& now) {
  run.phase = RunPhase::kStopping;
  run.next_call_at = now.instant;
  run.call_in_flight = false;
  RecordDecision("stop", key, run.worker, std::move(reason), now,
                 now.instant - run.progress_at);
}

void Dispatcher::SendStart(const RunKey& key, Run& run, const Now& now) {
  if (run.call_in_flight || now.instant < run.next_call_at ||
      !MaySendStart(run, now)) {
    return;
  }
  Worker* worker = FindWorker(run.worker);
  const JobRecord* job = store_.FindJob(key.task.job);
  const auto lease_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::min(options_.longest_lease, kStartLease))
          .count());
  const std::uint64_t lease_until_ms = WorkerClockMs(*worker, now) + lease_ms;
  ExtendLeaseBound(*worker, lease_until_ms, now);
  if (run.starts.sent == 0)
    RecordDecision("start", key, run.worker, run.remote ? "other_rack" : "room",
                   now, now.instant - worker->last_contact_at);
  ++run.starts.sent;
  ++run.starts.open;
  run.starts.last_sent_at = now.instant;
  run.call_in_flight = true;
  if (!run.first_sent_at)
    run.first_sent_at = now.instant;
  run.settled_at.reset();
  actions_.emplace_back(StartAction{.run = key,
                                    .worker = run.worker,
                                    .address = worker->description.address,
                                    .payload = job->spec.payload,
                                    .checkpoint = GangCheckpoint(key.task),
                                    .lease_until_ms = lease_until_ms,
                                    .term = term_,
                                    .fencing_token = worker->fencing_token,
                                    .send_by = run.placed_at + kStartWindow});
}

// All members of a gang must start from the same checkpoint.
std::string Dispatcher::GangCheckpoint(const TaskRef& task) const {
  const JobRecord* job = store_.FindJobOf(task);
  const std::vector<TaskProgress>* tasks =
      job == nullptr ? nullptr : job->FindProgress(task.occurrence, task.step);
  if (tasks == nullptr)
    return {};
  if (!job->spec.steps[task.step].gang)
    return (*tasks)[task.index].checkpoint;
  for (const TaskProgress& member : *tasks) {
    if (!member.checkpoint.empty())
      return member.checkpoint;
  }
  return {};
}

void Dispatcher::SendStop(const RunKey& key, Run& run, const Now& now) {
  if (run.stop_accepted || run.call_in_flight || now.instant < run.next_call_at)
    return;
  const Worker* worker = FindWorker(run.worker);
  run.call_in_flight = true;
  run.settled_at.reset();
  actions_.emplace_back(StopAction{.run = key,
                                   .worker = run.worker,
                                   .address = worker->description.address,
                                   .term = term_,
                                   .fencing_token = worker->fencing_token});
}

template <typename Call>
std::optional<Dispatcher::AnsweredRun> Dispatcher::FindAnswered(
    const Call& call,
    RunPhase phase,
    const CallAnswer& answer,
    const Now& now) {
  const auto found = runs_.find(call.run);
  Worker* worker = FindWorker(call.worker);
  if (!leads() || call.term != term_ || worker == nullptr ||
      found == runs_.end() || found->second.worker != call.worker) {
    return std::nullopt;
  }
  bool same_clock = false;
  if (answer.clock_ms) {
    const std::uint64_t expected_ms = WorkerClockMs(*worker, now);
    same_clock = *answer.clock_ms + kClockToleranceMs >= expected_ms &&
                 *answer.clock_ms <= expected_ms + kClockToleranceMs;
    RecordClock(*worker, *answer.clock_ms, now);
    RecordAnswer(*worker, now);
  }
  // The phase changed since the call was sent; the answer to the call of the
  // new phase is the one that counts.
  if (found->second.phase != phase)
    return std::nullopt;
  found->second.call_in_flight = false;
  return AnsweredRun{
      .run = found->second, .worker = *worker, .same_clock = same_clock};
}

void Dispatcher::OnStartAnswer(const StartAction& call,
                               const CallAnswer& answer,
                               const Now& now) {
  CloseStartCall(call, answer.may_be_repeated);
  const auto answered = FindAnswered(call, RunPhase::kStarting, answer, now);
  if (!answered)
    return;
  const auto& [run, worker, same_clock] = *answered;
  switch (answer.result) {
    case CallResult::kAccepted:
      worker.unanswered_pause_until = {};
      run.starts.confirmed = same_clock;
      run.phase = RunPhase::kRunning;
      run.running_since = now.instant;
      run.progress_at = now.instant;
      run.settled_at = now.instant;
      worker.next_hold_at = std::min(worker.next_hold_at, now.instant);
      NoteConfirmedStart(call.run, run);
      break;
    case CallResult::kStaleAttempt:
      // An earlier call for this attempt was executed; the lists show how its
      // run ended.
      run.starts.confirmed = same_clock;
      run.phase = RunPhase::kRunning;
      run.settled_at = now.instant;
      break;
    case CallResult::kNotSent:
      --run.starts.sent;
      RecordUnanswered(worker, now);
      run.next_call_at = now.instant + kRetryDelay;
      worker.avoid_until = now.instant + kNoAnswerPause;
      // Nothing was sent, so the task can be placed elsewhere immediately.
      if (run.starts.sent == 0)
        ReturnRuns({call.run}, "not_reached", now);
      break;
    case CallResult::kUnanswered:
      RecordDecision("unanswered", call.run, call.worker, "start", now);
      RecordUnanswered(worker, now);
      run.next_call_at = now.instant;
      worker.next_hold_at = std::min(worker.next_hold_at, now.instant);
      worker.unanswered_pause_until = now.instant + kNoAnswerPause;
      break;
    case CallResult::kFenced:
    case CallResult::kStartExpired:
    case CallResult::kNoCapacity:
    case CallResult::kUnhealthy:
    case CallResult::kRefused:
      worker.avoid_until =
          std::max(worker.avoid_until, now.instant + kRefusalPause);
      if (answer.result == CallResult::kUnhealthy)
        ++worker.failures;
      // Another copy may still be executed.
      if (!RefusalProvesAbsence(run.starts)) {
        run.starts.RemoveRefusedCopy();
        RequestStop(call.run, run, "start_refused", now);
      } else {
        RecordDecision(
            "refused", call.run, call.worker,
            answer.result == CallResult::kNoCapacity ? "no_room" : "refused",
            now);
        ReturnRuns({call.run}, "start_refused", now);
      }
      break;
  }
}

// A list may have confirmed the start before.
void Dispatcher::CloseStartCall(const StartAction& call, bool repeated) {
  const auto found = runs_.find(call.run);
  if (found == runs_.end() || call.term != term_ ||
      found->second.starts.open == 0)
    return;
  StartHistory& starts = found->second.starts;
  --starts.open;
  if (repeated)
    ++starts.repeated;
  NoteConfirmedStart(call.run, found->second);
}

// A restarted worker may carry out the start after the log named its former
// incarnation, so only runs on the recorded one count.
void Dispatcher::NoteConfirmedStart(const RunKey& key, const Run& run) {
  const TaskProgress* task = store_.FindTask(key.task);
  if (!run.starts.MayBeCarriedOut() && task != nullptr &&
      task->worker == run.worker && task->attempt == key.attempt) {
    confirmed_starts_.push_back(key);
  }
}

// Load pattern: the leader is lost while workers crash or leave. Without this
// its successor would hold their tasks as long as if every start could still be
// carried out late.
void Dispatcher::ProposeConfirmedStarts(const Now& now) {
  const bool due = !confirmed_starts_.empty() || placed_since_confirmation_;
  if (!due || now.instant < next_confirmation_at_)
    return;
  next_confirmation_at_ = now.instant + kConfirmationInterval;
  placed_since_confirmation_ = false;
  const auto leader_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.instant.time_since_epoch());
  const std::vector<RunKey> runs = std::exchange(confirmed_starts_, {});
  Propose(ConfirmStarts{.term = term_,
                        .leader_ms =
                            static_cast<std::uint64_t>(leader_time.count()),
                        .runs = runs},
          PendingConfirmation{.runs = runs});
}

void Dispatcher::OnStopAnswer(const StopAction& call,
                              const CallAnswer& answer,
                              const Now& now) {
  const auto answered = FindAnswered(call, RunPhase::kStopping, answer, now);
  if (!answered)
    return;
  const auto& [run, worker, same_clock] = *answered;
  if (answer.result == CallResult::kAccepted ||
      answer.result == CallResult::kStaleAttempt) {
    run.stop_accepted = true;
    run.settled_at = now.instant;
    worker.next_hold_at = std::min(worker.next_hold_at, now.instant);
  } else {
    run.next_call_at = now.instant + kRetryDelay;
  }
}

void Dispatcher::RecordLostAttempt(const RunKey& key,
                                   const Run& run,
                                   const Now& now) {
  std::erase_if(lost_attempts_, [&](const auto& entry) {
    const bool expired =
        now.instant - entry.second.back().answered_at > kOutcomeWait;
    if (expired)
      open_jobs_.Touch(entry.first.job);
    return expired;
  });
  lost_attempts_[key.task].push_back(
      {.attempt = key.attempt,
       .worker = run.worker,
       .lost_at = now.instant,
       .answered_at = FindWorker(run.worker)->answered_at});
}

void Dispatcher::ResolveLostAttempts(const WorkerIncarnation& worker,
                                     base::Instant sent_at) {
  for (auto& [task, attempts] : lost_attempts_) {
    const auto dropped = std::erase_if(attempts, [&](const LostAttempt& lost) {
      return lost.worker == worker && lost.lost_at < sent_at;
    });
    if (dropped > 0)
      open_jobs_.Touch(task.job);
  }
  std::erase_if(lost_attempts_,
                [](const auto& entry) { return entry.second.empty(); });
}

// Load pattern: a domain is cut off while gangs that always fail run in it. The
// attempts that failed there count once the cut ends, so another one before
// that may be beyond the limit.
bool Dispatcher::MayHaveUsedAttempts(const JobRecord& job,
                                     const TaskRef& task,
                                     const TaskProgress& progress,
                                     const Now& now) const {
  const auto lost = lost_attempts_.find(task);
  if (lost == lost_attempts_.end() || job.spec.steps[task.step].long_running)
    return false;
  const auto& failed = progress.failed_attempts;
  const auto unknown = std::count_if(
      lost->second.begin(), lost->second.end(), [&](const LostAttempt& entry) {
        const bool known = std::find(failed.begin(), failed.end(),
                                     entry.attempt) != failed.end();
        return !known && FindWorker(entry.worker) != nullptr &&
               now.instant - entry.answered_at <= kOutcomeWait;
      });
  return failed.size() + static_cast<std::size_t>(unknown) >=
         job.policy.max_attempts;
}

// A return may have been committed although its proposal failed. The command
// names the attempt, so a second one has no effect.
void Dispatcher::RetryReturns(const Now& now) {
  if (uncommitted_returns_.empty() || now.instant < next_return_at_)
    return;
  std::vector<RunKey> keys = std::exchange(uncommitted_returns_, {});
  std::erase_if(keys, [&](const RunKey& key) {
    const auto run = runs_.find(key);
    return run == runs_.end() || run->second.phase != RunPhase::kEnding;
  });
  ReturnRuns(keys, "not_committed", now);
}

void Dispatcher::ReturnRuns(const std::vector<RunKey>& keys,
                            std::string_view reason,
                            const Now& now) {
  if (keys.empty())
    return;
  EndTasks command{.term = term_, .now_ms = now.wall_ms};
  for (const RunKey& key : keys) {
    Run& run = runs_.at(key);
    run.phase = RunPhase::kEnding;
    open_jobs_.Touch(key.task.job);
    command.ends.push_back({.task = key.task,
                            .attempt = key.attempt,
                            .outcome = RunOutcome::kReturned,
                            .checkpoint = run.checkpoint});
    RecordDecision("return", key, run.worker, std::string(reason), now,
                   now.instant - run.progress_at);
  }
  Propose(std::move(command), PendingEnds{.runs = keys});
}

}  // namespace wigeonstair::jobs
