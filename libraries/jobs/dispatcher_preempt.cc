#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

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

// What may be stopped for urgent work, whole gangs together; those that lose
// least come first. Room that is being freed already counts at no cost, unless
// another job of this round counts on it.
std::vector<Dispatcher::Victim> Dispatcher::Victims(const Now& now) const {
  // An accelerator is worth so many cores, as the platform counts work.
  constexpr double kAcceleratorCores = 8;
  // A checkpointing task loses what it did since its last checkpoint, in
  // seconds.
  constexpr double kSinceCheckpoint = 0.5;
  std::map<StepRef, Victim> gangs;
  std::vector<Victim> victims;
  for (const auto& [key, run] : runs_) {
    if (run.priority == 0 || claimed_.contains(key) ||
        FindWorker(run.worker) == nullptr) {
      continue;
    }
    const bool ending =
        run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding;
    const std::chrono::duration<double> ran =
        now.instant - run.running_since.value_or(now.instant);
    const double cores =
        static_cast<double>(run.resources.cpu) / 1000 +
        kAcceleratorCores * static_cast<double>(run.resources.accelerators);
    const double lost =
        cores * (run.checkpointing ? kSinceCheckpoint : ran.count()) + 1;
    Victim& victim =
        run.gang ? gangs[StepOf(key.task)] : victims.emplace_back();
    victim.step = StepOf(key.task);
    victim.lost += ending ? 0 : lost;
    victim.runs.push_back(key);
  }
  for (auto& [step, victim] : gangs)
    victims.push_back(std::move(victim));
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.lost, a.step) < std::tie(b.lost, b.step);
            });
  return victims;
}

bool Dispatcher::IsGuaranteed(const ReadyStep& ready) const {
  const Customer* customer =
      store_.configuration().FindCustomer(ready.job->customer);
  return customer != nullptr && ready.step.step == 0 &&
         GuaranteedUse().at(ready.job->customer) <=
             customer->guaranteed_accelerators;
}

// Frees room for a job that is within its customer's guarantee by stopping
// borrowed work.
bool Dispatcher::Preempt(const ReadyStep& ready,
                         std::vector<WorkerRoom>& rooms,
                         const Now& now) {
  if (!IsGuaranteed(ready))
    return false;
  const std::vector<Victim> victims = Victims(now);
  const PlanRequest request = RequestOf(ready);
  const std::vector<std::uint32_t> used = UsedRooms(rooms, ready.step);
  const RackRule rule = RuleFor(ready, rooms, now);
  std::vector<WorkerRoom> freed = rooms;
  std::map<WorkerLife, std::size_t> position;
  for (std::size_t i = 0; i < rooms.size(); ++i)
    position[rooms[i].life] = i;
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
  for (std::size_t i = 0; i < taken; ++i)
    StopVictim(victims[i], needed, ready.step.job, now);
  // What is freed must not go to others before the stops have taken effect.
  for (const std::size_t room : plan->rooms)
    rooms[room].free -= ready.spec->task;
  return true;
}

// Stops a victim that holds room on one of the workers.
void Dispatcher::StopVictim(const Victim& victim,
                            const std::set<WorkerLife>& workers,
                            const base::JobId& job,
                            const Now& now) {
  const bool helps = std::any_of(
      victim.runs.begin(), victim.runs.end(), [&](const RunKey& key) {
        return workers.contains(runs_.at(key).worker);
      });
  if (!helps)
    return;
  for (const RunKey& key : victim.runs) {
    claimed_.insert(key);
    Run& run = runs_.at(key);
    if (run.phase == RunPhase::kStarting || run.phase == RunPhase::kRunning)
      RequestStop(key, run, "preempted_for " + job.value(), now);
  }
}

}  // namespace wigeonstair::jobs
