#include "jobs/planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace wigeonstair::jobs {

namespace {

Resources ReservedResources(const StepSpec& step) {
  Resources task = step.task;
  // Tasks with `fills` use leftover processor time, so none is reserved for
  // them.
  if (step.fills)
    task.cpu = 0;
  return task;
}

// Workers that can take tasks of the request now, best fit first.
std::vector<std::size_t> FeasibleWorkers(
    const std::vector<CandidateWorker>& workers,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request) {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const bool open = (request.urgent || !workers[i].urgent_only) &&
                      request.work_ms <= workers[i].usable_ms;
    if (open && Accepts(workers[i], request) &&
        CountFitting(workers[i].Usable(), *request.step, used[i]) > 0) {
      found.push_back(i);
    }
  }
  const bool needs_accelerator = request.step->task.accelerators > 0;
  const auto key = [&](std::size_t i) {
    const Resources free = workers[i].Usable();
    // Tasks without accelerators avoid workers that have many free ones.
    return std::tuple(workers[i].penalty, free.accelerators,
                      needs_accelerator ? free.cpu : 0, free.memory_mb, i);
  };
  std::sort(found.begin(), found.end(),
            [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
  return found;
}

// Assigns tasks to the workers in the given order, up to the requested count.
std::vector<std::size_t> AssignTasks(
    const std::vector<CandidateWorker>& workers,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request,
    const std::vector<std::size_t>& feasible) {
  std::vector<std::size_t> assigned;
  for (const std::size_t i : feasible) {
    const std::uint32_t fits =
        CountFitting(workers[i].Usable(), *request.step, used[i]);
    for (std::uint32_t n = 0; n < fits && assigned.size() < request.count; ++n)
      assigned.push_back(i);
    if (assigned.size() == request.count)
      break;
  }
  return assigned;
}

struct RackCandidates {
  std::vector<std::size_t> workers;
  std::uint64_t fits = 0;
  std::uint64_t free_accelerators = 0;
  int worst_penalty = 0;
};

std::map<base::RackId, RackCandidates> GroupByRack(
    const std::vector<CandidateWorker>& workers,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request,
    const std::vector<std::size_t>& feasible) {
  std::map<base::RackId, RackCandidates> racks;
  for (const std::size_t i : feasible) {
    RackCandidates& rack = racks[workers[i].rack];
    rack.workers.push_back(i);
    rack.fits += CountFitting(workers[i].Usable(), *request.step, used[i]);
    rack.free_accelerators += workers[i].Usable().accelerators;
    rack.worst_penalty = std::max(rack.worst_penalty, workers[i].penalty);
  }
  return racks;
}

// The rack with the fewest free accelerators that fits the whole request.
const RackCandidates* BestFitRack(
    const std::map<base::RackId, RackCandidates>& racks,
    std::uint32_t count) {
  const RackCandidates* best = nullptr;
  const auto key = [](const RackCandidates& rack) {
    return std::pair(rack.worst_penalty, rack.free_accelerators);
  };
  for (const auto& [id, rack] : racks) {
    if (rack.fits >= count && (best == nullptr || key(rack) < key(*best)))
      best = &rack;
  }
  return best;
}

// Feasible workers grouped by rack, those racks first that fit the most tasks,
// so that a gang that must span racks spans as few as possible.
std::vector<std::size_t> LargestRacksFirst(
    const std::map<base::RackId, RackCandidates>& racks) {
  std::vector<const RackCandidates*> order;
  order.reserve(racks.size());
  for (const auto& [id, rack] : racks)
    order.push_back(&rack);
  std::stable_sort(order.begin(), order.end(),
                   [](const RackCandidates* a, const RackCandidates* b) {
                     return std::pair(a->worst_penalty, b->fits) <
                            std::pair(b->worst_penalty, a->fits);
                   });
  std::vector<std::size_t> workers;
  for (const RackCandidates* rack : order)
    workers.insert(workers.end(), rack->workers.begin(), rack->workers.end());
  return workers;
}

bool MayReserve(const CandidateWorker& candidate, const PlanRequest& request) {
  return std::isinf(candidate.usable_ms) &&
         (request.urgent || !candidate.urgent_only) &&
         Accepts(candidate, request);
}

void SortByEnd(std::vector<const Allocation*>& allocations) {
  std::sort(allocations.begin(), allocations.end(),
            [](const Allocation* a, const Allocation* b) {
              return a->remaining_ms < b->remaining_ms;
            });
}

std::vector<std::vector<const Allocation*>> GroupByWorker(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations) {
  std::vector<std::vector<const Allocation*>> grouped(workers.size());
  for (const Allocation& allocation : allocations)
    grouped[allocation.candidate].push_back(&allocation);
  return grouped;
}

bool PrefersRack(const StepSpec& step) {
  return step.rack_local || !step.data_rack.empty();
}

}  // namespace

std::optional<Reservation> ReserveRack(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request) {
  std::map<base::RackId, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (MayReserve(workers[i], request))
      racks[workers[i].rack].push_back(i);
  }
  const std::vector<std::vector<const Allocation*>> ends =
      GroupByWorker(workers, allocations);
  std::vector<Resources> space(workers.size());
  std::vector<const Allocation*> order;
  std::optional<Reservation> best;
  for (const auto& [id, members] : racks) {
    std::uint64_t fits = 0;
    for (const std::size_t i : members) {
      space[i] = workers[i].Usable();
      fits += CountFitting(space[i], *request.step, 0);
    }
    order.clear();
    if (fits < request.count) {
      for (const std::size_t i : members)
        order.insert(order.end(), ends[i].begin(), ends[i].end());
      SortByEnd(order);
    }
    double wait_ms = 0;
    for (const Allocation* allocation : order) {
      if (fits >= request.count)
        break;
      Resources& freed = space[allocation->candidate];
      fits -= CountFitting(freed, *request.step, 0);
      freed += allocation->resources;
      fits += CountFitting(freed, *request.step, 0);
      wait_ms = allocation->remaining_ms;
    }
    if (fits >= request.count && (!best || wait_ms < best->wait_ms))
      best = Reservation{.workers = members, .wait_ms = wait_ms};
  }
  return best;
}

