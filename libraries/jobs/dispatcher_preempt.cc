#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Time within which the victims of a claim must end: a stopped task keeps
// running for up to 0.9 s, and the stop call and the list that contains its end
// take two round trips.
constexpr base::Duration kClaimTimeout = std::chrono::milliseconds(1400);

// Returns the smallest number from 1 to `count` for which `sufficient` holds,
// or empty when it does not hold for `count`. Binary search: if it holds for a
// number, it must hold for all larger ones.
template <typename Sufficient>
std::optional<std::size_t> SmallestSufficient(std::size_t count,
                                              Sufficient sufficient) {
  if (count == 0 || !sufficient(count))
    return std::nullopt;
  std::size_t low = 1;
  std::size_t high = count;
  while (low < high) {
    const std::size_t middle = low + (high - low) / 2;
    if (sufficient(middle))
      high = middle;
    else
      low = middle + 1;
  }
  return low;
}

// Returns null when the worker is no candidate. `workers` are those of
// CandidateWorkers.
template <typename Workers>
auto FindCandidate(Workers& workers, const WorkerIncarnation& incarnation) {
  const auto found = std::lower_bound(
      workers.begin(), workers.end(), incarnation,
      [](const CandidateWorker& candidate, const WorkerIncarnation& sought) {
        return candidate.incarnation < sought;
      });
  return found == workers.end() || found->incarnation != incarnation ? nullptr
                                                                     : &*found;
}

}  // namespace

// The accelerators that all steps of the open jobs of priority 0 of each
// customer need in total.
std::map<base::CustomerId, std::uint64_t> Dispatcher::GuaranteedUse() const {
  std::map<base::CustomerId, std::uint64_t> use;
  for (const base::JobId& id : store_.open_jobs()) {
    const JobRecord& job = *store_.FindJob(id);
    if (job.policy.priority != 0)
      continue;
    std::uint64_t total = 0;
    for (const StepSpec& step : job.spec.steps)
      total += step.count * step.task.accelerators;
    use[job.customer] += total;
  }
  return use;
}

