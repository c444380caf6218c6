#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Heartbeats that a worker may miss before it gets no new tasks.
constexpr int kMissedHeartbeats = 2;
constexpr base::Duration kHeartbeatSlack = std::chrono::milliseconds(400);
// A job earns less after its objective and nothing after this multiple of it.
constexpr double kWorthlessAfter = 3;

// How fast the reserve for urgent work shrinks after a burst.
constexpr double kReserveHalfLifeMs = 6000;
// At most this share of all accelerators is kept free for urgent work.
constexpr double kLargestReserve = 0.25;
// Room is kept for urgent work and for gangs only while more than this share of
// the accelerators is in use: nothing that could run may wait below it.
constexpr double kBusyShare = 0.5;
// Racks that may be held for gangs that wait, at most.
constexpr int kMaximumReservations = 3;

// Pause after a round of placement for each step that was waiting.
constexpr base::Duration kPausePerStep = std::chrono::microseconds(400);
constexpr base::Duration kLongestPause = std::chrono::milliseconds(60);

// Part of the accelerators that work can use at best: gangs leave gaps.
constexpr double kUsableShare = 0.8;
// When callers that were refused may come back.
constexpr base::Duration kSoonestReturn = std::chrono::seconds(1);
constexpr base::Duration kLatestReturn = std::chrono::seconds(30);
constexpr double kReturnSpread = 0.5;

// A worker of a suspect domain that answered so recently is used.
constexpr base::Duration kFresh = std::chrono::milliseconds(400);

enum class Urgency { kInTime, kLate, kWorthless };

}  // namespace

std::vector<WorkerRoom> Dispatcher::Rooms(const Now& now) const {
  std::map<WorkerLife, Resources> taken;
  for (const auto& [key, run] : runs_)
    taken[run.worker] += run.resources;
  const std::set<base::DomainId> silent = SilentDomains(now);
  std::vector<WorkerRoom> rooms;
  for (const auto& [id, worker] : workers_) {
    const WorkerDescription& description = worker.description;
    if (worker.unanswered_at || (silent.contains(description.domain) &&
                                 now.instant - worker.answered_at > kFresh)) {
      continue;
    }
    const bool heard = now.instant - worker.heard_at <
                       kMissedHeartbeats * options_.heartbeat + kHeartbeatSlack;
    if (description.phase != WorkerPhase::kReady || !heard ||
        !worker.clock_ms || !worker.listed_in_term ||
        now.instant < worker.avoid_until ||
        !store_.InService(description.domain)) {
      continue;
    }
    WorkerRoom room{.life = description.life,
                    .pool = description.pool,
                    .rack = description.rack,
                    .labels = description.labels,
                    .capacity = description.capacity,
                    .free = description.capacity,
                    .penalty = worker.failures};
    const auto used = taken.find(description.life);
    if (used != taken.end())
      room.free -= used->second;
    rooms.push_back(std::move(room));
  }
  return rooms;
}

double Dispatcher::WorkOf(const JobRecord& job, std::uint32_t step) const {
  return run_times_.Expect(job.queue, job.spec.steps[step].estimate_ms);
}

// The longest chain of steps that wait for each other, in milliseconds.
double Dispatcher::ChainOf(const std::string& queue,
                           const JobSpec& spec) const {
  std::vector<double> until(spec.steps.size());
  double longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    double begin = 0;
    for (const std::uint32_t earlier : spec.steps[i].depends_on)
      begin = std::max(begin, until[earlier]);
    until[i] = begin + run_times_.Expect(queue, spec.steps[i].estimate_ms);
    longest = std::max(longest, until[i]);
  }
  return longest;
}

std::vector<Dispatcher::ReadyStep> Dispatcher::ReadySteps(
    const Now& now) const {
  const auto early_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      options_.early_start);
  std::vector<ReadyStep> ready;
  for (const base::JobId& id : store_.open_jobs()) {
    const JobRecord& job = *store_.FindJob(id);
    const double chain = ChainOf(job.queue, job.spec);
    for (std::uint32_t k = 0; k < job.spec.occurrences(); ++k) {
      const std::uint64_t due = job.DueMs(k);
      if (due > now.wall_ms + static_cast<std::uint64_t>(early_ms.count()))
        break;
      for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec& spec = job.spec.steps[step];
        const std::vector<TaskProgress>* tasks = job.FindProgress(k, step);
        if (!job.DependenciesDone(k, step))
          continue;
        ReadyStep entry{.step = {.job = id, .occurrence = k, .step = step},
                        .job = &job,
                        .spec = &spec,
                        .due_ms = due,
                        .work_ms = WorkOf(job, step)};
        entry.objective_ms =
            due + job.policy.completion_target_ms +
            static_cast<std::uint64_t>(job.policy.stretch * chain);
        for (std::uint32_t index = 0; index < spec.count; ++index) {
          const TaskRef task{
              .job = id, .occurrence = k, .step = step, .index = index};
          const bool waits =
              tasks == nullptr || (*tasks)[index].phase == TaskPhase::kWaiting;
          // An earlier run may not have ended yet.
          const auto run = runs_.lower_bound({.task = task, .attempt = 0});
          const bool runs = run != runs_.end() && run->first.task == task;
          if (waits && !runs)
            entry.waiting.push_back(index);
        }
        const bool partial = spec.gang && entry.waiting.size() != spec.count;
        if (!entry.waiting.empty() && !partial)
          ready.push_back(std::move(entry));
      }
    }
  }
  return ready;
}

