#include "jobs/planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <span>
#include <tuple>
#include <utility>

#include "jobs/resource_share.h"

namespace wigeonstair::jobs {

namespace {

// Above the number of tasks of any step.
constexpr std::uint64_t kMaximumTasksPerWorker = std::uint64_t{1} << 20;

// The number of tasks that fit into `space`, up to `most`.
std::uint64_t CountUpTo(std::uint64_t most,
                        const Resources& space,
                        const Resources& task) {
  std::uint64_t fits = most;
  if (task.cpu > 0)
    fits = std::min(fits, space.cpu / task.cpu);
  if (task.memory_mb > 0)
    fits = std::min(fits, space.memory_mb / task.memory_mb);
  if (task.accelerators > 0)
    fits = std::min(fits, space.accelerators / task.accelerators);
  return fits;
}

// Whether the worker may take tasks of the request, if they fit.
bool IsOpen(const CandidateWorker& candidate, const PlanRequest& request) {
  return (request.urgent || !candidate.urgent_only) &&
         request.work_ms <= candidate.usable_ms && Accepts(candidate, request);
}

// Workers that can take tasks of the request now, best fit first.
std::vector<std::size_t> FeasibleWorkers(
    const std::vector<CandidateWorker>& workers,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request) {
  const bool needs_accelerator = request.step->task.accelerators > 0;
  const Resources task = ReservedResources(*request.step);
  // Penalty, free accelerators, cores and memory, and the worker's index.
  using Key =
      std::tuple<int, std::uint64_t, std::uint64_t, std::uint64_t, std::size_t>;
  std::vector<Key> order;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const Resources free = workers[i].Usable();
    if (!free.Fits(task) || CountFitting(free, *request.step, used[i]) == 0 ||
        !IsOpen(workers[i], request))
      continue;
    // Tasks without accelerators avoid workers that have many free ones.
    order.emplace_back(workers[i].penalty, free.accelerators,
                       needs_accelerator ? free.cpu : 0, free.memory_mb, i);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::size_t> found;
  found.reserve(order.size());
  for (const Key& key : order)
    found.push_back(std::get<4>(key));
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

// By the number of the rack.
std::vector<RackCandidates> GroupByRack(
    const std::vector<CandidateWorker>& workers,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request,
    const std::vector<std::size_t>& feasible) {
  std::vector<RackCandidates> racks;
  for (const std::size_t i : feasible) {
    if (workers[i].rack_number >= racks.size())
      racks.resize(workers[i].rack_number + 1);
    RackCandidates& rack = racks[workers[i].rack_number];
    rack.workers.push_back(i);
    rack.fits += CountFitting(workers[i].Usable(), *request.step, used[i]);
    rack.free_accelerators += workers[i].Usable().accelerators;
    rack.worst_penalty = std::max(rack.worst_penalty, workers[i].penalty);
  }
  return racks;
}

// The rack with the fewest free accelerators that fits the whole request.
const RackCandidates* BestFitRack(const std::vector<RackCandidates>& racks,
                                  std::uint32_t count) {
  const RackCandidates* best = nullptr;
  const auto key = [](const RackCandidates& rack) {
    return std::pair(rack.worst_penalty, rack.free_accelerators);
  };
  for (const RackCandidates& rack : racks) {
    if (rack.fits >= count && (best == nullptr || key(rack) < key(*best)))
      best = &rack;
  }
  return best;
}

// Feasible workers grouped by rack, those racks first that fit the most tasks,
// so that a gang that must span racks spans as few as possible.
std::vector<std::size_t> LargestRacksFirst(
    const std::vector<RackCandidates>& racks) {
  std::vector<const RackCandidates*> order;
  order.reserve(racks.size());
  for (const RackCandidates& rack : racks) {
    if (!rack.workers.empty())
      order.push_back(&rack);
  }
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

// Allocations by candidate.
class AllocationsByWorker {
 public:
  AllocationsByWorker(std::size_t workers,
                      const std::vector<Allocation>& allocations)
      : begins_(workers + 1), sorted_(allocations.size()) {
    for (const Allocation& allocation : allocations)
      ++begins_[allocation.candidate + 1];
    for (std::size_t i = 1; i < begins_.size(); ++i)
      begins_[i] += begins_[i - 1];
    std::vector<std::size_t> next(begins_.begin(), begins_.end() - 1);
    for (const Allocation& allocation : allocations)
      sorted_[next[allocation.candidate]++] = &allocation;
  }

  std::span<const Allocation* const> Of(std::size_t worker) const {
    return {sorted_.data() + begins_[worker],
            begins_[worker + 1] - begins_[worker]};
  }

 private:
  // Of each worker, the index of its first allocation in `sorted_`.
  std::vector<std::size_t> begins_;
  std::vector<const Allocation*> sorted_;
};

bool PrefersRack(const StepSpec& step) {
  return step.rack_local || !step.data_rack.empty();
}

}  // namespace

void NumberRacks(std::vector<CandidateWorker>& workers) {
  std::map<base::RackId, std::size_t> numbers;
  for (const CandidateWorker& candidate : workers)
    numbers.emplace(candidate.rack, 0);
  std::size_t next = 0;
  for (auto& [id, number] : numbers)
    number = next++;
  for (CandidateWorker& candidate : workers)
    candidate.rack_number = numbers.at(candidate.rack);
}

std::optional<std::size_t> FindCandidate(
    const std::vector<CandidateWorker>& workers,
    const WorkerIncarnation& incarnation) {
  const auto found = std::lower_bound(
      workers.begin(), workers.end(), incarnation,
      [](const CandidateWorker& candidate, const WorkerIncarnation& sought) {
        return candidate.incarnation < sought;
      });
  if (found == workers.end() || found->incarnation != incarnation)
    return std::nullopt;
  return static_cast<std::size_t>(found - workers.begin());
}

std::optional<Reservation> ReserveRack(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request) {
  std::vector<std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (!MayReserve(workers[i], request))
      continue;
    if (workers[i].rack_number >= racks.size())
      racks.resize(workers[i].rack_number + 1);
    racks[workers[i].rack_number].push_back(i);
  }
  const AllocationsByWorker ends(workers.size(), allocations);
  std::vector<Resources> space(workers.size());
  std::vector<const Allocation*> order;
  std::optional<Reservation> best;
  for (const std::vector<std::size_t>& members : racks) {
    std::uint64_t fits = 0;
    for (const std::size_t i : members) {
      space[i] = workers[i].Usable();
      fits += CountFitting(space[i], *request.step, 0);
    }
    order.clear();
    if (fits < request.count) {
      for (const std::size_t i : members) {
        const auto here = ends.Of(i);
        order.insert(order.end(), here.begin(), here.end());
      }
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
    if (fits >= request.count && !members.empty() &&
        (!best || wait_ms < best->wait_ms))
      best = Reservation{.workers = members, .wait_ms = wait_ms};
  }
  return best;
}

std::optional<Reservation> ReserveWorkers(
    const std::vector<CandidateWorker>& workers,
    const std::vector<Allocation>& allocations,
    const PlanRequest& request) {
  const AllocationsByWorker ends(workers.size(), allocations);
  std::vector<const Allocation*> order;
  // The time at which each slot for a gang member becomes free, and its worker.
  std::vector<std::pair<double, std::size_t>> slots;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (!MayReserve(workers[i], request))
      continue;
    Resources space = workers[i].Usable();
    std::uint32_t fits = CountFitting(space, *request.step, 0);
    slots.insert(slots.end(), fits, {0.0, i});
    const auto here = ends.Of(i);
    order.assign(here.begin(), here.end());
    SortByEnd(order);
    for (const Allocation* allocation : order) {
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

bool IsBusy(const Resources& capacity, const Resources& free) {
  constexpr double kBusyShare = 0.5;
  Resources in_use = capacity;
  in_use -= free;
  return DominantShare(in_use, capacity) > kBusyShare;
}

Resources ReservedResources(const StepSpec& step) {
  Resources task = step.task;
  if (step.fills)
    task.cpu = 0;
  return task;
}

void ReserveForUrgent(std::vector<CandidateWorker>& workers,
                      const Resources& reserve) {
  if (reserve == Resources{})
    return;
  std::vector<std::uint64_t> free_in_rack;
  for (const CandidateWorker& candidate : workers) {
    if (candidate.rack_number >= free_in_rack.size())
      free_in_rack.resize(candidate.rack_number + 1);
    free_in_rack[candidate.rack_number] += candidate.Usable().accelerators;
  }
  // Free accelerators of the rack, the rack's number, free accelerators of the
  // worker, and the worker's index.
  using Key =
      std::tuple<std::uint64_t, std::size_t, std::uint64_t, std::size_t>;
  std::vector<Key> order;
  order.reserve(workers.size());
  for (std::size_t i = 0; i < workers.size(); ++i) {
    order.emplace_back(free_in_rack[workers[i].rack_number],
                       workers[i].rack_number, workers[i].Usable().accelerators,
                       i);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  // Rounding must not take one worker more than the reserve needs.
  constexpr double kWhole = 1 - 1e-9;
  double reserved = 0;
  for (const auto& [in_rack, rank, free, i] : order) {
    if (reserved >= kWhole)
      return;
    const double part = TimesContained(reserve, workers[i].Usable());
    if (workers[i].penalty > 0 || part == 0)
      continue;
    workers[i].urgent_only = true;
    reserved += part;
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

std::uint64_t RackCapacity(const std::vector<CandidateWorker>& workers,
                           const PlanRequest& request) {
  const StepSpec& step = *request.step;
  const Resources task = ReservedResources(step);
  const std::uint64_t most =
      step.max_per_worker == 0 ? kMaximumTasksPerWorker : step.max_per_worker;
  std::vector<std::uint64_t> fits;
  std::uint64_t result = 0;
  for (const CandidateWorker& candidate : workers) {
    const bool counts =
        step.data_rack.empty() || candidate.rack.value() == step.data_rack;
    if (!counts || !Accepts(candidate, request))
      continue;
    if (candidate.rack_number >= fits.size())
      fits.resize(candidate.rack_number + 1);
    std::uint64_t& in_rack = fits[candidate.rack_number];
    in_rack += CountUpTo(most, candidate.capacity, task);
    result = std::max(result, in_rack);
  }
  return result;
}

std::uint32_t CountFitting(const Resources& space,
                           const StepSpec& step,
                           std::uint32_t used) {
  const std::uint64_t most =
      step.max_per_worker == 0
          ? step.count
          : step.max_per_worker - std::min(used, step.max_per_worker);
  return static_cast<std::uint32_t>(
      CountUpTo(most, space, ReservedResources(step)));
}

GangRoom::GangRoom(const std::vector<CandidateWorker>& workers,
                   const std::vector<std::uint32_t>& used,
                   const PlanRequest& request,
                   RackRule rule)
    : workers_(workers),
      request_(request),
      used_(used),
      rule_(rule),
      task_(ReservedResources(*request.step)) {
  const std::string& data_rack = request.step->data_rack;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const CandidateWorker& candidate = workers[i];
    if (candidate.rack_number >= fits_in_rack_.size())
      fits_in_rack_.resize(candidate.rack_number + 1);
    if (!data_rack.empty() && candidate.rack.value() == data_rack)
      data_rack_ = candidate.rack_number;
    // Most workers are full, so this comes before the other checks.
    if (!candidate.free.Fits(task_))
      continue;
    const std::uint32_t fits = CountOn(i, {});
    if (fits == 0 || !IsOpen(candidate, request))
      continue;
    std::uint64_t& in_rack = fits_in_rack_[candidate.rack_number];
    in_rack += fits;
    fits_ += fits;
    most_in_rack_ = std::max(most_in_rack_, in_rack);
  }
}

std::uint32_t GangRoom::CountOn(std::size_t worker,
                                const Resources& more) const {
  Resources usable = workers_[worker].free;
  usable += more;
  usable -= workers_[worker].claimed;
  const StepSpec& step = *request_.step;
  const std::uint64_t most =
      step.max_per_worker == 0
          ? step.count
          : step.max_per_worker - std::min(used_[worker], step.max_per_worker);
  return static_cast<std::uint32_t>(CountUpTo(most, usable, task_));
}

void GangRoom::Free(std::size_t worker, const Resources& resources) {
  const CandidateWorker& candidate = workers_[worker];
  if (!IsOpen(candidate, request_))
    return;
  if (freed_.empty())
    freed_.resize(workers_.size());
  Resources& freed = freed_[worker];
  const std::uint32_t before = CountOn(worker, freed);
  freed += resources;
  const std::uint32_t more = CountOn(worker, freed) - before;
  std::uint64_t& in_rack = fits_in_rack_[candidate.rack_number];
  in_rack += more;
  fits_ += more;
  most_in_rack_ = std::max(most_in_rack_, in_rack);
}

bool GangRoom::IsEnough() const {
  const StepSpec& step = *request_.step;
  if (fits_ < request_.count)
    return false;
  if (!step.data_rack.empty()) {
    if (data_rack_ && fits_in_rack_[*data_rack_] >= request_.count)
      return true;
    if (rule_ == RackRule::kOneRack)
      return false;
  }
  return !step.rack_local || rule_ == RackRule::kAnyRack ||
         most_in_rack_ >= request_.count;
}

std::optional<Plan> PlanAll(const std::vector<CandidateWorker>& workers,
                            const std::vector<std::uint32_t>& used,
                            const PlanRequest& request,
                            RackRule rule) {
  if (!GangRoom(workers, used, request, rule).IsEnough())
    return std::nullopt;
  const std::vector<std::size_t> feasible =
      FeasibleWorkers(workers, used, request);
  const StepSpec& step = *request.step;
  const bool spans = PrefersRack(step);
  if (!spans)
    return Plan{.workers = AssignTasks(workers, used, request, feasible)};
  const std::vector<RackCandidates> racks =
      GroupByRack(workers, used, request, feasible);
  if (!step.data_rack.empty()) {
    const auto near =
        std::find_if(racks.begin(), racks.end(), [&](const auto& rack) {
          return !rack.workers.empty() &&
                 workers[rack.workers.front()].rack.value() == step.data_rack;
        });
    if (near != racks.end() && near->fits >= request.count)
      return Plan{.workers =
                      AssignTasks(workers, used, request, near->workers)};
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
  std::vector<std::size_t> assigned =
      AssignTasks(workers, used, request, LargestRacksFirst(racks));
  if (assigned.size() < request.count)
    return std::nullopt;
  return Plan{.workers = std::move(assigned), .remote = true};
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
