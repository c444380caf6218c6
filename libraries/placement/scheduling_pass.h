#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_SCHEDULING_PASS_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_SCHEDULING_PASS_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

enum class StartAttempt { kStarted, kWaits };

// Starts the job if possible: on free cells of the customer, on borrowed
// resources, or by reclaiming cells from borrowed jobs. Otherwise reports why
// it waits, if the reason has changed.
StartAttempt TryStart(EngineState& state, Job& job);

// Tries to start waiting jobs: first those of customers with guaranteed cells,
// then all in queue order. Then plans reservations for the gangs that do not
// fit, if these are due. During recovery, starts only jobs that cannot already
// be running.
void RunPass(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_SCHEDULING_PASS_H_
