#include "jobs/planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace wigeonstair::jobs {

namespace {

Resources Counted(const StepSpec& step) {
  Resources task = step.task;
  // Filling tasks take what others leave, so their processors are not reserved.
  if (step.fills)
    task.cpu = 0;
  return task;
}

// Rooms that can take tasks now, the tightest fit first.
std::vector<std::size_t> Candidates(const std::vector<WorkerRoom>& rooms,
                                    const std::vector<std::uint32_t>& used,
                                    const PlanRequest& request) {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    const bool open = (request.urgent || !rooms[i].urgent_only) &&
                      request.work_ms <= rooms[i].usable_ms;
    if (open && Accepts(rooms[i], request) &&
        Fitting(rooms[i].Usable(), *request.step, used[i]) > 0) {
      found.push_back(i);
    }
  }
  const bool needs_accelerator = request.step->task.accelerators > 0;
  const auto key = [&](std::size_t i) {
    const Resources free = rooms[i].Usable();
    // Tasks without accelerators keep away from workers that have many free.
    return std::tuple(rooms[i].penalty, free.accelerators,
                      needs_accelerator ? free.cpu : 0, free.memory_mb, i);
  };
  std::sort(found.begin(), found.end(),
            [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
  return found;
}

// Takes the tightest rooms first, up to the requested count.
std::vector<std::size_t> Fill(const std::vector<WorkerRoom>& rooms,
                              const std::vector<std::uint32_t>& used,
                              const PlanRequest& request,
                              const std::vector<std::size_t>& candidates) {
  std::vector<std::size_t> taken;
  for (const std::size_t i : candidates) {
    const std::uint32_t fits =
        Fitting(rooms[i].Usable(), *request.step, used[i]);
    for (std::uint32_t n = 0; n < fits && taken.size() < request.count; ++n)
      taken.push_back(i);
    if (taken.size() == request.count)
      break;
  }
  return taken;
}

struct RackRoom {
  std::vector<std::size_t> rooms;
  std::uint64_t fits = 0;
  std::uint64_t free_accelerators = 0;
  int worst_penalty = 0;
};

std::map<base::RackId, RackRoom> ByRack(
    const std::vector<WorkerRoom>& rooms,
    const std::vector<std::uint32_t>& used,
    const PlanRequest& request,
    const std::vector<std::size_t>& candidates) {
  std::map<base::RackId, RackRoom> racks;
  for (const std::size_t i : candidates) {
    RackRoom& rack = racks[rooms[i].rack];
    rack.rooms.push_back(i);
    rack.fits += Fitting(rooms[i].Usable(), *request.step, used[i]);
    rack.free_accelerators += rooms[i].Usable().accelerators;
    rack.worst_penalty = std::max(rack.worst_penalty, rooms[i].penalty);
  }
  return racks;
}

// The rack that holds the whole request and keeps the least room besides it.
const RackRoom* TightestRack(const std::map<base::RackId, RackRoom>& racks,
                             std::uint32_t count) {
  const RackRoom* best = nullptr;
  const auto key = [](const RackRoom& rack) {
    return std::pair(rack.worst_penalty, rack.free_accelerators);
  };
  for (const auto& [id, rack] : racks) {
    if (rack.fits >= count && (best == nullptr || key(rack) < key(*best)))
      best = &rack;
  }
  return best;
}

// Candidates rack by rack, those with the most room first, so that a gang that
// must span racks spans few.
std::vector<std::size_t> FewRacks(
    const std::map<base::RackId, RackRoom>& racks) {
  std::vector<const RackRoom*> order;
  order.reserve(racks.size());
  for (const auto& [id, rack] : racks)
    order.push_back(&rack);
  std::stable_sort(order.begin(), order.end(),
                   [](const RackRoom* a, const RackRoom* b) {
                     return std::pair(a->worst_penalty, b->fits) <
                            std::pair(b->worst_penalty, a->fits);
                   });
  std::vector<std::size_t> rooms;
  for (const RackRoom* rack : order)
    rooms.insert(rooms.end(), rack->rooms.begin(), rack->rooms.end());
  return rooms;
}

bool MayReserve(const WorkerRoom& room, const PlanRequest& request) {
  return std::isinf(room.usable_ms) && (request.urgent || !room.urgent_only) &&
         Accepts(room, request);
}

void SortByEnd(std::vector<const Occupant*>& occupants) {
  std::sort(occupants.begin(), occupants.end(),
            [](const Occupant* a, const Occupant* b) {
              return a->remaining_ms < b->remaining_ms;
            });
}

bool PrefersRack(const StepSpec& step) {
  return step.rack_local || !step.data_rack.empty();
}

}  // namespace

std::optional<Reservation> ReserveRack(const std::vector<WorkerRoom>& rooms,
                                       const std::vector<Occupant>& occupants,
                                       const PlanRequest& request) {
  std::map<base::RackId, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    if (MayReserve(rooms[i], request))
      racks[rooms[i].rack].push_back(i);
  }
  std::map<base::RackId, std::vector<const Occupant*>> ends;
  for (const Occupant& occupant : occupants)
    ends[rooms[occupant.room].rack].push_back(&occupant);
  for (auto& [id, order] : ends)
    SortByEnd(order);
  std::optional<Reservation> best;
  for (const auto& [id, members] : racks) {
    std::map<std::size_t, Resources> space;
    std::uint64_t fits = 0;
    for (const std::size_t i : members) {
      space[i] = rooms[i].Usable();
      fits += Fitting(space[i], *request.step, 0);
    }
    double wait_ms = 0;
    for (const Occupant* occupant : ends[id]) {
      if (fits >= request.count)
        break;
      const auto room = space.find(occupant->room);
      if (room == space.end())
        continue;
      fits -= Fitting(room->second, *request.step, 0);
      room->second += occupant->resources;
      fits += Fitting(room->second, *request.step, 0);
      wait_ms = occupant->remaining_ms;
    }
    if (fits >= request.count && (!best || wait_ms < best->wait_ms))
      best = Reservation{.rooms = members, .wait_ms = wait_ms};
  }
  return best;
}

