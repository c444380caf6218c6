#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_OUTCOME_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_OUTCOME_H_

#include <functional>
#include <vector>

#include "benchmarks/placement/workload.h"

namespace wigeonstair::placement {

// What became of one job. Times are in seconds; negative when it did not
// happen.
struct JobOutcome {
  double start = -1;
  double end = -1;
  bool refused = false;
  // The longest time that a task running at submission still ran: one drain.
  double drain_at_submission = 0;
};

struct Outcome {
  std::vector<JobOutcome> jobs = {};  // In the order of the workload.
  // Accelerator-seconds that were free while a gang waited, and those of them
  // on workers where no task of the gang fitted.
  double free_while_waiting = 0;
  double unusable_while_waiting = 0;
};

// The value below which `quantile` (0 to 1) of the values are.
double Quantile(std::vector<double> values, double quantile);
double Mean(const std::vector<double>& values);

// A number for each job of the size that finished.
std::vector<double> Collect(
    const std::vector<WorkloadJob>& jobs,
    const Outcome& outcome,
    JobSize size,
    const std::function<double(const WorkloadJob&, const JobOutcome&)>& value);

// Completion times, from submission to end.
std::vector<double> Completions(const std::vector<WorkloadJob>& jobs,
                                const Outcome& outcome);

// A lower bound of the mean completion time of small jobs for any scheduler
// that knows everything: for each burst, work over capacity with the shortest
// first, and never less than the job's own run.
double ClairvoyantMean(const std::vector<WorkloadJob>& jobs, int accelerators);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_OUTCOME_H_
