#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RESERVATION_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RESERVATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/monotonic_clock.h"
#include "placement/cell_hierarchy.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

struct EngineState;
struct Job;

// The time and the slots at which a waiting gang is expected to fit. Other jobs
// may use these slots if they end before that time or fit beside the gang.
struct Reservation {
  base::JobId job = {};
  std::int64_t sequence = 0;
  base::Instant start = {};
  // Resources that remain free beside the gang at `start`, by slot it uses.
  std::map<SlotIndex, Resources> spare = {};
};

// Keeps the slots of the job's reservation in `previous` and updates its start
// time, unless other slots give a far earlier start. Otherwise plans a new
// reservation. A reservation that moved with every change of a prediction would
// never keep other jobs off its slots.
std::optional<Reservation> UpdateOrPlanReservation(
    const EngineState& state,
    const Job& job,
    const std::vector<Reservation>& previous);

// The reservation with the earliest start, by the predicted ends of running
// jobs. Empty when the gang does not fit on the live workers.
std::optional<Reservation> PlanReservation(const EngineState& state,
                                           const Job& job);

// The part of the free resources of a slot that `job` may use, if it started
// now, without delaying the reservations of other jobs.
Resources AvailableBesideReservations(const EngineState& state,
                                      const Job& job,
                                      SlotIndex slot,
                                      Resources free);

// Subtracts a started job from the spare resources of the reservations of other
// jobs that it overlaps.
void RecordBackfill(EngineState& state, const Job& job, SlotIndex slot);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RESERVATION_H_
