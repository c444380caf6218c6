#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_CONFIGURATION_CHANGE_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_CONFIGURATION_CHANGE_H_

#include <vector>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Applies a new configuration of customers, racks and guarantees. Running gangs
// keep running; those whose cells are no longer guaranteed become borrowed.
void ApplyConfiguration(
    EngineState& state,
    const cluster::DomainConfiguration& domain,
    const std::vector<cluster::CustomerConfiguration>& customers);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_CONFIGURATION_CHANGE_H_