std::optional<Reservation> ReserveRooms(const std::vector<WorkerRoom>& rooms,
                                        const std::vector<Occupant>& occupants,
                                        const PlanRequest& request) {
  std::map<std::size_t, std::vector<const Occupant*>> ends;
  for (const Occupant& occupant : occupants)
    ends[occupant.room].push_back(&occupant);
  // When each place for a member is free, and in which room.
  std::vector<std::pair<double, std::size_t>> places;
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    if (!MayReserve(rooms[i], request))
      continue;
    Resources space = rooms[i].Usable();
    std::uint32_t fits = Fitting(space, *request.step, 0);
    places.insert(places.end(), fits, {0.0, i});
    SortByEnd(ends[i]);
    for (const Occupant* occupant : ends[i]) {
      space += occupant->resources;
      const std::uint32_t more = Fitting(space, *request.step, 0);
      places.insert(places.end(), more - fits, {occupant->remaining_ms, i});
      fits = more;
    }
  }
  if (places.size() < request.count || request.count == 0)
    return std::nullopt;
  const auto last =
      places.begin() + static_cast<std::ptrdiff_t>(request.count) - 1;
  std::nth_element(places.begin(), last, places.end());
  Reservation reservation{.wait_ms = last->first};
  for (auto place = places.begin(); place <= last; ++place)
    reservation.rooms.push_back(place->second);
  std::sort(reservation.rooms.begin(), reservation.rooms.end());
  const auto repeated =
      std::unique(reservation.rooms.begin(), reservation.rooms.end());
  reservation.rooms.erase(repeated, reservation.rooms.end());
  return reservation;
}

void KeepForUrgent(std::vector<WorkerRoom>& rooms, std::uint64_t accelerators) {
  std::map<base::RackId, std::uint64_t> free_in_rack;
  for (const WorkerRoom& room : rooms)
    free_in_rack[room.rack] += room.Usable().accelerators;
  // The rack of each room, as a position in the order of the racks.
  using Key =
      std::tuple<std::uint64_t, std::size_t, std::uint64_t, std::size_t>;
  std::vector<Key> order;
  order.reserve(rooms.size());
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    const auto rack = free_in_rack.find(rooms[i].rack);
    const auto rank =
        static_cast<std::size_t>(std::distance(free_in_rack.begin(), rack));
    order.emplace_back(rack->second, rank, rooms[i].Usable().accelerators, i);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  std::uint64_t kept = 0;
  for (const auto& [in_rack, rank, free, i] : order) {
    if (kept >= accelerators)
      return;
    if (rooms[i].penalty > 0 || free == 0)
      continue;
    rooms[i].urgent_only = true;
    kept += free;
  }
}

bool Accepts(const WorkerRoom& room, const PlanRequest& request) {
  const StepSpec& step = *request.step;
  return room.pool == request.pool && room.capacity.Fits(Counted(step)) &&
         (step.required_label.empty() ||
          std::find(room.labels.begin(), room.labels.end(),
                    step.required_label) != room.labels.end());
}

std::uint32_t Fitting(const Resources& space,
                      const StepSpec& step,
                      std::uint32_t used) {
  const Resources task = Counted(step);
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

std::optional<Plan> PlanAll(const std::vector<WorkerRoom>& rooms,
                            const std::vector<std::uint32_t>& used,
                            const PlanRequest& request,
                            RackRule rule) {
  const std::vector<std::size_t> candidates = Candidates(rooms, used, request);
  const StepSpec& step = *request.step;
  std::map<base::RackId, RackRoom> racks =
      ByRack(rooms, used, request, candidates);
  if (!step.data_rack.empty()) {
    const auto near = racks.find(base::RackId(step.data_rack));
    if (near != racks.end() && near->second.fits >= request.count)
      return Plan{.rooms = Fill(rooms, used, request, near->second.rooms)};
    if (rule == RackRule::kOneRack)
      return std::nullopt;
  }
  if (step.rack_local) {
    if (const RackRoom* rack = TightestRack(racks, request.count)) {
      return Plan{.rooms = Fill(rooms, used, request, rack->rooms),
                  .remote = !step.data_rack.empty()};
    }
    if (rule == RackRule::kOneRack)
      return std::nullopt;
  }
  const bool spans = PrefersRack(step);
  std::vector<std::size_t> taken =
      Fill(rooms, used, request, spans ? FewRacks(racks) : candidates);
  if (taken.size() < request.count)
    return std::nullopt;
  return Plan{.rooms = std::move(taken), .remote = spans};
}

Plan PlanSome(const std::vector<WorkerRoom>& rooms,
              const std::vector<std::uint32_t>& used,
              const PlanRequest& request,
              RackRule rule) {
  const std::vector<std::size_t> candidates = Candidates(rooms, used, request);
  if (request.step->data_rack.empty())
    return Plan{.rooms = Fill(rooms, used, request, candidates)};
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  for (const std::size_t i : candidates) {
    (rooms[i].rack.value() == request.step->data_rack ? near : far)
        .push_back(i);
  }
  if (rule == RackRule::kAnyRack)
    near.insert(near.end(), far.begin(), far.end());
  return Plan{.rooms = Fill(rooms, used, request, near)};
}

}  // namespace wigeonstair::jobs
