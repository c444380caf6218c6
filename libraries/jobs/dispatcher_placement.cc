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

void Dispatcher::UpdateCandidates(const Now& now) {
  const std::set<base::DomainId> silent = UnresponsiveDomains(now);
  bool changed =
      std::exchange(candidates_revision_, worker_revision_) != worker_revision_;
  std::size_t count = 0;
  // Both maps are in the order of the incarnations.
  auto used = runs_by_worker_.begin();
  for (auto& [id, worker] : workers_) {
    worker.candidate.reset();
    if (UnusableReason(worker, silent, now))
      continue;
    const WorkerDescription& description = worker.description;
    worker.candidate = count++;
    if (count > candidates_.size())
      candidates_.emplace_back();
    CandidateWorker& candidate = candidates_[count - 1];
    if (changed || candidate.incarnation != description.incarnation) {
      changed = true;
      candidate = {.incarnation = description.incarnation,
                   .pool = description.pool,
                   .rack = description.rack,
                   .labels = description.labels,
                   .capacity = description.capacity};
    }
    candidate.free = description.capacity;
    candidate.claimed = {};
    candidate.penalty = worker.failures;
    candidate.urgent_only = false;
    candidate.usable_ms = std::numeric_limits<double>::infinity();
    while (used != runs_by_worker_.end() &&
           used->first < description.incarnation)
      ++used;
    if (used != runs_by_worker_.end() && used->first == description.incarnation)
      candidate.free -= used->second.in_use;
  }
  changed = changed || count != candidates_.size();
  candidates_.resize(count);
  if (changed)
    NumberRacks(candidates_);
}

Dispatcher::Round Dispatcher::BeginRound(const Now& now) {
  UpdateCandidates(now);
  Round round{.workers = std::move(candidates_)};
  for (const CandidateWorker& candidate : round.workers) {
    round.capacity += candidate.capacity;
    round.free += candidate.free;
  }
  round.rack_capacity.resize(open_jobs_.shapes().size());
  return round;
}

TaskHold Dispatcher::HoldOf(const JobRecord& job,
                            const TaskRef& task,
                            const TaskProgress* progress,
                            const Now& now) const {
  if (progress != nullptr && MayHaveUsedAttempts(job, task, *progress, now))
    return TaskHold::kEarlierRun;
  // A previous run of the task may not have ended yet.
  const auto run = runs_.lower_bound({.task = task, .attempt = 0});
  if (run == runs_.end() || run->first.task != task)
    return TaskHold::kNone;
  return run->second.phase == RunPhase::kProposed ? TaskHold::kProposed
                                                  : TaskHold::kEarlierRun;
}

void Dispatcher::RefreshOpenJobs(const Now& now) {
  // The answer of MayHaveUsedAttempts changes with time and workers.
  for (const auto& [task, attempts] : lost_attempts_)
    open_jobs_.Touch(task.job);
  const auto early_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      options_.early_start);
  open_jobs_.Refresh(now.wall_ms + static_cast<std::uint64_t>(early_ms.count()),
                     now);
}

ReadySteps Dispatcher::FindReadySteps(const Now& now) {
  RefreshOpenJobs(now);
  ReadySteps ready = open_jobs_.Ready();
  const JobRecord* last = nullptr;
  double critical_path_ms = 0;
  for (ReadyStep* entry : ready.steps) {
    const JobRecord& job = *entry->job;
    // The steps of a job are neighbours.
    if (std::exchange(last, &job) != &job)
      critical_path_ms = CriticalPathMs(job.queue, job.spec, job.customer);
    entry->work_ms = ExpectedTaskMs(job, entry->step.step);
    entry->objective_ms =
        entry->due_ms + job.policy.completion_target_ms +
        static_cast<std::uint64_t>(job.policy.stretch * critical_path_ms);
  }
  return ready;
}

std::vector<std::uint32_t> Dispatcher::TasksPerWorker(
    const std::vector<CandidateWorker>& workers,
    const ReadyStep& ready) const {
  std::vector<std::uint32_t> used(workers.size());
  if (ready.spec->max_per_worker == 0)
    return used;
  const StepRef& step = ready.step;
  const RunKey first{.task = {.job = step.job,
                              .occurrence = step.occurrence,
                              .step = step.step}};
  for (auto run = runs_.lower_bound(first);
       run != runs_.end() && StepOf(run->first.task) == step; ++run) {
    if (const auto candidate = FindCandidate(workers, run->second.worker))
      ++used[*candidate];
  }
  return used;
}

// A gang that fits into one rack waits for one while it can still meet its
// objective there, and also later while the fleet is busy: across racks it
// would occupy its workers several times as long.
RackRule Dispatcher::RackRuleFor(const ReadyStep& ready,
                                 Round& round,
                                 const Now& now) const {
  const StepSpec& step = *ready.spec;
  if (!step.rack_local && step.data_rack.empty())
    return RackRule::kAnyRack;
  const bool missed = static_cast<double>(now.wall_ms) + ready.work_ms >
                      static_cast<double>(ready.objective_ms);
  if (missed && !IsBusy(round.capacity, round.free))
    return RackRule::kAnyRack;
  std::optional<std::uint64_t>& capacity = round.rack_capacity[ready.shape];
  if (!capacity) {
    capacity =
        RackCapacity(round.workers, {.step = &step, .pool = ready.job->pool});
  }
  const std::uint64_t needed = step.gang ? step.count : 1;
  return *capacity >= needed ? RackRule::kOneRack : RackRule::kAnyRack;
}

