#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_DEFRAGMENTATION_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_DEFRAGMENTATION_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Moves small borrowed jobs out of the way of a waiting gang when enough is
// free in total and the move costs less work than the gang gains by starting
// before its reservation, or when the gang has waited for
// gang_preemption_delay. Returns true when the gang no longer needs it.
bool TryDefragment(EngineState& state,
                   Job& beneficiary,
                   const Reservation& reservation);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_DEFRAGMENTATION_H_
