#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_DOMAIN_DRAIN_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_DOMAIN_DRAIN_H_

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Takes the domain out of service (all jobs that hold resources are
// checkpointed and stopped, and no job starts) or returns it to service.
void ChangeDomainStatus(EngineState& state, const DomainStatusChanged& change);

// Emits DomainDrained once after the domain was taken out of service, when no
// job holds resources any more.
void ReportDrained(EngineState& state);

DrainPreview PreviewDrainOf(const EngineState& state, DrainMode mode);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_DOMAIN_DRAIN_H_
