#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_GANG_YIELD_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_GANG_YIELD_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Checkpoints and stops borrowed gangs with a long remaining run time when
// several short jobs wait for capacity. The short jobs then start in queue
// order. A gang that was already delayed for longer than
// EngineOptions::maximum_yield_loss is not stopped.
void YieldGangs(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_GANG_YIELD_H_
