#include "jobs/dispatcher.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::jobs {

namespace {

// Number of worker incarnations that have fencing tokens of their own in a
// term.
constexpr std::uint64_t kFencesPerTerm = std::uint64_t{1} << 20;

// A worker that deregisters is acknowledged after this time even if its runs
// have not ended. Longer than a stop with two round trips.
constexpr base::Duration kLongestDeregistration = std::chrono::seconds(2);

// Delay before a return that was not committed is proposed again.
constexpr base::Duration kReturnRetryDelay = std::chrono::milliseconds(200);

}  // namespace

Dispatcher::Dispatcher(const JobStore& store, DispatcherOptions options)
    : store_(store),
      options_(options),
      open_jobs_(store, [this](const auto&... arguments) {
        return HoldOf(arguments...);
      }) {}

void Dispatcher::Lead(std::uint64_t term,
                      const PlacementHistory& placements,
                      const Now& now) {
  Resign();
  term_ = term;
  new_incarnations_ = 0;
  SyncWorkers(now);
  AdoptRuns(placements, now);
}

void Dispatcher::Resign() {
  term_ = 0;
  worker_revision_ = 0;
  workers_.clear();
  removed_workers_.clear();
  uncommitted_returns_.clear();
  runs_.clear();
  runs_by_worker_.clear();
  accounts_.Clear();
  urgent_in_use_ = {};
  lost_attempts_.clear();
  open_jobs_.Clear();
  candidates_.clear();
  candidates_revision_ = 0;
  pending_.clear();
  claims_.clear();
  confirmed_starts_.clear();
  run_time_summary_.Clear();
  actions_.clear();
}

bool Dispatcher::NeedsRecord(const WorkerDescription& worker) const {
  if (store_.HasDeregistered(worker.incarnation))
    return false;
  const auto known = store_.workers().find(worker.incarnation.id);
  if (known == store_.workers().end())
    return true;
  const WorkerDescription& old = known->second;
  if (worker.incarnation.born != old.incarnation.born)
    return worker.incarnation.born > old.incarnation.born;
  if (worker.sequence <= old.sequence)
    return false;
  WorkerDescription same = worker;
  same.sequence = old.sequence;
  return same != old;
}

void Dispatcher::OnHeartbeat(const ReportWorkerCall& report, const Now& now) {
  const WorkerDescription& worker = report.worker;
  Worker* known = FindWorker(worker.incarnation);
  if (known == nullptr || worker.sequence < known->description.sequence)
    return;
  known->description.sequence = worker.sequence;
  known->last_contact_at = now.instant;
  known->needs_probe = known->unanswered_at.has_value();
  if (report.drain_remaining_ms) {
    known->leaves_at =
        now.instant + std::chrono::milliseconds(*report.drain_remaining_ms);
  }
  if (report.clock_ms)
    RecordClock(*known, *report.clock_ms, now);
}

bool Dispatcher::OnDeregistering(const WorkerIncarnation& worker,
                                 const Now& now) {
  Worker* known = FindWorker(worker);
  if (!leads() || known == nullptr || !HasStartedRuns(worker))
    return true;
  if (!known->deregisters_at)
    known->deregisters_at = now.instant;
  return now.instant - *known->deregisters_at > kLongestDeregistration;
}

Dispatcher::Worker* Dispatcher::FindWorker(
    const WorkerIncarnation& incarnation) {
  const auto found = workers_.find(incarnation.id);
  return found == workers_.end() ||
                 found->second.description.incarnation != incarnation
             ? nullptr
             : &found->second;
}

const Dispatcher::Worker* Dispatcher::FindWorker(
    const WorkerIncarnation& incarnation) const {
  const auto found = workers_.find(incarnation.id);
  return found == workers_.end() ||
                 found->second.description.incarnation != incarnation
             ? nullptr
             : &found->second;
}

Dispatcher::Worker* Dispatcher::WorkerOf(Run& run) {
  if (run.worker_revision != worker_revision_) {
    run.recorded_worker = FindWorker(run.worker);
    run.worker_revision = worker_revision_;
  }
  return run.recorded_worker;
}

void Dispatcher::IndexRun(const RunKey& key, const Run& run) {
  open_jobs_.Touch(key.task.job);
  RunsOfWorker& of_worker = runs_by_worker_[run.worker];
  if (!of_worker.runs.emplace(key, &run).second)
    return;
  of_worker.in_use += run.resources;
  accounts_.Add(run.customer, run.cap_demand);
  if (run.priority == 0)
    urgent_in_use_ += run.resources;
}

