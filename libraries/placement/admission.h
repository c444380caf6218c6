#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_ADMISSION_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_ADMISSION_H_

#include <optional>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Returns why the job can never run in this failure domain, not even when the
// domain is idle and all configured workers are alive. Returns nothing if it
// can run.
std::optional<Reason> FindInfeasibility(const EngineState& state,
                                        const Job& job);

// Admits a job, refuses it, or releases it if the domain is out of service.
void SubmitJob(EngineState& state, const JobSubmitted& event);

// Refuses waiting jobs that can never run, such as those that no longer fit
// after a configuration change.
void RefuseInfeasibleWaitingJobs(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_ADMISSION_H_
