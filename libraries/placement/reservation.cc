#include "placement/reservation.h"

#include <algorithm>
#include <numeric>
#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;

// Expected time until a stopping task has released its resources.
constexpr base::Duration kExpectedStopTime = std::chrono::seconds(1);

// From `at` on, `tasks` more tasks of the gang fit on `slot`.
struct CapacityIncrease {
  base::Instant at;
  SlotIndex slot = kNoSlot;
  int tasks = 0;
};

base::Instant ExpectedRelease(const EngineState& state,
                              const TaskReference& task) {
  const Job& job = *task.job;
  if (job.state == JobState::kRunning)
    return job.PredictedEnd(state.now);
  if (job.state == JobState::kPreparing || job.state == JobState::kStarting)
    return state.now + job.Remaining();
  return state.now + kExpectedStopTime;
}

// Appends the times at which more tasks fit on the slot as its running tasks
// end.
void AddCapacityIncreases(const EngineState& state,
                          const Resources& wanted,
                          int limit,
                          SlotIndex index,
                          std::vector<CapacityIncrease>& increases) {
  const Slot& slot = state.hierarchy.slot(index);
  std::vector<std::pair<base::Instant, Resources>> ends;
  ends.reserve(slot.tasks.size());
  for (const TaskReference& task : slot.tasks)
    ends.emplace_back(ExpectedRelease(state, task), task.job->task_resources());
  std::sort(ends.begin(), ends.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  Resources free = slot.capacity - slot.granted - slot.earmarked;
  int fitting = CountFitting(wanted, free, limit);
  if (fitting > 0)
    increases.push_back({.at = state.now, .slot = index, .tasks = fitting});
  for (const auto& [at, resources] : ends) {
    free += resources;
    const int now_fitting = CountFitting(wanted, free, limit);
    if (now_fitting > fitting) {
      increases.push_back(
          {.at = at, .slot = index, .tasks = now_fitting - fitting});
      fitting = now_fitting;
    }
  }
}

// Identifies the group of slots that all tasks of the job must share: the whole
// domain, a rack or a single slot.
int ScopeOf(const EngineState& state, const Job& job, SlotIndex slot) {
  const CellLevel adjacency = job.specification.adjacency;
  if (job.specification.fallback == cluster::AdjacencyFallback::kAnywhere ||
      adjacency == CellLevel::kDomain)
    return 0;
  return adjacency == CellLevel::kRack ? state.hierarchy.slot(slot).rack : slot;
}

// The earliest time at which `wanted` tasks fit, and the number of tasks by
// slot.
std::optional<std::pair<base::Instant, std::map<SlotIndex, int>>>
FindEarliestStart(std::vector<CapacityIncrease>& increases, int wanted) {
  std::sort(increases.begin(), increases.end(),
            [](const CapacityIncrease& left, const CapacityIncrease& right) {
              return std::tie(left.at, left.slot) <
                     std::tie(right.at, right.slot);
            });
  std::map<SlotIndex, int> tasks;
  for (const CapacityIncrease& increase : increases) {
    const int taken = std::min(wanted, increase.tasks);
    tasks[increase.slot] += taken;
    wanted -= taken;
    if (wanted == 0)
      return std::pair(increase.at, std::move(tasks));
  }
  return std::nullopt;
}

Resources FreeAt(const EngineState& state, SlotIndex index, base::Instant at) {
  const Slot& slot = state.hierarchy.slot(index);
  Resources free = slot.capacity - slot.granted - slot.earmarked;
  for (const TaskReference& task : slot.tasks) {
    if (ExpectedRelease(state, task) <= at)
      free += task.job->task_resources();
  }
  return free;
}

// The earliest reservation that uses only the given slots.
std::optional<Reservation> PlanOn(const EngineState& state,
                                  const Job& job,
                                  const std::vector<SlotIndex>& slots) {
  std::map<int, std::vector<CapacityIncrease>> by_scope;
  const Resources wanted = job.task_resources();
  for (const SlotIndex index : slots) {
    const Slot& slot = state.hierarchy.slot(index);
    if (slot.live() && slot.health.state == WorkerHealthState::kHealthy &&
        !job.Avoids(index, state.now))
      AddCapacityIncreases(state, wanted, job.specification.tasks, index,
                           by_scope[ScopeOf(state, job, index)]);
  }
  std::optional<std::pair<base::Instant, std::map<SlotIndex, int>>> best;
  for (auto& [scope, increases] : by_scope) {
    auto found = FindEarliestStart(increases, job.specification.tasks);
    if (found && (!best || found->first < best->first))
      best = std::move(found);
  }
  if (!best)
    return std::nullopt;
  Reservation reservation{.job = job.specification.id,
                          .sequence = job.sequence,
                          .start = best->first,
                          .spare = {}};
  for (const auto& [slot, tasks] : best->second) {
    reservation.spare[slot] =
        FreeAt(state, slot, reservation.start) - wanted * tasks;
  }
  return reservation;
}

}  // namespace

std::optional<Reservation> PlanReservation(const EngineState& state,
                                           const Job& job) {
  std::vector<SlotIndex> slots(state.hierarchy.slots().size());
  std::iota(slots.begin(), slots.end(), 0);
  return PlanOn(state, job, slots);
}

std::optional<Reservation> UpdateOrPlanReservation(
    const EngineState& state,
    const Job& job,
    const std::vector<Reservation>& previous) {
  std::optional<Reservation> planned = PlanReservation(state, job);
  const auto kept = std::find_if(
      previous.begin(), previous.end(),
      [&](const auto& other) { return other.sequence == job.sequence; });
  if (!planned || kept == previous.end())
    return planned;
  std::vector<SlotIndex> slots;
  for (const auto& [slot, spare] : kept->spare)
    slots.push_back(slot);
  std::optional<Reservation> same = PlanOn(state, job, slots);
  // Other slots must at least halve the wait, because predicted ends are
  // inexact.
  const bool far_earlier_elsewhere =
      !same || planned->start - state.now < (same->start - state.now) / 2;
  return far_earlier_elsewhere ? planned : same;
}

Resources AvailableBesideReservations(const EngineState& state,
                                      const Job& job,
                                      SlotIndex slot,
                                      Resources free) {
  for (const Reservation& reservation : state.reservations) {
    if (reservation.sequence == job.sequence)
      continue;
    const auto reserved = reservation.spare.find(slot);
    if (reserved == reservation.spare.end())
      continue;
    const base::Instant end =
        state.now + job.upper_estimate -
        std::chrono::milliseconds(job.checkpoint_milliseconds);
    if (end <= reservation.start + state.options.backfill_tolerance)
      continue;
    free.accelerators =
        std::min(free.accelerators, reserved->second.accelerators);
    free.cores = std::min(free.cores, reserved->second.cores);
    free.memory_megabytes =
        std::min(free.memory_megabytes, reserved->second.memory_megabytes);
  }
  return free;
}

void RecordBackfill(EngineState& state, const Job& job, SlotIndex slot) {
  for (Reservation& reservation : state.reservations) {
    const auto reserved = reservation.spare.find(slot);
    if (reserved != reservation.spare.end() &&
        reservation.sequence != job.sequence &&
        state.now + job.upper_estimate > reservation.start)
      reserved->second -= job.task_resources();
  }
}

}  // namespace wigeonstair::placement
