#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_ADMISSION_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_ADMISSION_H_

#include <optional>

#include "placement/engine_state.h"

namespace wigeonstair::placement {

// Why the job can never run in this failure domain, also when it is empty and
// all configured workers are alive. Empty when it can.
std::optional<Reason> FindInfeasibility(const EngineState& state,
                                        const Job& job);

// Takes a job in, refuses it, or releases it when the domain is out.
void SubmitJob(EngineState& state, const JobSubmitted& event);

// Refuses waiting jobs that can never run, such as those that a new
// configuration made impossible.
void RefuseInfeasibleWaitingJobs(EngineState& state);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_ADMISSION_H_