std::vector<std::uint32_t> Dispatcher::UsedRooms(
    const std::vector<WorkerRoom>& rooms,
    const StepRef& step) const {
  std::vector<std::uint32_t> used(rooms.size());
  if (store_.FindJob(step.job)->spec.steps[step.step].max_per_worker == 0)
    return used;
  const RunKey first{.task = {.job = step.job,
                              .occurrence = step.occurrence,
                              .step = step.step}};
  for (auto run = runs_.lower_bound(first);
       run != runs_.end() && StepOf(run->first.task) == step; ++run) {
    for (std::size_t i = 0; i < rooms.size(); ++i) {
      if (rooms[i].life == run->second.worker)
        ++used[i];
    }
  }
  return used;
}

// A gang that fits into one rack waits for one while it can still be done in
// time there, and while others need the room: elsewhere it would hold its
// workers several times as long.
RackRule Dispatcher::RuleFor(const ReadyStep& ready,
                             const std::vector<WorkerRoom>& rooms,
                             const Now& now) const {
  const StepSpec& step = *ready.spec;
  if (!step.rack_local && step.data_rack.empty())
    return RackRule::kAnyRack;
  const bool missed = static_cast<double>(now.wall_ms) + ready.work_ms >
                      static_cast<double>(ready.objective_ms);
  if (missed && !IsBusy(rooms))
    return RackRule::kAnyRack;
  std::map<base::RackId, std::uint64_t> fits;
  const PlanRequest request{.step = &step, .pool = ready.job->pool};
  for (const WorkerRoom& room : rooms) {
    if (Accepts(room, request))
      fits[room.rack] += Fitting(room.capacity, step, 0);
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

// Load pattern: bursts of short urgent gangs on top of long ones. Urgent
// queues come first; within one queue class, jobs that can still be in time go
// before those that are late, and those that nobody waits for come last.
void Dispatcher::PlaceRound(const Now& now) {
  if (now.instant < next_placement_at_)
    return;
  std::vector<ReadyStep> ready = ReadySteps(now);
  // With a long queue, rounds are rare, so that a small host keeps time for
  // starts and lists.
  next_placement_at_ =
      now.instant +
      std::min<base::Duration>(kLongestPause, kPausePerStep * ready.size());
  waiting_tasks_ = 0;
  for (const ReadyStep& entry : ready)
    waiting_tasks_ += entry.waiting.size();
  if (ready.empty())
    return;
  const auto urgency = [&](const ReadyStep& entry) {
    const double end = static_cast<double>(now.wall_ms) + entry.work_ms;
    const auto due = static_cast<double>(entry.due_ms);
    const double objective = static_cast<double>(entry.objective_ms) - due;
    if (end <= due + objective)
      return Urgency::kInTime;
    return end <= due + kWorthlessAfter * objective ? Urgency::kLate
                                                    : Urgency::kWorthless;
  };
  const auto key = [&](const ReadyStep& entry) {
    const Urgency level = urgency(entry);
    return std::tuple(level == Urgency::kWorthless, entry.job->policy.priority,
                      level, entry.objective_ms, entry.step);
  };
  std::sort(
      ready.begin(), ready.end(),
      [&](const ReadyStep& a, const ReadyStep& b) { return key(a) < key(b); });
  std::vector<WorkerRoom> rooms = Rooms(now);
  std::vector<Placement> placements;
  FollowUrgentDemand(ready, now);
  bool kept = false;
  int reservations = 0;
  std::map<Shape, std::uint32_t> refused;
  for (const ReadyStep& entry : ready) {
    const bool urgent = entry.job->policy.priority == 0;
    if (!urgent && !std::exchange(kept, true))
      KeepForUrgent(rooms, UrgentReserve(rooms));
    const Shape shape = ShapeOf(entry, RuleFor(entry, rooms, now));
    const auto known = refused.find(shape);
    if (known != refused.end() && entry.waiting.size() >= known->second)
      continue;
    if (PlaceStep(entry, rooms, placements, now))
      continue;
    if (entry.spec->gang && entry.spec->max_per_worker == 0)
      refused[shape] = static_cast<std::uint32_t>(entry.waiting.size());
    else if (!entry.spec->gang && entry.spec->max_per_worker == 0)
      refused[shape] = 1;
    if (urgent && Preempt(entry, rooms, now))
      continue;
    if (entry.spec->gang && urgency(entry) != Urgency::kWorthless &&
        reservations < kMaximumReservations && IsBusy(rooms)) {
      ++reservations;
      Reserve(entry, rooms, now);
    }
  }
  if (placements.empty())
    return;
  std::vector<RunKey> keys;
  keys.reserve(placements.size());
  for (const Placement& placement : placements)
    keys.push_back({.task = placement.task, .attempt = placement.attempt});
  Propose(
      PlaceTasks{.term = fencing_token_, .placements = std::move(placements)},
      std::move(keys));
}

PlanRequest Dispatcher::RequestOf(const ReadyStep& ready) const {
  return {.step = ready.spec,
          .pool = ready.job->pool,
          .count = static_cast<std::uint32_t>(ready.waiting.size()),
          .work_ms = ready.work_ms,
          .urgent = ready.job->policy.priority == 0};
}

double Dispatcher::RemainingMs(const RunKey& key,
                               const Run& run,
                               const Now& now) const {
  constexpr double kSoonMs = 200;
  if (run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding)
    return kSoonMs;
  const JobRecord* job = store_.FindJob(key.task.job);
  if (job == nullptr)
    return kSoonMs;
  const double whole =
      WorkOf(*job, key.task.step) * (run.remote ? options_.remote_factor : 1);
  const std::chrono::duration<double, std::milli> ran =
      now.instant - run.running_since.value_or(now.instant);
  return std::max(kSoonMs, whole - ran.count());
}

std::vector<Occupant> Dispatcher::Occupants(
    const std::vector<WorkerRoom>& rooms,
    const Now& now) const {
  std::map<WorkerLife, std::size_t> position;
  for (std::size_t i = 0; i < rooms.size(); ++i)
    position[rooms[i].life] = i;
  std::vector<Occupant> occupants;
  for (const auto& [key, run] : runs_) {
    const auto room = position.find(run.worker);
    if (room == position.end())
      continue;
    occupants.push_back({.room = room->second,
                         .resources = run.resources,
                         .remaining_ms = RemainingMs(key, run, now)});
  }
  return occupants;
}

// Follows the demand of urgent jobs up at once and down slowly.
void Dispatcher::FollowUrgentDemand(const std::vector<ReadyStep>& ready,
                                    const Now& now) {
  std::uint64_t held = 0;
  for (const auto& [key, run] : runs_) {
    if (run.priority == 0)
      held += run.resources.accelerators;
  }
  urgent_demand_ = static_cast<double>(held);
  for (const ReadyStep& entry : ready) {
    if (entry.job->policy.priority == 0) {
      urgent_demand_ += static_cast<double>(entry.waiting.size() *
                                            entry.spec->task.accelerators);
    }
  }
  const std::chrono::duration<double, std::milli> passed =
      now.instant - urgent_peak_at_;
  urgent_peak_ =
      std::max(urgent_demand_,
               urgent_peak_ * std::exp2(-passed.count() / kReserveHalfLifeMs));
  urgent_peak_at_ = now.instant;
}

std::uint64_t Dispatcher::UrgentReserve(
    const std::vector<WorkerRoom>& rooms) const {
  if (!IsBusy(rooms))
    return 0;
  std::uint64_t capacity = 0;
  for (const WorkerRoom& room : rooms)
    capacity += room.capacity.accelerators;
  const double reserve =
      std::min(urgent_peak_ - urgent_demand_,
               kLargestReserve * static_cast<double>(capacity));
  return static_cast<std::uint64_t>(std::max(reserve, 0.0));
}

bool Dispatcher::IsBusy(const std::vector<WorkerRoom>& rooms) {
  std::uint64_t free = 0;
  std::uint64_t capacity = 0;
  for (const WorkerRoom& room : rooms) {
    free += room.free.accelerators;
    capacity += room.capacity.accelerators;
  }
  return static_cast<double>(capacity - free) >
         kBusyShare * static_cast<double>(capacity);
}

// Holds a rack for a gang that has no place, so that shorter or less urgent
// tasks do not keep it busy for ever; what ends before may still use it.
void Dispatcher::Reserve(const ReadyStep& ready,
                         std::vector<WorkerRoom>& rooms,
                         const Now& now) const {
  const auto reservation =
      ReserveRack(rooms, Occupants(rooms, now), RequestOf(ready));
  if (!reservation)
    return;
  for (const std::size_t room : reservation->rooms)
    rooms[room].usable_ms = reservation->wait_ms;
}

bool Dispatcher::PlaceStep(const ReadyStep& ready,
                           std::vector<WorkerRoom>& rooms,
                           std::vector<Placement>& placements,
                           const Now& now) {
  const PlanRequest request = RequestOf(ready);
  const std::vector<std::uint32_t> used = UsedRooms(rooms, ready.step);
  const RackRule rule = RuleFor(ready, rooms, now);
  if (ready.spec->gang) {
    const std::optional<Plan> plan = PlanAll(rooms, used, request, rule);
    if (!plan)
      return false;
    Commit(ready, *plan, rooms, placements, now);
    return true;
  }
  const Plan plan = PlanSome(rooms, used, request, rule);
  Commit(ready, plan, rooms, placements, now);
  return plan.rooms.size() == ready.waiting.size();
}

void Dispatcher::Commit(const ReadyStep& ready,
                        const Plan& plan,
                        std::vector<WorkerRoom>& rooms,
                        std::vector<Placement>& placements,
                        const Now& now) {
  const std::vector<TaskProgress>* tasks =
      ready.job->FindProgress(ready.step.occurrence, ready.step.step);
  std::uint32_t highest = 0;
  if (tasks != nullptr) {
    for (const TaskProgress& task : *tasks)
      highest = std::max(highest, task.attempt);
  }
  for (std::size_t i = 0; i < plan.rooms.size(); ++i) {
    WorkerRoom& room = rooms[plan.rooms[i]];
    const std::uint32_t index = ready.waiting[i];
    const std::uint32_t last = ready.spec->gang || tasks == nullptr
                                   ? highest
                                   : (*tasks)[index].attempt;
    const Placement placement{.task = {.job = ready.step.job,
                                       .occurrence = ready.step.occurrence,
                                       .step = ready.step.step,
                                       .index = index},
                              .attempt = last + 1,
                              .worker = room.life};
    AddRun(placement, now);
    Run& run = runs_.at({placement.task, placement.attempt});
    run.remote = plan.remote;
    room.free -= run.resources;
    placements.push_back(placement);
  }
}

// Accelerators that the open jobs of priority 0 of each customer need.
std::map<base::CustomerId, std::uint64_t> Dispatcher::GuaranteedUse() const {
  std::map<base::CustomerId, std::uint64_t> use;
  for (const base::JobId& id : store_.open_jobs()) {
    const JobRecord& job = *store_.FindJob(id);
    if (job.policy.priority != 0)
      continue;
    std::uint64_t most = 0;
    for (const StepSpec& step : job.spec.steps)
      most += step.count * step.task.accelerators;
    use[job.customer] += most;
  }
  return use;
}

// Frees room for a job that is within its customer's guarantee by stopping
// borrowed work. Whole gangs are stopped; those that lose least go first.
bool Dispatcher::Preempt(const ReadyStep& ready,
                         std::vector<WorkerRoom>& rooms,
                         const Now& now) {
  const Customer* customer =
      store_.configuration().FindCustomer(ready.job->customer);
  const auto use = GuaranteedUse();
  if (customer == nullptr || ready.step.step != 0 ||
      use.at(ready.job->customer) > customer->guaranteed_accelerators) {
    return false;
  }
  struct Victim {
    StepRef step;
    double lost = 0;
    std::vector<RunKey> runs;
  };
  std::map<StepRef, Victim> gangs;
  std::vector<Victim> victims;
  for (const auto& [key, run] : runs_) {
    if (run.priority == 0 || FindWorker(run.worker) == nullptr)
      continue;
    // Room that is being freed already counts at no cost.
    const bool ending =
        run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding;
    const std::chrono::duration<double> ran =
        run.running_since ? now.instant - *run.running_since
                          : base::Duration(0);
    constexpr double kAcceleratorCores = 8;
    const double cores =
        static_cast<double>(run.resources.cpu) / 1000 +
        kAcceleratorCores * static_cast<double>(run.resources.accelerators);
    const double lost =
        ending ? 0 : cores * (run.checkpointing ? 0.5 : ran.count()) + 1;
    Victim& victim =
        run.gang ? gangs[StepOf(key.task)] : victims.emplace_back();
    victim.step = StepOf(key.task);
    victim.lost += lost;
    victim.runs.push_back(key);
  }
  for (auto& [step, victim] : gangs)
    victims.push_back(std::move(victim));
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.lost, a.step) < std::tie(b.lost, b.step);
            });
  const PlanRequest request = RequestOf(ready);
  const std::vector<std::uint32_t> used = UsedRooms(rooms, ready.step);
  std::vector<WorkerRoom> freed = rooms;
  std::map<WorkerLife, std::size_t> position;
  for (std::size_t i = 0; i < rooms.size(); ++i)
    position[rooms[i].life] = i;
  const RackRule rule = RuleFor(ready, rooms, now);
  std::optional<Plan> plan;
  std::size_t taken = 0;
  while (!plan && taken < victims.size()) {
    for (const RunKey& key : victims[taken].runs) {
      const Run& run = runs_.at(key);
      const auto place = position.find(run.worker);
      if (place != position.end())
        freed[place->second].free += run.resources;
    }
    ++taken;
    plan = PlanAll(freed, used, request, rule);
  }
  if (!plan)
    return false;
  std::set<WorkerLife> needed;
  for (const std::size_t room : plan->rooms)
    needed.insert(rooms[room].life);
  for (std::size_t i = 0; i < taken; ++i) {
    const bool helps = std::any_of(
        victims[i].runs.begin(), victims[i].runs.end(), [&](const RunKey& key) {
          return needed.contains(runs_.at(key).worker);
        });
    if (!helps)
      continue;
    for (const RunKey& key : victims[i].runs) {
      Run& run = runs_.at(key);
      if (run.phase == RunPhase::kStarting || run.phase == RunPhase::kRunning)
        RequestStop(key, run, "preempted_for " + ready.step.job.value(), now);
    }
  }
  // What is freed must not go to others before the stops have taken effect.
  for (const std::size_t room : plan->rooms)
    rooms[room].free -=
        Resources{.cpu = ready.spec->task.cpu,
                  .memory_mb = ready.spec->task.memory_mb,
                  .accelerators = ready.spec->task.accelerators};
  return true;
}

