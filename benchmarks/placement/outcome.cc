#include "benchmarks/placement/outcome.h"

#include <algorithm>
#include <cmath>

namespace wigeonstair::placement {

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const double position = quantile * static_cast<double>(values.size());
  const auto index =
      static_cast<std::size_t>(std::max(0.0, std::ceil(position) - 1));
  return values[std::min(index, values.size() - 1)];
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values)
    sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

std::vector<double> Collect(
    const std::vector<WorkloadJob>& jobs,
    const Outcome& outcome,
    JobSize size,
    const std::function<double(const WorkloadJob&, const JobOutcome&)>& value) {
  std::vector<double> values;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].size == size && outcome.jobs[i].end >= 0)
      values.push_back(value(jobs[i], outcome.jobs[i]));
  }
  return values;
}

std::vector<double> Completions(const std::vector<WorkloadJob>& jobs,
                                const Outcome& outcome) {
  std::vector<double> values;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (outcome.jobs[i].end >= 0)
      values.push_back(outcome.jobs[i].end - jobs[i].submit_seconds);
  }
  return values;
}

double ClairvoyantMean(const std::vector<WorkloadJob>& jobs, int accelerators) {
  std::vector<const WorkloadJob*> burst;
  double total = 0;
  int count = 0;
  const auto close_burst = [&] {
    std::sort(burst.begin(), burst.end(),
              [](const WorkloadJob* left, const WorkloadJob* right) {
                return left->run_seconds * left->accelerators() <
                       right->run_seconds * right->accelerators();
              });
    double work = 0;
    for (const WorkloadJob* job : burst) {
      work += job->run_seconds * job->accelerators();
      // The burst is submitted over two seconds.
      total += std::max(job->run_seconds, work / accelerators - 2);
      ++count;
    }
    burst.clear();
  };
  for (const WorkloadJob& job : jobs) {
    if (job.size != JobSize::kSmall)
      continue;
    if (!burst.empty() &&
        job.submit_seconds > burst.front()->submit_seconds + 2)
      close_burst();
    burst.push_back(&job);
  }
  close_burst();
  return count == 0 ? 0 : total / count;
}

}  // namespace wigeonstair::placement
