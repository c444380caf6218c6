#include "jobs/worker_speeds.h"

#include <algorithm>
#include <cmath>

namespace wigeonstair::jobs {

namespace {

constexpr std::size_t kMaximumWorkers = 4096;
// Runs that count in the moving mean.
constexpr double kWindow = 32;
// Number of runs at which half of the measured deviation from 1 is believed.
constexpr double kShrinkage = 6;
// Bound of one run's binary logarithm around the current mean. A task of the
// tail counts little more than any slow one.
constexpr double kLargestStep = 1;
// Bound of the logarithm as a whole.
constexpr double kLargestLog = 3;
// Step of the median of all runs towards the newest.
constexpr double kTypicalStep = 0.01;
constexpr double kLeastPlausibleSlowness = 0.35;

}  // namespace

void WorkerSpeeds::Record(const base::WorkerId& worker, double ratio) {
  Speed& speed = speeds_[worker];
  speed.last_record = ++records_;
  speed.runs = std::min(speed.runs + 1, kWindow);
  const double log_ratio =
      std::log2(std::max(ratio, std::exp2(-2 * kLargestLog)));
  typical_ += log_ratio > typical_ ? kTypicalStep : -kTypicalStep;
  const double step = log_ratio - typical_ - speed.log_ratio;
  // The first runs of a worker may move the mean as far as it goes.
  const double bound = speed.runs < kWindow / 4 ? kLargestLog : kLargestStep;
  speed.log_ratio += std::clamp(step, -bound, bound) / speed.runs;
  speed.log_ratio = std::clamp(speed.log_ratio, -kLargestLog, kLargestLog);
  if (speeds_.size() > kMaximumWorkers) {
    speeds_.erase(std::min_element(
        speeds_.begin(), speeds_.end(), [](const auto& a, const auto& b) {
          return a.second.last_record < b.second.last_record;
        }));
  }
}

double WorkerSpeeds::SlownessOf(const base::WorkerId& worker) const {
  const auto found = speeds_.find(worker);
  if (found == speeds_.end())
    return 1;
  const Speed& speed = found->second;
  return std::exp2(speed.log_ratio * speed.runs / (speed.runs + kShrinkage));
}

bool WorkerSpeeds::IsImplausible(const base::WorkerId& worker) const {
  return SlownessOf(worker) < kLeastPlausibleSlowness;
}

}  // namespace wigeonstair::jobs
