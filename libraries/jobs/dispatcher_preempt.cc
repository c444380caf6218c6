#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Time within which the victims of a claim must end: a stopped task keeps
// running for up to 0.9 s, and the stop call and the list that contains its end
// take two round trips.
constexpr base::Duration kClaimTimeout = std::chrono::milliseconds(1400);

bool IsSameStep(const TaskRef& a, const TaskRef& b) {
  return a.step == b.step && a.occurrence == b.occurrence && a.job == b.job;
}

}  // namespace

// Load pattern: lasting work of priority 0 fills the fleet beyond the guarantee
// of its customer, and another customer comes for its own guarantee. Keeps of
// `urgent`, which are sorted by the work that is lost, what the customers use
// beyond their guarantees. Such a customer is served beyond its guarantee as a
// whole, so it takes nothing back in turn.
std::vector<Dispatcher::Victim> Dispatcher::BeyondGuarantee(
    std::vector<Victim> urgent) const {
  std::map<base::CustomerId, std::uint64_t> use;
  const auto accelerators = [](const Victim& victim) {
    std::uint64_t sum = 0;
    for (const VictimRun& entry : victim.runs)
      sum += entry.run->resources.accelerators;
    return sum;
  };
  for (const Victim& victim : urgent)
    use[victim.runs.front().run->customer] += accelerators(victim);
  std::erase_if(urgent, [&](const Victim& victim) {
    const base::CustomerId& id = victim.runs.front().run->customer;
    const Customer* customer = store_.configuration().FindCustomer(id);
    const std::uint64_t guaranteed =
        customer == nullptr ? 0 : customer->guaranteed_accelerators;
    const auto needed = open_jobs_.urgent_need().find(id);
    const bool within = needed == open_jobs_.urgent_need().end() ||
                        needed->second <= guaranteed;
    if (within || use[id] <= guaranteed)
      return true;
    use[id] -= accelerators(victim);
    return false;
  });
  return urgent;
}

// Runs that may be preempted for a job within its customer's guarantee: lower
// priorities, then what other customers use beyond their guarantees, each
// sorted by the work that is lost. The members of a gang form one victim. Runs
// that are already ending cost nothing.
std::vector<Dispatcher::Victim> Dispatcher::Victims(const Now& now) {
  // Weight of an accelerator in cores; the platform uses the same.
  constexpr double kAcceleratorCores = 8;
  // Expected time since the last checkpoint of a checkpointing task, in
  // seconds; this work is lost when the task stops.
  constexpr double kUncheckpointedSeconds = 0.5;
  std::vector<Victim> gangs;
  std::vector<Victim> victims;
  for (auto& [key, run] : runs_) {
    const bool urgent = run.priority == 0;
    if (urgent && run.resources.accelerators == 0)
      continue;
    const Worker* worker = WorkerOf(run);
    if (worker == nullptr)
      continue;
    const bool ending =
        run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding;
    const std::chrono::duration<double> ran =
        now.instant - run.running_since.value_or(now.instant);
    const double cores =
        static_cast<double>(run.resources.cpu) / 1000 +
        kAcceleratorCores * static_cast<double>(run.resources.accelerators);
    const double lost_work =
        cores * (run.checkpointing ? kUncheckpointedSeconds : ran.count()) + 1;
    // The members of a gang are neighbours.
    const bool member =
        run.gang && !gangs.empty() && IsSameStep(*gangs.back().task, key.task);
    Victim& victim =
        member ? gangs.back()
               : (run.gang ? gangs : victims)
                     .emplace_back(Victim{.task = &key.task, .urgent = urgent});
    victim.lost_work += ending ? 0 : lost_work;
    victim.runs.push_back(
        {.key = &key, .run = &run, .candidate = worker->candidate});
  }
  victims.insert(victims.end(), std::make_move_iterator(gangs.begin()),
                 std::make_move_iterator(gangs.end()));
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.urgent, a.lost_work, a.task->job,
                              a.task->occurrence, a.task->step) <
                     std::tie(b.urgent, b.lost_work, b.task->job,
                              b.task->occurrence, b.task->step);
            });
  const auto first_urgent =
      std::find_if(victims.begin(), victims.end(),
                   [](const Victim& victim) { return victim.urgent; });
  const std::vector<Victim> beyond =
      BeyondGuarantee({first_urgent, victims.end()});
  victims.erase(first_urgent, victims.end());
  victims.insert(victims.end(), beyond.begin(), beyond.end());
  return victims;
}

