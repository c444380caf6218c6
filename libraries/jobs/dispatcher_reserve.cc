#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// How fast the reserve for urgent work shrinks after a burst.
constexpr double kReserveHalfLifeMs = 6000;
// At most this share of all accelerators is kept free for urgent work.
constexpr double kLargestReserve = 0.25;
// Room is kept for urgent work and for gangs only while more than this share of
// the accelerators is in use: nothing that could run may wait below it.
constexpr double kBusyShare = 0.5;

}  // namespace

std::vector<Occupant> Dispatcher::Occupants(
    const std::vector<WorkerRoom>& rooms,
    const Now& now) const {
  std::map<WorkerLife, std::size_t> position;
  for (std::size_t i = 0; i < rooms.size(); ++i)
    position[rooms[i].life] = i;
  std::vector<Occupant> occupants;
  for (const auto& [key, run] : runs_) {
    const auto room = position.find(run.worker);
    if (room == position.end())
      continue;
    occupants.push_back({.room = room->second,
                         .resources = run.resources,
                         .remaining_ms = RemainingMs(key, run, now)});
  }
  return occupants;
}

// Follows the demand of urgent jobs up at once and down slowly.
void Dispatcher::FollowUrgentDemand(const std::vector<ReadyStep>& ready,
                                    const Now& now) {
  std::uint64_t held = 0;
  for (const auto& [key, run] : runs_) {
    if (run.priority == 0)
      held += run.resources.accelerators;
  }
  urgent_demand_ = static_cast<double>(held);
  for (const ReadyStep& entry : ready) {
    if (entry.job->policy.priority == 0) {
      urgent_demand_ += static_cast<double>(entry.waiting.size() *
                                            entry.spec->task.accelerators);
    }
  }
  const std::chrono::duration<double, std::milli> passed =
      now.instant - urgent_peak_at_;
  urgent_peak_ =
      std::max(urgent_demand_,
               urgent_peak_ * std::exp2(-passed.count() / kReserveHalfLifeMs));
  urgent_peak_at_ = now.instant;
}

std::uint64_t Dispatcher::UrgentReserve(
    const std::vector<WorkerRoom>& rooms) const {
  if (!IsBusy(rooms))
    return 0;
  std::uint64_t capacity = 0;
  for (const WorkerRoom& room : rooms)
    capacity += room.capacity.accelerators;
  const double reserve =
      std::min(urgent_peak_ - urgent_demand_,
               kLargestReserve * static_cast<double>(capacity));
  return static_cast<std::uint64_t>(std::max(reserve, 0.0));
}

bool Dispatcher::IsBusy(const std::vector<WorkerRoom>& rooms) {
  std::uint64_t free = 0;
  std::uint64_t capacity = 0;
  for (const WorkerRoom& room : rooms) {
    free += room.free.accelerators;
    capacity += room.capacity.accelerators;
  }
  return static_cast<double>(capacity - free) >
         kBusyShare * static_cast<double>(capacity);
}

// Holds rooms for a gang that has no place, so that shorter or less urgent
// tasks do not keep it busy for ever; what ends before may still use it.
void Dispatcher::Reserve(const ReadyStep& ready,
                         const std::vector<Occupant>& occupants,
                         std::vector<WorkerRoom>& rooms) const {
  const PlanRequest request = RequestOf(ready);
  std::optional<Reservation> reservation;
  if (ready.spec->rack_local)
    reservation = ReserveRack(rooms, occupants, request);
  if (!reservation)
    reservation = ReserveRooms(rooms, occupants, request);
  if (!reservation)
    return;
  for (const std::size_t room : reservation->rooms)
    rooms[room].usable_ms = reservation->wait_ms;
}

}  // namespace wigeonstair::jobs
