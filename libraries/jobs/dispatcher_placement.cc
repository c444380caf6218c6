#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Maximum number of waiting gangs with a reservation per round.
constexpr int kMaximumReservations = 3;

// Pause after a placement round, for each step that was waiting.
constexpr base::Duration kPausePerStep = std::chrono::microseconds(400);
constexpr base::Duration kLongestPause = std::chrono::milliseconds(60);

}  // namespace

std::vector<CandidateWorker> Dispatcher::CandidateWorkers(
    const Now& now) const {
  const std::set<base::DomainId> silent = UnresponsiveDomains(now);
  std::vector<CandidateWorker> workers;
  workers.reserve(workers_.size());
  for (const auto& [id, worker] : workers_) {
    const WorkerDescription& description = worker.description;
    if (UnusableReason(worker, silent, now))
      continue;
    CandidateWorker candidate{.incarnation = description.incarnation,
                              .pool = description.pool,
                              .rack = description.rack,
                              .labels = description.labels,
                              .capacity = description.capacity,
                              .free = description.capacity,
                              .penalty = worker.failures};
    const auto used = runs_by_worker_.find(description.incarnation);
    if (used != runs_by_worker_.end())
      candidate.free -= used->second.in_use;
    workers.push_back(std::move(candidate));
  }
  return workers;
}

Dispatcher::ReadySteps Dispatcher::FindReadySteps(const Now& now) const {
  const auto early_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      options_.early_start);
  ReadySteps ready;
  for (const base::JobId& id : store_.open_jobs()) {
    const JobRecord& job = *store_.FindJob(id);
    const double critical_path =
        CriticalPathMs(job.queue, job.spec, job.customer);
    for (std::uint32_t k = 0; k < job.spec.occurrences(); ++k) {
      const std::uint64_t due = job.DueMs(k);
      if (due > now.wall_ms + static_cast<std::uint64_t>(early_ms.count()))
        break;
      for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        AddReadyStep(job, {.job = id, .occurrence = k, .step = step}, due,
                     critical_path, now, ready);
      }
    }
  }
  return ready;
}

void Dispatcher::AddReadyStep(const JobRecord& job,
                              const StepRef& step,
                              std::uint64_t due_ms,
                              double critical_path_ms,
                              const Now& now,
                              ReadySteps& ready) const {
  const StepSpec& spec = job.spec.steps[step.step];
  const std::vector<TaskProgress>* tasks =
      job.FindProgress(step.occurrence, step.step);
  if (!job.DependenciesDone(step.occurrence, step.step))
    return;
  ReadyStep entry{.step = step,
                  .job = &job,
                  .spec = &spec,
                  .due_ms = due_ms,
                  .work_ms = ExpectedTaskMs(job, step.step)};
  entry.objective_ms =
      due_ms + job.policy.completion_target_ms +
      static_cast<std::uint64_t>(job.policy.stretch * critical_path_ms);
  std::optional<TaskRef> held;
  for (std::uint32_t index = 0; index < spec.count; ++index) {
    const TaskRef task{.job = step.job,
                       .occurrence = step.occurrence,
                       .step = step.step,
                       .index = index};
    if (tasks != nullptr && (*tasks)[index].phase != TaskPhase::kWaiting)
      continue;
    if (tasks != nullptr &&
        MayHaveUsedAttempts(job, task, (*tasks)[index], now)) {
      held = held.value_or(task);
      continue;
    }
    // A previous run of the task may not have ended yet.
    const auto run = runs_.lower_bound({.task = task, .attempt = 0});
    if (run == runs_.end() || run->first.task != task)
      entry.waiting.push_back(index);
    else if (!held && run->second.phase != RunPhase::kProposed)
      held = task;
  }
  if (held)
    ready.held.emplace_back(*held, &job);
  const bool partial = spec.gang && entry.waiting.size() != spec.count;
  if (!entry.waiting.empty() && !partial)
    ready.steps.push_back(std::move(entry));
}

std::vector<std::uint32_t> Dispatcher::TasksPerWorker(
    const std::vector<CandidateWorker>& workers,
    const StepRef& step) const {
  std::vector<std::uint32_t> used(workers.size());
  if (store_.FindJob(step.job)->spec.steps[step.step].max_per_worker == 0)
    return used;
  const RunKey first{.task = {.job = step.job,
                              .occurrence = step.occurrence,
                              .step = step.step}};
  for (auto run = runs_.lower_bound(first);
       run != runs_.end() && StepOf(run->first.task) == step; ++run) {
    for (std::size_t i = 0; i < workers.size(); ++i) {
      if (workers[i].incarnation == run->second.worker)
        ++used[i];
    }
  }
  return used;
}