// Load pattern: lasting work of priority 0 fills the fleet beyond the guarantee
// of its customer, and another customer comes for its own guarantee. Keeps of
// `urgent`, which are sorted by the work that is lost, what the customers use
// beyond their guarantees. Such a customer is served beyond its guarantee as a
// whole, so it takes nothing back in turn.
std::vector<Dispatcher::Victim> Dispatcher::BeyondGuarantee(
    std::vector<Victim> urgent) const {
  std::map<base::CustomerId, std::uint64_t> use;
  const auto accelerators = [&](const Victim& victim) {
    std::uint64_t sum = 0;
    for (const RunKey& key : victim.runs)
      sum += runs_.at(key).resources.accelerators;
    return sum;
  };
  for (const Victim& victim : urgent)
    use[runs_.at(victim.runs.front()).customer] += accelerators(victim);
  std::erase_if(urgent, [&](const Victim& victim) {
    const base::CustomerId& id = runs_.at(victim.runs.front()).customer;
    const Customer* customer = store_.configuration().FindCustomer(id);
    const std::uint64_t guaranteed =
        customer == nullptr ? 0 : customer->guaranteed_accelerators;
    const auto needed = guaranteed_use_.find(id);
    const bool within =
        needed == guaranteed_use_.end() || needed->second <= guaranteed;
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
std::vector<Dispatcher::Victim> Dispatcher::Victims(const Now& now) const {
  // Weight of an accelerator in cores; the platform uses the same.
  constexpr double kAcceleratorCores = 8;
  // Expected time since the last checkpoint of a checkpointing task, in
  // seconds; this work is lost when the task stops.
  constexpr double kUncheckpointedSeconds = 0.5;
  std::map<StepRef, Victim> gangs;
  std::vector<Victim> victims;
  for (const auto& [key, run] : runs_) {
    const bool urgent = run.priority == 0;
    if (FindWorker(run.worker) == nullptr ||
        (urgent && run.resources.accelerators == 0)) {
      continue;
    }
    const bool ending =
        run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding;
    const std::chrono::duration<double> ran =
        now.instant - run.running_since.value_or(now.instant);
    const double cores =
        static_cast<double>(run.resources.cpu) / 1000 +
        kAcceleratorCores * static_cast<double>(run.resources.accelerators);
    const double lost_work =
        cores * (run.checkpointing ? kUncheckpointedSeconds : ran.count()) + 1;
    Victim& victim =
        run.gang ? gangs[StepOf(key.task)] : victims.emplace_back();
    victim.step = StepOf(key.task);
    victim.urgent = urgent;
    victim.lost_work += ending ? 0 : lost_work;
    victim.runs.push_back(key);
  }
  for (auto& [step, victim] : gangs)
    victims.push_back(std::move(victim));
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.urgent, a.lost_work, a.step) <
                     std::tie(b.urgent, b.lost_work, b.step);
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
  return customer != nullptr && ready.step.step == 0 &&
         guaranteed_use_.at(ready.job->customer) <=
             customer->guaranteed_accelerators;
}

// Preempts lower priorities for a step of a job within its customer's
// guarantee, and claims the freed resources until the victims have ended.
// Load pattern: urgent gangs in quick succession on a fleet full of short
// tasks. Choosing victims anew in each round, without a claim, stopped several
// times the work that was needed, and the gangs started too late.
bool Dispatcher::Preempt(const ReadyStep& ready,
                         RackRule rule,
                         std::vector<CandidateWorker>& workers,
                         const Now& now) {
  if (!IsGuaranteed(ready))
    return false;
  const std::vector<Victim> victims = Victims(now);
  const PlanRequest request = RequestOf(ready);
  const std::vector<std::uint32_t> used = TasksPerWorker(workers, ready.step);
  const auto plan_without = [&](std::size_t count) {
    std::vector<CandidateWorker> freed = workers;
    for (std::size_t i = 0; i < count; ++i) {
      for (const RunKey& key : victims[i].runs) {
        const Run& run = runs_.at(key);
        if (CandidateWorker* candidate = FindCandidate(freed, run.worker))
          candidate->free += run.resources;
      }
    }
    return PlanAll(freed, used, request, rule);
  };
  const std::optional<std::size_t> count = SmallestSufficient(
      victims.size(),
      [&](std::size_t tried) { return plan_without(tried).has_value(); });
  if (!count)
    return false;
  const Plan plan = *plan_without(*count);
  StopVictims(
      {victims.begin(), victims.begin() + static_cast<std::ptrdiff_t>(*count)},
      workers, plan, ready, now);
  Claim claim{.task = ready.spec->task,
              .expires_at = now.instant + kClaimTimeout};
  for (const std::size_t candidate : plan.workers) {
    claim.task_workers.push_back(workers[candidate].incarnation);
    workers[candidate].claimed += ready.spec->task;
  }
  claims_.insert_or_assign(ready.step, std::move(claim));
  return true;
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
  const auto need_of = [&](const RunKey& key) {
    return needs.find(runs_.at(key).worker);
  };
  for (const Victim& victim : victims) {
    const bool helps = std::any_of(
        victim.runs.begin(), victim.runs.end(), [&](const RunKey& key) {
          const auto need = need_of(key);
          return need != needs.end() && !need->second.met();
        });
    if (!helps)
      continue;
    for (const RunKey& key : victim.runs) {
      Run& run = runs_.at(key);
      const auto need = need_of(key);
      if (need != needs.end())
        need->second.candidate.free += run.resources;
      if (run.phase == RunPhase::kStarting || run.phase == RunPhase::kRunning) {
        RequestStop(key, run, "preempted_for " + ready.step.job.value(), now);
      }
    }
  }
}

// Drops claims whose step no longer waits, which have a worker that can no
// longer take tasks, or whose victims did not end in time. Marks the resources
// of the others as claimed.
void Dispatcher::ApplyClaims(const std::vector<ReadyStep>& ready,
                             std::vector<CandidateWorker>& workers,
                             const Now& now) {
  if (claims_.empty())
    return;
  std::set<StepRef> waiting;
  for (const ReadyStep& entry : ready) {
    // At its cap, a customer keeps no room from others.
    if (entry.allowed > 0)
      waiting.insert(entry.step);
  }
  std::erase_if(claims_, [&](const auto& entry) {
    const auto& [step, claim] = entry;
    return now.instant > claim.expires_at || !waiting.contains(step) ||
           !std::all_of(claim.task_workers.begin(), claim.task_workers.end(),
                        [&](const WorkerIncarnation& incarnation) {
                          return FindCandidate(workers, incarnation) != nullptr;
                        });
  });
  for (const auto& [step, claim] : claims_) {
    for (const WorkerIncarnation& incarnation : claim.task_workers)
      FindCandidate(workers, incarnation)->claimed += claim.task;
  }
}

// Places a step on the workers that it claimed or on any other. The claim keeps
// only the resources for tasks that are still waiting.
void Dispatcher::PlaceClaimed(ReadyStep& ready,
                              RackRule rule,
                              Round& round,
                              const Now& now) {
  Claim& claim = claims_.at(ready.step);
  for (const WorkerIncarnation& incarnation : claim.task_workers)
    FindCandidate(round.workers, incarnation)->claimed -= claim.task;
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
    FindCandidate(round.workers, incarnation)->claimed += claim.task;
}

}  // namespace wigeonstair::jobs
