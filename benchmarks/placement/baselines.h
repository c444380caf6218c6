#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_BASELINES_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_BASELINES_H_

#include <vector>

#include "benchmarks/placement/outcome.h"
#include "benchmarks/placement/workload.h"

namespace wigeonstair::placement {

enum class BaselineKind {
  // Jobs start in the order of submission, each on the first workers with room;
  // a job that does not fit holds up those behind it.
  kFirstInFirstOut,
  // Any waiting job starts on the workers that it leaves with the least room.
  kBestFit,
  // As kBestFit, but a customer uses at most its number of guaranteed
  // accelerators plus an equal part of the others.
  kCountedQuotas,
};

// Runs the workload with a simple scheduler, without delays and faults.
Outcome RunBaseline(BaselineKind kind,
                    const Deployment& deployment,
                    const std::vector<WorkloadJob>& jobs);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_BASELINES_H_