// A gang that fits into one rack waits for one while it can still meet its
// objective there, and also later while the fleet is busy: across racks it
// would occupy its workers several times as long.
RackRule Dispatcher::RackRuleFor(const ReadyStep& ready,
                                 const std::vector<CandidateWorker>& workers,
                                 const Now& now) const {
  const StepSpec& step = *ready.spec;
  if (!step.rack_local && step.data_rack.empty())
    return RackRule::kAnyRack;
  const bool missed = static_cast<double>(now.wall_ms) + ready.work_ms >
                      static_cast<double>(ready.objective_ms);
  if (missed && !IsBusy(workers))
    return RackRule::kAnyRack;
  std::map<base::RackId, std::uint64_t> fits;
  const PlanRequest request{.step = &step, .pool = ready.job->pool};
  for (const CandidateWorker& candidate : workers) {
    if (Accepts(candidate, request))
      fits[candidate.rack] += CountFitting(candidate.capacity, step, 0);
  }
  const std::uint64_t needed = step.gang ? step.count : 1;
  const bool possible =
      step.data_rack.empty()
          ? std::any_of(fits.begin(), fits.end(),
                        [&](const auto& rack) { return rack.second >= needed; })
          : fits[base::RackId(step.data_rack)] >= needed;
  return possible ? RackRule::kOneRack : RackRule::kAnyRack;
}

Dispatcher::Shape Dispatcher::ShapeOf(const ReadyStep& ready, RackRule rule) {
  const StepSpec& step = *ready.spec;
  return {step.task, ready.job->pool + "/" + step.required_label,
          step.data_rack, step.rack_local && rule == RackRule::kOneRack,
          ready.job->policy.priority == 0};
}

Dispatcher::Urgency Dispatcher::UrgencyOf(const ReadyStep& ready,
                                          const Now& now) {
  const double end = static_cast<double>(now.wall_ms) + ready.work_ms;
  const auto due = static_cast<double>(ready.due_ms);
  const double objective = static_cast<double>(ready.objective_ms) - due;
  if (end <= due + objective)
    return Urgency::kInTime;
  return end <= due + kZeroValueFactor * objective ? Urgency::kLate
                                                   : Urgency::kZeroValue;
}

// Load pattern: bursts of short urgent gangs on top of long ones. Orders steps
// by priority; within a priority, those that can still meet their objective
// come before late ones. Steps whose value has dropped to zero come last.
void Dispatcher::SortByUrgency(std::vector<ReadyStep>& ready, const Now& now) {
  const auto key = [&](const ReadyStep& entry) {
    const Urgency level = UrgencyOf(entry, now);
    return std::tuple(level == Urgency::kZeroValue, entry.job->policy.priority,
                      level, entry.objective_ms, entry.step);
  };
  std::sort(
      ready.begin(), ready.end(),
      [&](const ReadyStep& a, const ReadyStep& b) { return key(a) < key(b); });
}

void Dispatcher::PlaceRound(const Now& now) {
  if (now.instant < next_placement_at_)
    return;
  ReadySteps found = FindReadySteps(now);
  std::vector<ReadyStep>& ready = found.steps;
  // With a long queue, rounds are less frequent, so that a small host keeps
  // processor time for start calls and lists.
  next_placement_at_ =
      now.instant +
      std::min<base::Duration>(kLongestPause, kPausePerStep * ready.size());
  waiting_tasks_ = 0;
  for (const ReadyStep& entry : ready)
    waiting_tasks_ += entry.waiting.size();
  if (ready.empty()) {
    ExplainWaiting(found, {}, now);
    return;
  }
  SortByUrgency(ready, now);
  Round round{.workers = CandidateWorkers(now)};
  UpdateUrgentDemand(ready, now);
  guaranteed_use_ = GuaranteedUse();
  ApplyClaims(ready, round.workers, now);
  bool urgent_reserved = false;
  for (ReadyStep& entry : ready) {
    const bool urgent = entry.job->policy.priority == 0;
    if (!urgent && !std::exchange(urgent_reserved, true))
      ReserveForUrgent(round.workers, UrgentReserve(round.workers));
    PlaceOrPreempt(entry, round, now);
  }
  ExplainWaiting(found, round, now);
  if (round.placements.empty())
    return;
  std::vector<RunKey> keys;
  keys.reserve(round.placements.size());
  for (const Placement& placement : round.placements)
    keys.push_back({.task = placement.task, .attempt = placement.attempt});
  placed_since_confirmation_ = true;
  Propose(PlaceTasks{.term = term_, .placements = std::move(round.placements)},
          std::move(keys));
}

