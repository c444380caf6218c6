#include "placement/migration_cost.h"

#include <algorithm>

namespace wigeonstair::placement {

namespace {

// Each observation moves the exponential moving average by 1/kSmoothingWindow
// of the difference.
constexpr int kSmoothingWindow = 16;
// Covers the wait for a scheduling decision between stop and start, which the
// observations do not include.
constexpr base::Duration kMinimumCost = std::chrono::seconds(3);

base::Duration UpdateAverage(base::Duration average, base::Duration observed) {
  return average + (observed - average) / kSmoothingWindow;
}

}  // namespace

void MigrationCost::ObserveStop(base::Duration duration) {
  stop_ = UpdateAverage(stop_, duration);
}

void MigrationCost::ObserveStart(base::Duration duration) {
  start_ = UpdateAverage(start_, duration);
}

base::Duration MigrationCost::value() const {
  return std::max(kMinimumCost, stop_ + start_);
}

}  // namespace wigeonstair::placement
