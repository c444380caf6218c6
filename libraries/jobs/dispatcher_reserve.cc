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
// Maximum share of all accelerators that is reserved for urgent jobs.
constexpr double kMaximumReserveShare = 0.25;
// Reservations for urgent jobs and waiting gangs are made only while more than
// this share of the accelerators is in use. Below it, no task that could run
// has to wait.
constexpr double kBusyShare = 0.5;

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
  urgent_demand_ = static_cast<double>(urgent_in_use_);
  for (const ReadyStep* entry : ready) {
    if (entry->job->policy.priority == 0) {
      urgent_demand_ +=
          static_cast<double>(entry->allowed * entry->spec->task.accelerators);
    }
  }
  const std::chrono::duration<double, std::milli> passed =
      now.instant - urgent_peak_at_;
  urgent_peak_ =
      std::max(urgent_demand_,
               urgent_peak_ * std::exp2(-passed.count() / kReserveHalfLifeMs));
  urgent_peak_at_ = now.instant;
}

std::uint64_t Dispatcher::UrgentReserve(const Round& round) const {
  if (!IsBusy(round.capacity, round.free))
    return 0;
  const double reserve =
      std::min(urgent_peak_ - urgent_demand_,
               kMaximumReserveShare * static_cast<double>(round.capacity));
  return static_cast<std::uint64_t>(std::max(reserve, 0.0));
}

bool Dispatcher::IsBusy(std::uint64_t capacity, std::uint64_t free) {
  return static_cast<double>(capacity - free) >
         kBusyShare * static_cast<double>(capacity);
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