// Accelerator milliseconds that open jobs of this priority or a more urgent one
// still need.
double Dispatcher::WorkAhead(std::uint32_t priority, const Now& now) const {
  double ahead = 0;
  for (const auto& [key, run] : runs_) {
    if (run.priority <= priority) {
      ahead += static_cast<double>(run.resources.accelerators) *
               RemainingMs(key, run, now);
    }
  }
  for (const base::JobId& id : store_.open_jobs()) {
    const JobRecord& job = *store_.FindJob(id);
    if (job.policy.priority > priority || job.spec.repeat_count > 0)
      continue;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      const StepSpec& spec = job.spec.steps[step];
      const std::vector<TaskProgress>* tasks = job.FindProgress(0, step);
      const auto waiting =
          tasks == nullptr
              ? spec.count
              : std::count_if(tasks->begin(), tasks->end(),
                              [](const TaskProgress& task) {
                                return task.phase == TaskPhase::kWaiting;
                              });
      ahead += static_cast<double>(waiting) *
               static_cast<double>(spec.task.accelerators) * WorkOf(job, step);
    }
  }
  return ahead;
}

// Load pattern: more work than the fleet can do before it is worth nothing. A
// caller that is told at once can turn elsewhere; one that waits cannot.
std::optional<base::Duration> Dispatcher::RefusalOf(const QueuePolicy& policy,
                                                    const std::string& queue,
                                                    const JobRecord& job,
                                                    const Now& now) const {
  const std::vector<WorkerRoom> rooms = Rooms(now);
  std::uint64_t capacity = 0;
  for (const WorkerRoom& room : rooms)
    capacity += room.capacity.accelerators;
  if (capacity == 0 || !IsBusy(rooms) || job.spec.repeat_count > 0 ||
      policy.priority == 0) {
    return std::nullopt;
  }
  const double chain = ChainOf(queue, job.spec);
  const double end_ms =
      chain + WorkAhead(policy.priority, now) /
                  (kUsableShare * static_cast<double>(capacity));
  const double worthless_ms =
      kWorthlessAfter * (policy.stretch * chain + policy.completion_target_ms);
  if (end_ms <= worthless_ms)
    return std::nullopt;
  // Callers that were refused together come back apart.
  const double spread =
      1 +
      kReturnSpread *
          static_cast<double>(std::hash<std::string>()(job.id.value()) % 1000) /
          1000;
  const auto excess = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(end_ms - worthless_ms));
  return std::chrono::duration_cast<base::Duration>(
      std::clamp(excess, kSoonestReturn, kLatestReturn) * spread);
}

}  // namespace wigeonstair::jobs