void Dispatcher::UnindexRun(const RunKey& key, const Run& run) {
  open_jobs_.Touch(key.task.job);
  const auto of_worker = runs_by_worker_.find(run.worker);
  if (of_worker == runs_by_worker_.end())
    return;
  if (of_worker->second.runs.erase(key) > 0) {
    of_worker->second.in_use -= run.resources;
    accounts_.Remove(run.customer, run.cap_demand);
    if (run.priority == 0)
      urgent_in_use_ -= run.resources;
  }
  if (of_worker->second.runs.empty())
    runs_by_worker_.erase(of_worker);
}

base::Instant Dispatcher::LongestLeaseBound(const Now& now) const {
  return LeaseBound(now.instant, options_.longest_lease);
}

// A former incarnation has ended. A worker at whose address another one is
// recorded may live on: the report of the other one may be late.
void Dispatcher::DropRemovedWorkers() {
  std::erase_if(workers_, [&](const auto& item) {
    const WorkerDescription& old = item.second.description;
    const auto known = store_.workers().find(item.first);
    if (known != store_.workers().end())
      return known->second.incarnation != old.incarnation;
    removed_workers_[old.incarnation] = {
        .address = old.address, .lease_bound = item.second.lease_bound};
    return true;
  });
}

// An address belongs to one worker at a time, so the former ones have ended
// once one answers there.
void Dispatcher::EndRemovedWorkersAt(const std::string& address) {
  std::erase_if(removed_workers_, [&](const auto& item) {
    return item.second.address == address;
  });
}

// Copies the workers of the store. A new incarnation starts with empty state.
void Dispatcher::SyncWorkers(const Now& now) {
  if (worker_revision_ == store_.worker_revision())
    return;
  worker_revision_ = store_.worker_revision();
  DropRemovedWorkers();
  for (const auto& [id, description] : store_.workers()) {
    const auto [found, inserted] = workers_.try_emplace(id);
    Worker& worker = found->second;
    const std::uint64_t sequence =
        std::max(worker.description.sequence, description.sequence);
    worker.description = description;
    worker.description.sequence = sequence;
    if (!inserted)
      continue;
    worker.last_contact_at = now.instant;
    worker.answered_at = now.instant;
    worker.next_hold_at = now.instant;
    // The previous leader may just have granted the longest lease.
    worker.lease_bound = LongestLeaseBound(now);
    worker.fencing_token = NextFence();
  }
}

std::uint64_t Dispatcher::NextFence() {
  new_incarnations_ = std::min(new_incarnations_ + 1, kFencesPerTerm - 1);
  return term_ * kFencesPerTerm + new_incarnations_;
}

// Any task that the store shows as placed may be running. This includes tasks
// of jobs that have ended, which may not be stopped yet.
void Dispatcher::AdoptRuns(const PlacementHistory& placements, const Now& now) {
  for (const auto& [id, job] : store_.jobs()) {
    for (const auto& [step_key, tasks] : job.progress) {
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskProgress& task = tasks[index];
        if (task.phase != TaskPhase::kPlaced)
          continue;
        const Placement placement{.task = {.job = id,
                                           .occurrence = step_key.first,
                                           .step = step_key.second,
                                           .index = index},
                                  .attempt = task.attempt,
                                  .worker = task.worker};
        Run* run = AddRun(placement, now);
        if (run == nullptr)
          continue;
        run->phase = RunPhase::kRunning;
        run->starts = placements.StartsOf({placement.task, placement.attempt},
                                          now.instant);
        run->settled_at = now.instant;
        if (!workers_.contains(run->worker.id))
          removed_workers_[run->worker] = {.lease_bound =
                                               LongestLeaseBound(now)};
      }
    }
  }
}

std::uint64_t Dispatcher::WorkerClockMs(const Worker& worker,
                                        const Now& now) const {
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.instant - worker.clock_at);
  return worker.clock_ms.value_or(0) +
         static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed.count(), 0));
}

void Dispatcher::RecordClock(Worker& worker,
                             std::uint64_t clock_ms,
                             const Now& now) {
  // Answers may arrive out of order.
  if (worker.clock_ms && clock_ms < *worker.clock_ms)
    return;
  worker.clock_ms = clock_ms;
  worker.clock_at = now.instant;
  if (worker.lease_until_ms > 0) {
    const std::uint64_t left =
        worker.lease_until_ms > clock_ms ? worker.lease_until_ms - clock_ms : 0;
    worker.lease_bound =
        LeaseBound(now.instant, std::chrono::milliseconds(left));
  }
}

