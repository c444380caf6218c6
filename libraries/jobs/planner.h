#ifndef WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace wigeonstair::jobs {

// A worker that one placement round considers, with its free resources.
struct CandidateWorker {
  WorkerIncarnation incarnation;
  std::string pool;
  base::RackId rack;
  // The position of the rack among those of all candidates, in the order of
  // their ids.
  std::size_t rack_number = 0;
  std::vector<std::string> labels;
  Resources capacity;
  Resources free;
  // Reserved for urgent steps whose preemption victims are still stopping.
  Resources claimed;
  // Lower is preferred; increases with failures and stalled tasks of the
  // worker.
  int penalty = 0;
  // Reserved for expected urgent jobs.
  bool urgent_only = false;
  // A waiting gang has reserved the worker after this time; shorter tasks may
  // still run there.
  double usable_ms = std::numeric_limits<double>::infinity();

  // The resources that are free and not claimed. Includes what is left over
  // when the victims of a claim free more than the claim needs.
  Resources Usable() const {
    Resources usable = free;
    usable -= claimed;
    return usable;
  }

  bool operator==(const CandidateWorker&) const = default;
};

// Sets `rack_number` of all candidates, which the functions below need.
void NumberRacks(std::vector<CandidateWorker>& workers);

// The index of a worker among the candidates, which are in the order of their
// incarnations; empty when it is none.
std::optional<std::size_t> FindCandidate(
    const std::vector<CandidateWorker>& workers,
    const WorkerIncarnation& incarnation);

// Tasks of one step that wait for a placement.
struct PlanRequest {
  const StepSpec* step = nullptr;
  std::string pool;
  std::uint32_t count = 0;
  // Expected run time of each task.
  double work_ms = 0;
  bool urgent = false;
};

// The assignment of tasks to workers.
struct Plan {
  // Indices into the candidate workers, one for each task.
  std::vector<std::size_t> workers;
  // The tasks take `remote_factor` times as long because they run outside their
  // rack.
  bool remote = false;

  bool operator==(const Plan&) const = default;
};

// Whether tasks that run faster within one rack, or near their data, may also
// be placed elsewhere.
enum class RackRule { kOneRack, kAnyRack };

// Places all tasks of the request or none. Pure function. `used` holds the
// number of tasks of the step that already run on each worker. Best fit:
// workers with the least free resources come first, so that whole workers stay
// free.
// Load pattern: bursts of gangs with 1, 2, 4 and 8 accelerators a task, which
// fragment workers of eight.
std::optional<Plan> PlanAll(const std::vector<CandidateWorker>& workers,
                            const std::vector<std::uint32_t>& used,
                            const PlanRequest& request,
                            RackRule rule);
// Whether PlanAll would place the request, while resources become free.
class GangRoom {
 public:
  // The arguments are those of PlanAll; They outlive it.
  GangRoom(const std::vector<CandidateWorker>& workers,
           const std::vector<std::uint32_t>& used,
           const PlanRequest& request,
           RackRule rule);

  // Resources of a worker become free.
  void Free(std::size_t worker, const Resources& resources);
  bool IsEnough() const;

 private:
  // How many tasks fit on a worker with these additional resources.
  std::uint32_t CountOn(std::size_t worker, const Resources& more) const;

  const std::vector<CandidateWorker>& workers_;
  const PlanRequest& request_;
  const std::vector<std::uint32_t>& used_;
  const RackRule rule_;
  // The resources of one task.
  const Resources task_;
  // What became free on each worker; empty before the first call of Free.
  std::vector<Resources> freed_;
  std::vector<std::uint64_t> fits_in_rack_;
  std::uint64_t fits_ = 0;
  std::uint64_t most_in_rack_ = 0;
  // The number of the rack with the data; empty when no candidate is there.
  std::optional<std::size_t> data_rack_;
};

// Places as many tasks of the request as fit.
Plan PlanSome(const std::vector<CandidateWorker>& workers,
              const std::vector<std::uint32_t>& used,
              const PlanRequest& request,
              RackRule rule);

// Resources held by a run.
struct Allocation {
  std::size_t candidate = 0;
  Resources resources;
  // Expected time until the run ends.
  double remaining_ms = 0;
};

// Workers that a gang without a placement waits for, and the expected wait.
struct Reservation {
  std::vector<std::size_t> workers;
  double wait_ms = 0;
};

// Finds the rack that can hold the whole gang soonest, given the expected ends
// of current runs. Empty when no rack is large enough.
// Load pattern: many small tasks that fill each gap as it opens and so starve
// gangs that need whole workers.
std::optional<Reservation> ReserveRack(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request);

// Like ReserveRack for a gang that may span racks: finds the workers that can
// take its members soonest.
// Load pattern: small tasks starve gangs that no rack can hold.
std::optional<Reservation> ReserveWorkers(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request);

// Whether more than half of the scarcest resource is in use. Below that no task
// that could run has to wait, so nothing is reserved and no job refused.
// Load pattern: tasks that take the processors or the memory of workers which
// have most of their accelerators free.
bool IsBusy(const Resources& capacity, const Resources& free);

// What a task of the step takes of a worker. Tasks with `fills` use leftover
// processor time, so none is reserved for them.
Resources ReservedResources(const StepSpec& step);

// Marks workers as `urgent_only` until their free resources hold `reserve`. A
// worker counts by the resource of the reserve that it runs out of first. Takes
// those with the most free accelerators, in as few racks
// as possible.
// Load pattern: bursts of short urgent gangs, for which longer work had to be
// stopped.
void ReserveForUrgent(std::vector<CandidateWorker>& workers,
                      const Resources& reserve);

// Whether the worker, when idle, could run a task of the request: pool, label
// and capacity match.
bool Accepts(const CandidateWorker& candidate, const PlanRequest& request);

// How many tasks of the step the racks of the candidates hold when idle: the
// most that one rack holds, or what the rack with the data holds if the step
// names one. Not bounded by the number of tasks of the step.
std::uint64_t RackCapacity(const std::vector<CandidateWorker>& workers,
                           const PlanRequest& request);

// How many tasks of the step fit into the free resources `space` of a worker
// that already runs `used` of them.
std::uint32_t CountFitting(const Resources& space,
                           const StepSpec& step,
                           std::uint32_t used);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_
