#include "load/latency_summary.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wigeonstair::load {

void LatencySummary::Add(base::Duration latency) {
  constexpr base::Duration kLongest = std::chrono::hours(1);
  const base::Duration bounded =
      std::clamp(latency, base::Duration::zero(), kLongest);
  microseconds_.push_back(static_cast<std::uint32_t>(bounded.count()));
  sorted_ = false;
}

void LatencySummary::Merge(const LatencySummary& other) {
  microseconds_.insert(microseconds_.end(), other.microseconds_.begin(),
                       other.microseconds_.end());
  sorted_ = false;
}

base::Duration LatencySummary::Quantile(double fraction) const {
  if (microseconds_.empty())
    return base::Duration::zero();
  if (!sorted_)
    std::sort(microseconds_.begin(), microseconds_.end());
  sorted_ = true;
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(microseconds_.size())));
  const std::size_t index = rank == 0 ? 0 : rank - 1;
  return base::Duration(
      microseconds_[std::min(index, microseconds_.size() - 1)]);
}

base::Duration LatencySummary::Mean() const {
  if (microseconds_.empty())
    return base::Duration::zero();
  const std::uint64_t sum = std::accumulate(
      microseconds_.begin(), microseconds_.end(), std::uint64_t{0});
  return base::Duration(sum / microseconds_.size());
}

}  // namespace wigeonstair::load
