#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_OVERLOAD_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_OVERLOAD_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Records the reported usage of a worker, and throttles its borrowed tasks
// while more cores are used than the worker has.
void ApplyUsage(EngineState& state, const WorkerUsageReported& event);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_OVERLOAD_H_
