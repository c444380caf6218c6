#ifndef WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace wigeonstair::jobs {

// What a worker can take, as one round of decisions sees it.
struct WorkerRoom {
  WorkerLife life;
  std::string pool;
  base::RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  Resources free;
  // Lower is better; workers that fail or are slow come last.
  int penalty = 0;

  bool operator==(const WorkerRoom&) const = default;
};

// Tasks of one step that need a place.
struct PlanRequest {
  const StepSpec* step = nullptr;
  std::string pool;
  // Positions into `placed_on` are those of the rooms.
  std::uint32_t count = 0;
};

// Where the tasks go.
struct Plan {
  // Positions of rooms, one for each task.
  std::vector<std::size_t> rooms;
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
std::optional<Plan> PlanAll(const std::vector<WorkerRoom>& rooms,
                            const std::vector<std::uint32_t>& used,
                            const PlanRequest& request,
                            RackRule rule);

// The same for as many tasks as fit.
Plan PlanSome(const std::vector<WorkerRoom>& rooms,
              const std::vector<std::uint32_t>& used,
              const PlanRequest& request,
              RackRule rule);

// Whether a room may ever hold a task of the step.
bool Accepts(const WorkerRoom& room, const PlanRequest& request);

// How many tasks of the step fit into `space` of a room that holds `used` ones.
std::uint32_t Fitting(const Resources& space,
                      const StepSpec& step,
                      std::uint32_t used);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_PLANNER_H_