bool Dispatcher::IsGuaranteed(const ReadyStep& ready) const {
  const Customer* customer =
      store_.configuration().FindCustomer(ready.job->customer);
  if (customer == nullptr || ready.step.step != 0)
    return false;
  const auto need = open_jobs_.urgent_need().find(ready.job->customer);
  return need == open_jobs_.urgent_need().end() ||
         need->second <= customer->guaranteed_accelerators;
}

std::optional<std::size_t> Dispatcher::CountVictims(
    const Round& round,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request,
    RackRule rule) {
  GangRoom room(round.workers, used, request, rule);
  const std::vector<Victim>& victims = *round.victims;
  for (std::size_t i = 0; i < victims.size(); ++i) {
    for (const VictimRun& victim : victims[i].runs) {
      if (victim.candidate)
        room.Free(*victim.candidate, victim.run->resources);
    }
    if (room.IsEnough())
      return i + 1;
  }
  return std::nullopt;
}

// Preempts lower priorities for a step of a job within its customer's
// guarantee, and claims the freed resources until the victims have ended.
// Load pattern: urgent gangs in quick succession on a fleet full of short
// tasks. Choosing victims anew in each round, without a claim, stopped several
// times the work that was needed, and the gangs started too late.
bool Dispatcher::Preempt(const ReadyStep& ready,
                         RackRule rule,
                         Round& round,
                         const Now& now) {
  if (!IsGuaranteed(ready))
    return false;
  const PlanRequest request = RequestOf(ready);
  const bool limited = ready.spec->max_per_worker > 0;
  const auto hopeless = round.hopeless.find({ready.shape, rule});
  if (!limited && hopeless != round.hopeless.end() &&
      request.count >= hopeless->second.count &&
      request.work_ms >= hopeless->second.work_ms) {
    return false;
  }
  if (!round.victims)
    round.victims = Victims(now);
  std::vector<CandidateWorker>& workers = round.workers;
  const std::vector<std::uint32_t> used = TasksPerWorker(workers, ready);
  const auto count = CountVictims(round, used, request, rule);
  if (!count) {
    round.hopeless[{ready.shape, rule}] = {.count = request.count,
                                           .work_ms = request.work_ms};
    return false;
  }
  const std::vector<Victim> victims(
      round.victims->begin(),
      round.victims->begin() + static_cast<std::ptrdiff_t>(*count));
  const Plan plan = PlanWithout(victims, workers, used, request, rule);
  StopVictims(victims, workers, plan, ready, now);
  round.victims.reset();
  Claim claim{.task = ready.spec->task,
              .expires_at = now.instant + kClaimTimeout};
  for (const std::size_t candidate : plan.workers) {
    claim.task_workers.push_back(workers[candidate].incarnation);
    workers[candidate].claimed += ready.spec->task;
  }
  claims_.insert_or_assign(ready.step, std::move(claim));
  return true;
}

// The plan of a request that fits without the victims.
Plan Dispatcher::PlanWithout(const std::vector<Victim>& victims,
                             const std::vector<CandidateWorker>& workers,
                             const std::vector<std::uint32_t>& used,
                             const PlanRequest& request,
                             RackRule rule) {
  std::vector<CandidateWorker> freed = workers;
  for (const Victim& victim : victims) {
    for (const VictimRun& entry : victim.runs) {
      if (entry.candidate)
        freed[*entry.candidate].free += entry.run->resources;
    }
  }
  return PlanAll(freed, used, request, rule).value_or(Plan{});
}