void Dispatcher::ExtendLeaseBound(Worker& worker,
                                  std::uint64_t lease_until_ms,
                                  const Now& now) {
  worker.lease_until_ms = std::max(worker.lease_until_ms, lease_until_ms);
  const std::uint64_t since = worker.clock_ms.value_or(0);
  const std::uint64_t left =
      worker.lease_until_ms > since ? worker.lease_until_ms - since : 0;
  const base::Instant from = worker.clock_ms ? worker.clock_at : now.instant;
  worker.lease_bound = std::max(
      worker.lease_bound, LeaseBound(from, std::chrono::milliseconds(left)));
}

void Dispatcher::Propose(Command command, std::optional<Pending> pending) {
  const std::uint64_t id = ++last_proposal_;
  if (pending)
    pending_.emplace(id, std::move(*pending));
  actions_.emplace_back(ProposeAction{.id = id, .command = std::move(command)});
}

void Dispatcher::OnProposed(std::uint64_t id, bool committed, const Now& now) {
  const auto found = pending_.find(id);
  if (found == pending_.end())
    return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  if (const auto* placed = std::get_if<std::vector<RunKey>>(&pending)) {
    for (const RunKey& key : *placed) {
      const auto run = runs_.find(key);
      if (run == runs_.end() || run->second.phase != RunPhase::kProposed)
        continue;
      open_jobs_.Touch(key.task.job);
      // A placement without confirmation may still be committed, but no start
      // was sent. The run is treated as running, so that the next list of the
      // worker, which does not contain it, ends it.
      run->second.phase = committed ? RunPhase::kStarting : RunPhase::kRunning;
      if (!committed) {
        run->second.starts.sent = 1;
        run->second.settled_at = now.instant;
      }
    }
  } else if (const auto* confirmed =
                 std::get_if<PendingConfirmation>(&pending)) {
    if (!committed) {
      confirmed_starts_.insert(confirmed_starts_.end(), confirmed->runs.begin(),
                               confirmed->runs.end());
    }
  } else {
    const auto& ends = std::get<PendingEnds>(pending);
    for (const RunKey& key : ends.runs) {
      const auto run = runs_.find(key);
      if (run == runs_.end())
        continue;
      if (committed && ends.worker.empty()) {
        EraseRun(run);
      } else if (committed) {
        OnEndCommitted(run, now);
      } else if (ends.worker.empty()) {
        uncommitted_returns_.push_back(key);
        next_return_at_ = now.instant + kReturnRetryDelay;
      } else {
        // The worker lists the end again.
        run->second.phase = RunPhase::kRunning;
      }
    }
    const auto worker = workers_.find(ends.worker);
    if (worker != workers_.end() &&
        worker->second.description.incarnation.born == ends.born) {
      worker->second.ends_in_flight = false;
      worker->second.next_hold_at = now.instant;
      if (committed) {
        worker->second.acknowledged_end =
            std::max(worker->second.acknowledged_end, ends.last_number);
      }
    }
  }
}

void Dispatcher::Tick(const Now& now) {
  if (!leads())
    return;
  SyncWorkers(now);
  caps_.Sync(store_.configuration());
  ExpireWorkers(now);
  AdvanceRuns(now);
  RetryReturns(now);
  ProposeConfirmedStarts(now);
  ProposeRunTimes(now);
  PlaceRound(now);
  SendDueHolds(now);
}

std::vector<Action> Dispatcher::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<Decision> Dispatcher::TakeDecisions() {
  return std::exchange(decisions_, {});
}

void Dispatcher::RecordDecision(std::string_view kind,
                                const RunKey& run,
                                const WorkerIncarnation& worker,
                                std::string reason,
                                const Now& now,
                                base::Duration input_age) {
  Decision decision{.kind = kind,
                    .task = run.task,
                    .attempt = run.attempt,
                    .worker = worker,
                    .reason = std::move(reason),
                    .input_age = input_age};
  const JobRecord* job = store_.FindJob(run.task.job);
  if (job != nullptr && run.task.step < job->spec.steps.size()) {
    const RunTimeExpectation expected =
        Expect(job->queue, job->customer, job->spec.steps[run.task.step]);
    decision.expected_ms = expected.median_ms;
    decision.expected_from = NameOf(expected.source);
  }
  if (const auto known = runs_.find(run); known != runs_.end())
    decision.starts_sent = known->second.starts.sent;
  if (const Worker* holder = FindWorker(worker))
    decision.lease_left = holder->lease_bound - now.instant;
  decisions_.push_back(std::move(decision));
}

}  // namespace wigeonstair::jobs