Dispatcher::Shape Dispatcher::ShapeOf(const ReadyStep& ready,
                                      RackRule rule) const {
  const bool prefers_rack =
      ready.spec->rack_local || !ready.spec->data_rack.empty();
  return {open_jobs_.shapes()[ready.shape].without_limits,
          prefers_rack && rule == RackRule::kOneRack};
}

Urgency Dispatcher::UrgencyOf(const ReadyStep& ready, const Now& now) {
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
void Dispatcher::SortByUrgency(std::vector<ReadyStep*>& ready, const Now& now) {
  struct Key {
    bool has_no_value = false;
    std::uint32_t priority = 0;
    Urgency level = Urgency::kInTime;
    std::uint64_t objective_ms = 0;
    ReadyStep* entry = nullptr;
  };
  std::vector<Key> keys;
  keys.reserve(ready.size());
  for (ReadyStep* entry : ready) {
    const Urgency level = UrgencyOf(*entry, now);
    keys.push_back({.has_no_value = level == Urgency::kZeroValue,
                    .priority = entry->job->policy.priority,
                    .level = level,
                    .objective_ms = entry->objective_ms,
                    .entry = entry});
  }
  std::sort(keys.begin(), keys.end(), [](const Key& a, const Key& b) {
    return std::tie(a.has_no_value, a.priority, a.level, a.objective_ms,
                    a.entry->step) < std::tie(b.has_no_value, b.priority,
                                              b.level, b.objective_ms,
                                              b.entry->step);
  });
  for (std::size_t i = 0; i < keys.size(); ++i)
    ready[i] = keys[i].entry;
}

void Dispatcher::PlaceRound(const Now& now) {
  if (now.instant < next_placement_at_)
    return;
  ReadySteps found = FindReadySteps(now);
  std::vector<ReadyStep*>& ready = found.steps;
  // With a long queue, rounds are less frequent, so that a small host keeps
  // processor time for start calls and lists.
  next_placement_at_ =
      now.instant +
      std::min<base::Duration>(kLongestPause, kPausePerStep * ready.size());
  waiting_tasks_ = 0;
  for (ReadyStep* entry : ready) {
    waiting_tasks_ += entry->waiting.size();
    entry->allowed = TasksWithinCap(*entry);
  }
  if (ready.empty()) {
    Round none;
    ExplainWaiting(found, none, now);
    return;
  }
  SortByUrgency(ready, now);
  Round round = BeginRound(now);
  UpdateUrgentDemand(ready, now);
  ApplyClaims(ready, round.workers, now);
  bool urgent_reserved = false;
  for (ReadyStep* entry : ready) {
    const bool urgent = entry->job->policy.priority == 0;
    if (!urgent && !std::exchange(urgent_reserved, true))
      ReserveForUrgent(round.workers, UrgentReserve(round));
    const std::size_t waiting = entry->waiting.size();
    PlaceOrPreempt(*entry, round, now);
    if (entry->waiting.size() != waiting)
      open_jobs_.Touch(entry->step.job);
  }
  ExplainWaiting(found, round, now);
  candidates_ = std::move(round.workers);
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
  LimitByCap(ready, round, now);
  if (ready.allowed == 0)
    return;
  const bool urgent = ready.job->policy.priority == 0;
  const RackRule rule = RackRuleFor(ready, round, now);
  if (claims_.contains(ready.step)) {
    PlaceClaimed(ready, rule, round, now);
    return;
  }
  const Shape shape = ShapeOf(ready, rule);
  const auto smallest_refused = round.refused.find(shape);
  // Of a step that is no gang, some tasks may fit.
  const std::size_t least = ready.spec->gang ? ready.waiting.size() : 1;
  const bool infeasible = smallest_refused != round.refused.end() &&
                          least >= smallest_refused->second;
  if (infeasible && !urgent)
    return;
  if (!infeasible && PlaceStep(ready, rule, round, now))
    return;
  if (!infeasible && ready.spec->max_per_worker == 0) {
    round.refused[shape] =
        ready.spec->gang ? static_cast<std::uint32_t>(ready.waiting.size()) : 1;
  }
  if (urgent && Preempt(ready, rule, round, now))
    return;
  if (ready.spec->gang && UrgencyOf(ready, now) != Urgency::kZeroValue &&
      round.reservations < kMaximumReservations &&
      IsBusy(round.capacity, round.free)) {
    ++round.reservations;
    if (!round.allocations)
      round.allocations = Allocations(now);
    Reserve(ready, *round.allocations, round.workers);
  }
}

PlanRequest Dispatcher::RequestOf(const ReadyStep& ready) const {
  return {.step = ready.spec,
          .pool = ready.job->pool,
          .count = ready.allowed,
          .work_ms = ready.work_ms,
          .urgent = ready.job->policy.priority == 0};
}

// Returns whether all tasks that the cap allows were placed. Unless the step is
// a gang, placed tasks are removed from `ready.waiting`.
bool Dispatcher::PlaceStep(ReadyStep& ready,
                           RackRule rule,
                           Round& round,
                           const Now& now) {
  const PlanRequest request = RequestOf(ready);
  const std::vector<std::uint32_t> used = TasksPerWorker(round.workers, ready);
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
  ready.allowed -= static_cast<std::uint32_t>(plan.workers.size());
  return ready.allowed == 0;
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
  if (!plan.workers.empty())
    round.victims.reset();
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
    Run* run = AddRun(placement, now);
    if (run == nullptr)
      continue;
    run->remote = plan.remote;
    round.free -= candidate.free;
    candidate.free -= run->resources;
    round.free += candidate.free;
    round.placements.push_back(placement);
  }
}

}  // namespace wigeonstair::jobs