std::optional<Reservation> ReserveWorkers(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request) {
  std::vector<std::vector<const Allocation*>> ends =
      GroupByWorker(workers, allocations);
  // The time at which each slot for a gang member becomes free, and its worker.
  std::vector<std::pair<double, std::size_t>> slots;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (!MayReserve(workers[i], request))
      continue;
    Resources space = workers[i].Usable();
    std::uint32_t fits = CountFitting(space, *request.step, 0);
    slots.insert(slots.end(), fits, {0.0, i});
    SortByEnd(ends[i]);
    for (const Allocation* allocation : ends[i]) {
      space += allocation->resources;
      const std::uint32_t more = CountFitting(space, *request.step, 0);
      slots.insert(slots.end(), more - fits, {allocation->remaining_ms, i});
      fits = more;
    }
  }
  if (slots.size() < request.count || request.count == 0)
    return std::nullopt;
  const auto last =
      slots.begin() + static_cast<std::ptrdiff_t>(request.count) - 1;
  std::nth_element(slots.begin(), last, slots.end());
  Reservation reservation{.wait_ms = last->first};
  for (auto slot = slots.begin(); slot <= last; ++slot)
    reservation.workers.push_back(slot->second);
  std::sort(reservation.workers.begin(), reservation.workers.end());
  const auto repeated =
      std::unique(reservation.workers.begin(), reservation.workers.end());
  reservation.workers.erase(repeated, reservation.workers.end());
  return reservation;
}

