#include "placement/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace wigeonstair::placement {

namespace {

// Used when the job declares no run time.
constexpr double kDefaultRunSeconds = 600;
// Standard deviation of the logarithm of declared times. They are wrong by up
// to a factor of ten; ln(10) = 2.3 is taken as two standard deviations.
constexpr double kDeclaredDeviation = 1.15;
// Lower bound of the standard deviation; run times of one class are taken to
// vary by at least a fifth.
constexpr double kMinimumDeviation = 0.2;
// Once a class has this many runs, the weight of older ones decays, so that
// estimates follow changes.
constexpr double kMaximumCount = 50;
// Limits memory use, because the names of job classes come from callers.
constexpr std::size_t kMaximumHistories = 20'000;

base::Duration FromLogarithm(double logarithm) {
  const double seconds = std::exp(std::clamp(logarithm, -4.0, 16.0));
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

RuntimeEstimate RuntimeEstimator::Estimate(
    const cluster::JobSpecification& job) const {
  const double declared =
      std::log(job.declared_run_milliseconds > 0
                   ? static_cast<double>(job.declared_run_milliseconds) / 1000
                   : kDefaultRunSeconds);
  const auto found = histories_.find({job.customer, job.job_class});
  if (found == histories_.end()) {
    return {.typical = FromLogarithm(declared),
            .upper = FromLogarithm(declared + kDeclaredDeviation)};
  }
  const History& history = found->second;
  const double typical =
      (declared + history.count * history.mean) / (1 + history.count);
  const double deviation = std::max(
      kMinimumDeviation,
      std::sqrt((kDeclaredDeviation * kDeclaredDeviation + history.squares) /
                (1 + history.count)));
  return {.typical = FromLogarithm(typical),
          .upper = FromLogarithm(typical + deviation)};
}

void RuntimeEstimator::Observe(const cluster::JobSpecification& job,
                               base::Duration run) {
  if (histories_.size() >= kMaximumHistories &&
      !histories_.contains({job.customer, job.job_class}))
    return;
  History& history = histories_[{job.customer, job.job_class}];
  const double value =
      std::log(std::max(1e-3, static_cast<double>(run.count()) / 1e6));
  if (history.count >= kMaximumCount) {
    history.squares *= (kMaximumCount - 1) / kMaximumCount;
    history.count = kMaximumCount - 1;
  }
  history.count += 1;
  const double difference = value - history.mean;
  history.mean += difference / history.count;
  history.squares += difference * (value - history.mean);
}

}  // namespace wigeonstair::placement
