#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Half-life of the peak of urgent demand after a burst.
constexpr double kReserveHalfLifeMs = 6000;
// Maximum share of any resource that is reserved for urgent jobs.
constexpr double kMaximumReserveShare = 0.25;

}  // namespace

std::vector<Allocation> Dispatcher::Allocations(const Now& now) {
  std::vector<Allocation> allocations;
  allocations.reserve(runs_.size());
  const RunKey* last = nullptr;
  const JobRecord* job = nullptr;
  for (auto& [key, run] : runs_) {
    const Worker* worker = WorkerOf(run);
    if (worker == nullptr || !worker->candidate)
      continue;
    // The runs of a job are neighbours.
    if (last == nullptr || last->task.job != key.task.job)
      job = store_.FindJob(key.task.job);
    last = &key;
    allocations.push_back({.candidate = *worker->candidate,
                           .resources = run.resources,
                           .remaining_ms = RemainingMs(job, key, run, now)});
  }
  return allocations;
}

// The peak follows an increase in urgent demand immediately and decays
// exponentially.
void Dispatcher::UpdateUrgentDemand(const std::vector<ReadyStep*>& ready,
                                    const Now& now) {
  urgent_demand_ = AmountsOf(urgent_in_use_);
  for (const ReadyStep* entry : ready) {
    if (entry->job->policy.priority == 0) {
      urgent_demand_ =
          urgent_demand_ + static_cast<double>(entry->allowed) *
                               AmountsOf(ReservedResources(*entry->spec));
    }
  }
  const std::chrono::duration<double, std::milli> passed =
      now.instant - urgent_peak_at_;
  urgent_peak_ =
      Larger(urgent_demand_,
             std::exp2(-passed.count() / kReserveHalfLifeMs) * urgent_peak_);
  urgent_peak_at_ = now.instant;
}

Resources Dispatcher::UrgentReserve(const Round& round) const {
  if (!IsBusy(round.capacity, round.free))
    return {};
  const ResourceAmounts expected =
      Larger(urgent_peak_ - urgent_demand_, ResourceAmounts{});
  const double share = DominantShare(expected, AmountsOf(round.capacity));
  if (share == 0)
    return {};
  return WholeResources(std::min(1.0, kMaximumReserveShare / share) * expected);
}

// Reserves workers for a gang that does not fit, so that shorter or less urgent
// tasks do not occupy them indefinitely. Tasks that end before the reservation
// starts may still run there.
void Dispatcher::Reserve(const ReadyStep& ready,
                         const std::vector<Allocation>& allocations,
                         std::vector<CandidateWorker>& workers) const {
  const PlanRequest request = RequestOf(ready);
  std::optional<Reservation> reservation;
  if (ready.spec->rack_local)
    reservation = ReserveRack(workers, allocations, request);
  if (!reservation)
    reservation = ReserveWorkers(workers, allocations, request);
  if (!reservation)
    return;
  for (const std::size_t candidate : reservation->workers)
    workers[candidate].usable_ms = reservation->wait_ms;
}

}  // namespace wigeonstair::jobs
