#include "jobs/run_times.h"

#include <algorithm>

namespace wigeonstair::jobs {

namespace {

// Weight of the newest run in the moving average; about the last ten runs
// count.
constexpr double kNewestWeight = 0.1;
// With fewer completed tasks the declared run time is used alone.
constexpr std::uint32_t kMinimumSamples = 5;

}  // namespace

void RunTimes::Record(const std::string& queue,
                      double run_ms,
                      double estimate_ms) {
  Mean& mean = means_[queue];
  ++mean.samples;
  const double weight = std::max(kNewestWeight, 1.0 / mean.samples);
  mean.run_ms += weight * (run_ms - mean.run_ms);
  if (estimate_ms > 0)
    mean.ratio += weight * (run_ms / estimate_ms - mean.ratio);
}

// Declared run times are off by about half in either direction, and so is the
// mean of a queue. The average of both has a smaller error.
double RunTimes::ExpectedMs(const std::string& queue,
                            double estimate_ms) const {
  const auto found = means_.find(queue);
  if (found == means_.end() || found->second.samples < kMinimumSamples)
    return estimate_ms;
  const Mean& mean = found->second;
  if (estimate_ms <= 0)
    return mean.run_ms;
  return (mean.run_ms + estimate_ms * mean.ratio) / 2;
}

}  // namespace wigeonstair::jobs