void ReserveForUrgent(std::vector<CandidateWorker>& workers,
                      std::uint64_t accelerators) {
  if (accelerators == 0)
    return;
  struct Rack {
    std::uint64_t free = 0;
    std::size_t position = 0;
  };
  std::map<base::RackId, Rack> racks;
  for (const CandidateWorker& candidate : workers)
    racks[candidate.rack].free += candidate.Usable().accelerators;
  std::size_t position = 0;
  for (auto& [id, rack] : racks)
    rack.position = position++;
  // Free accelerators of the rack, the rack's position in the map, free
  // accelerators of the worker, and the worker's index.
  using Key =
      std::tuple<std::uint64_t, std::size_t, std::uint64_t, std::size_t>;
  std::vector<Key> order;
  order.reserve(workers.size());
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const Rack& rack = racks.at(workers[i].rack);
    order.emplace_back(rack.free, rack.position,
                       workers[i].Usable().accelerators, i);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  std::uint64_t reserved = 0;
  for (const auto& [in_rack, rank, free, i] : order) {
    if (reserved >= accelerators)
      return;
    if (workers[i].penalty > 0 || free == 0)
      continue;
    workers[i].urgent_only = true;
    reserved += free;
  }
}

bool Accepts(const CandidateWorker& candidate, const PlanRequest& request) {
  const StepSpec& step = *request.step;
  return candidate.pool == request.pool &&
         candidate.capacity.Fits(ReservedResources(step)) &&
         (step.required_label.empty() ||
          std::find(candidate.labels.begin(), candidate.labels.end(),
                    step.required_label) != candidate.labels.end());
}

std::uint32_t CountFitting(const Resources& space,
                           const StepSpec& step,
                           std::uint32_t used) {
  const Resources task = ReservedResources(step);
  std::uint64_t fits =
      step.max_per_worker == 0
          ? step.count
          : step.max_per_worker - std::min(used, step.max_per_worker);
  if (task.cpu > 0)
    fits = std::min(fits, space.cpu / task.cpu);
  if (task.memory_mb > 0)
    fits = std::min(fits, space.memory_mb / task.memory_mb);
  if (task.accelerators > 0)
    fits = std::min(fits, space.accelerators / task.accelerators);
  return static_cast<std::uint32_t>(fits);
}

std::optional<Plan> PlanAll(const std::vector<CandidateWorker>& workers,
                            const std::vector<std::uint32_t>& used,
                            const PlanRequest& request,
                            RackRule rule) {
  const std::vector<std::size_t> feasible =
      FeasibleWorkers(workers, used, request);
  const StepSpec& step = *request.step;
  std::map<base::RackId, RackCandidates> racks =
      GroupByRack(workers, used, request, feasible);
  if (!step.data_rack.empty()) {
    const auto near = racks.find(base::RackId(step.data_rack));
    if (near != racks.end() && near->second.fits >= request.count)
      return Plan{
          .workers = AssignTasks(workers, used, request, near->second.workers)};
    if (rule == RackRule::kOneRack)
      return std::nullopt;
  }
  if (step.rack_local) {
    if (const RackCandidates* rack = BestFitRack(racks, request.count)) {
      return Plan{.workers = AssignTasks(workers, used, request, rack->workers),
                  .remote = !step.data_rack.empty()};
    }
    if (rule == RackRule::kOneRack)
      return std::nullopt;
  }
  const bool spans = PrefersRack(step);
  std::vector<std::size_t> assigned = AssignTasks(
      workers, used, request, spans ? LargestRacksFirst(racks) : feasible);
  if (assigned.size() < request.count)
    return std::nullopt;
  return Plan{.workers = std::move(assigned), .remote = spans};
}

Plan PlanSome(const std::vector<CandidateWorker>& workers,
              const std::vector<std::uint32_t>& used,
              const PlanRequest& request,
              RackRule rule) {
  const std::vector<std::size_t> feasible =
      FeasibleWorkers(workers, used, request);
  if (request.step->data_rack.empty())
    return Plan{.workers = AssignTasks(workers, used, request, feasible)};
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  for (const std::size_t i : feasible) {
    (workers[i].rack.value() == request.step->data_rack ? near : far)
        .push_back(i);
  }
  if (rule == RackRule::kAnyRack)
    near.insert(near.end(), far.begin(), far.end());
  return Plan{.workers = AssignTasks(workers, used, request, near)};
}

}  // namespace wigeonstair::jobs
