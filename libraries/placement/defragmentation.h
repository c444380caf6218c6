#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_DEFRAGMENTATION_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_DEFRAGMENTATION_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Preempts small borrowed jobs to free enough adjacent workers for a waiting
// gang if enough accelerators are free elsewhere and the moves cost less run
// time than the gang gains by starting before its reservation, or if the gang
// has waited for EngineOptions::gang_preemption_delay. Returns true if the
// preemption was started, so that the gang does not need the reservation.
bool TryDefragment(EngineState& state,
                   Job& beneficiary,
                   const Reservation& reservation);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_DEFRAGMENTATION_H_
