#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_SCENARIOS_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_SCENARIOS_H_

#include <cstdint>

#include "benchmarks/placement/report.h"
#include "benchmarks/placement/workload.h"

namespace wigeonstair::placement {

inline constexpr std::uint64_t kDefaultSeed = 42;

// Bursts of small jobs and large gangs on one domain, with run times off by a
// factor of ten either way.
void MeasureMixedLoad(const Deployment& deployment,
                      std::uint64_t seed,
                      Report& report);

// Completion times at loads that have no target, for the plots.
void MeasureFurtherLoads(const Deployment& deployment, Report& report);

// Urgent claims of all guarantees while a borrower fills the domain.
void MeasureClaims(const Deployment& deployment, Report& report);

// Workers that fail everything, jobs that always fail, jobs that can never run,
// and a wave of cancellations.
void MeasureFaults(const Deployment& deployment, Report& report);

// A domain leaves for an hour under load and returns: whether jobs that wait
// elsewhere use it again.
void MeasureReturn(const Deployment& deployment, Report& report);

// A domain leaves for half an hour and returns, while all domains have more
// work than they can do.
void MeasureDeparture(const Deployment& deployment, Report& report);

// What is in the queue while the cost of decisions is measured.
enum class Waiting { kNothing, kGang };

// Wall time of decisions in a domain with workers as in section 1.5.
void MeasureCosts(int workers, Waiting waiting, Report& report);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_SCENARIOS_H_
