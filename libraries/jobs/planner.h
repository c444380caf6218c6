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

// What a worker can take, as one round of decisions sees it.
struct CandidateWorker {
  WorkerIncarnation incarnation;
  std::string pool;
  base::RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  Resources free;
  // Promised to urgent gangs whose victims are being stopped.
  Resources claimed;
  // Lower is better; workers that fail or are slow come last.
  int penalty = 0;
  // Kept for urgent work that is expected.
  bool urgent_only = false;
  // A gang that waits gets the room after this time.
  double usable_ms = std::numeric_limits<double>::infinity();

  // What may be given to others; counts from what the victims free as well.
  Resources Usable() const {
    Resources usable = free;
    usable -= claimed;
    return usable;
  }

  bool operator==(const CandidateWorker&) const = default;
};

// Tasks of one step that need a place.
struct PlanRequest {
  const StepSpec* step = nullptr;
  std::string pool;
  std::uint32_t count = 0;
  // Expected time of each task.
  double work_ms = 0;
  bool urgent = false;
};

// Where the tasks go.
struct Plan {
  // Positions of rooms, one for each task.
  std::vector<std::size_t> workers;
  // Whether the tasks take `remote_factor` times as long there.
  bool remote = false;

  bool operator==(const Plan&) const = default;
};

// Whether a gang or a task that runs faster in one rack may also run elsewhere.
enum class RackRule { kOneRack, kAnyRack };

// Finds places for all tasks of the request, or for none. Pure. `used` counts
// the tasks of the step that each room holds already. Load pattern: bursts of
// gangs of 1, 2, 4 and 8 accelerators a task, which fragment workers of eight;
// rooms that fit most tightly are taken first so that whole workers stay free.
std::optional<Plan> PlanAll(const std::vector<CandidateWorker>& workers,
                            const std::vector<std::uint32_t>& used,
                            const PlanRequest& request,
                            RackRule rule);

// The same for as many tasks as fit.
Plan PlanSome(const std::vector<CandidateWorker>& workers,
              const std::vector<std::uint32_t>& used,
              const PlanRequest& request,
              RackRule rule);

// A run that holds room now.
struct Allocation {
  std::size_t candidate = 0;
  Resources resources;
  // Expected time until it ends.
  double remaining_ms = 0;
};

// Rooms that a gang without a place should wait for, and how long.
struct Reservation {
  std::vector<std::size_t> workers;
  double wait_ms = 0;
};

// Finds the rack that can hold the whole gang soonest, by the expected ends of
// what runs there; empty when no rack ever can.
// Load pattern: many small tasks that fill each gap as it opens and so starve
// gangs of whole workers.
std::optional<Reservation> ReserveRack(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request);

// The same for a gang that may span racks: the rooms that can take its members
// soonest. Load pattern: small tasks starve gangs that no rack can hold.
std::optional<Reservation> ReserveWorkers(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request);

// Marks rooms with `accelerators` free ones in all as kept for urgent work:
// those with the most room, in as few racks as possible. Load pattern: bursts
// of short urgent gangs, for which longer work had to be stopped.
void ReserveForUrgent(std::vector<CandidateWorker>& workers,
                      std::uint64_t accelerators);

// Whether a room may ever hold a task of the step.
bool Accepts(const CandidateWorker& candidate, const PlanRequest& request);

// How many tasks of the step fit into `space` of a room that holds `used` ones.
std::uint32_t CountFitting(const Resources& space,
                           const StepSpec& step,
                           std::uint32_t used);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_