// Places a step. If it does not fit, preempts others for it when it is urgent,
// or reserves workers for it when it is a gang.
void Dispatcher::PlaceOrPreempt(ReadyStep& ready,
                                Round& round,
                                const Now& now) {
  const bool urgent = ready.job->policy.priority == 0;
  const RackRule rule = RackRuleFor(ready, round.workers, now);
  if (claims_.contains(ready.step)) {
    PlaceClaimed(ready, rule, round, now);
    return;
  }
  const Shape shape = ShapeOf(ready, rule);
  const auto smallest_refused = round.refused.find(shape);
  const bool infeasible = smallest_refused != round.refused.end() &&
                          ready.waiting.size() >= smallest_refused->second;
  if (infeasible && !urgent)
    return;
  if (!infeasible && PlaceStep(ready, rule, round, now))
    return;
  if (!infeasible && ready.spec->max_per_worker == 0) {
    round.refused[shape] =
        ready.spec->gang ? static_cast<std::uint32_t>(ready.waiting.size()) : 1;
  }
  if (urgent && Preempt(ready, rule, round.workers, now))
    return;
  if (ready.spec->gang && UrgencyOf(ready, now) != Urgency::kZeroValue &&
      round.reservations < kMaximumReservations && IsBusy(round.workers)) {
    ++round.reservations;
    if (!round.allocations)
      round.allocations = Allocations(round.workers, now);
    Reserve(ready, *round.allocations, round.workers);
  }
}

PlanRequest Dispatcher::RequestOf(const ReadyStep& ready) const {
  return {.step = ready.spec,
          .pool = ready.job->pool,
          .count = static_cast<std::uint32_t>(ready.waiting.size()),
          .work_ms = ready.work_ms,
          .urgent = ready.job->policy.priority == 0};
}

// Returns whether all tasks were placed. Unless the step is a gang, placed
// tasks are removed from `ready.waiting`.
bool Dispatcher::PlaceStep(ReadyStep& ready,
                           RackRule rule,
                           Round& round,
                           const Now& now) {
  const PlanRequest request = RequestOf(ready);
  const std::vector<std::uint32_t> used =
      TasksPerWorker(round.workers, ready.step);
  if (ready.spec->gang) {
    const std::optional<Plan> plan =
        PlanAll(round.workers, used, request, rule);
    if (!plan)
      return false;
    Commit(ready, *plan, round, now);
    return true;
  }
  const Plan plan = PlanSome(round.workers, used, request, rule);
  Commit(ready, plan, round, now);
  ready.waiting.erase(
      ready.waiting.begin(),
      ready.waiting.begin() + static_cast<std::ptrdiff_t>(plan.workers.size()));
  return ready.waiting.empty();
}

void Dispatcher::Commit(const ReadyStep& ready,
                        const Plan& plan,
                        Round& round,
                        const Now& now) {
  const std::vector<TaskProgress>* tasks =
      ready.job->FindProgress(ready.step.occurrence, ready.step.step);
  std::uint32_t highest = 0;
  if (tasks != nullptr) {
    for (const TaskProgress& task : *tasks)
      highest = std::max(highest, task.attempt);
  }
  for (std::size_t i = 0; i < plan.workers.size(); ++i) {
    CandidateWorker& candidate = round.workers[plan.workers[i]];
    const std::uint32_t index = ready.waiting[i];
    const std::uint32_t last = ready.spec->gang || tasks == nullptr
                                   ? highest
                                   : (*tasks)[index].attempt;
    const Placement placement{.task = {.job = ready.step.job,
                                       .occurrence = ready.step.occurrence,
                                       .step = ready.step.step,
                                       .index = index},
                              .attempt = last + 1,
                              .worker = candidate.incarnation};
    AddRun(placement, now);
    Run& run = runs_.at({placement.task, placement.attempt});
    run.remote = plan.remote;
    candidate.free -= run.resources;
    round.placements.push_back(placement);
  }
}

}  // namespace wigeonstair::jobs
