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
// may run on these slots if they end before, or beside the gang.
struct Reservation {
  base::JobId job = {};
  std::int64_t sequence = 0;
  base::Instant start = {};
  // What stays free beside the gang at `start`, for each slot it uses.
  std::map<SlotIndex, Resources> spare = {};
};

// The job's reservation among `previous` with a new start time, unless another
// place is better by far; otherwise a new one. A reservation that moved with
// every change of a prediction would never hold anything back.
std::optional<Reservation> UpdateOrPlanReservation(
    const EngineState& state,
    const Job& job,
    const std::vector<Reservation>& previous);

// The earliest reservation by the predicted ends of running jobs. Empty when
// the workers that are alive can not hold the gang.
std::optional<Reservation> PlanReservation(const EngineState& state,
                                           const Job& job);

// What `job`, if it started now, may use of a slot in view of the reservations
// for other jobs.
Resources AvailableBesideReservations(const EngineState& state,
                                      const Job& job,
                                      SlotIndex slot,
                                      Resources free);

// Counts a started job against what stays free beside reserved gangs.
void RecordBackfill(EngineState& state, const Job& job, SlotIndex slot);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RESERVATION_H_