// Stops victims in order of lost work until the tasks of the plan fit on each
// of its workers.
void Dispatcher::StopVictims(const std::vector<Victim>& victims,
                             const std::vector<CandidateWorker>& workers,
                             const Plan& plan,
                             const ReadyStep& ready,
                             const Now& now) {
  struct Need {
    CandidateWorker candidate;
    Resources demand;
    bool met() const { return candidate.Usable().Fits(demand); }
  };
  std::map<WorkerIncarnation, Need> needs;
  for (const std::size_t i : plan.workers) {
    Need& need =
        needs.try_emplace(workers[i].incarnation, Need{.candidate = workers[i]})
            .first->second;
    need.demand += ready.spec->task;
  }
  const auto need_of = [&](const VictimRun& entry) {
    return needs.find(entry.run->worker);
  };
  for (const Victim& victim : victims) {
    const bool helps = std::any_of(
        victim.runs.begin(), victim.runs.end(), [&](const VictimRun& entry) {
          const auto need = need_of(entry);
          return need != needs.end() && !need->second.met();
        });
    if (!helps)
      continue;
    for (const VictimRun& entry : victim.runs) {
      Run& run = *entry.run;
      const auto need = need_of(entry);
      if (need != needs.end())
        need->second.candidate.free += run.resources;
      if (run.phase == RunPhase::kStarting || run.phase == RunPhase::kRunning) {
        RequestStop(*entry.key, run, "preempted_for " + ready.step.job.value(),
                    now);
      }
    }
  }
}

// Drops claims whose step no longer waits, which have a worker that can no
// longer take tasks, or whose victims did not end in time. Marks the resources
// of the others as claimed.
void Dispatcher::ApplyClaims(const std::vector<ReadyStep*>& ready,
                             std::vector<CandidateWorker>& workers,
                             const Now& now) {
  if (claims_.empty())
    return;
  std::set<StepRef> waiting;
  for (const ReadyStep* entry : ready) {
    // At its cap, a customer keeps no room from others.
    if (entry->allowed > 0)
      waiting.insert(entry->step);
  }
  std::erase_if(claims_, [&](const auto& entry) {
    const auto& [step, claim] = entry;
    return now.instant > claim.expires_at || !waiting.contains(step) ||
           !std::all_of(
               claim.task_workers.begin(), claim.task_workers.end(),
               [&](const WorkerIncarnation& incarnation) {
                 return FindCandidate(workers, incarnation).has_value();
               });
  });
  for (const auto& [step, claim] : claims_) {
    for (const WorkerIncarnation& incarnation : claim.task_workers)
      workers[*FindCandidate(workers, incarnation)].claimed += claim.task;
  }
}

// Places a step on the workers that it claimed or on any other. The claim keeps
// only the resources for tasks that are still waiting.
void Dispatcher::PlaceClaimed(ReadyStep& ready,
                              RackRule rule,
                              Round& round,
                              const Now& now) {
  Claim& claim = claims_.at(ready.step);
  // The step may leave room where it had a claim.
  round.hopeless.clear();
  for (const WorkerIncarnation& incarnation : claim.task_workers)
    round.workers[*FindCandidate(round.workers, incarnation)].claimed -=
        claim.task;
  const std::size_t placed_before = round.placements.size();
  if (PlaceStep(ready, rule, round, now)) {
    claims_.erase(ready.step);
    return;
  }
  for (std::size_t i = placed_before; i < round.placements.size(); ++i) {
    const auto used =
        std::find(claim.task_workers.begin(), claim.task_workers.end(),
                  round.placements[i].worker);
    if (used != claim.task_workers.end())
      claim.task_workers.erase(used);
  }
  for (const WorkerIncarnation& incarnation : claim.task_workers)
    round.workers[*FindCandidate(round.workers, incarnation)].claimed +=
        claim.task;
}

}  // namespace wigeonstair::jobs
