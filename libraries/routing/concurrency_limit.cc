#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace wigeonstair::routing {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : options_(options), limit_(options.initial) {}

bool ConcurrencyLimit::TryEnter() {
  const int limit = limit_.load(std::memory_order_relaxed);
  int current = in_progress_.load(std::memory_order_relaxed);
  while (current < limit || options_.fault == LimitFault::kIgnoreLimit) {
    if (!in_progress_.compare_exchange_weak(current, current + 1,
                                            std::memory_order_acq_rel))
      continue;
    if (current + 1 > peak_in_progress_.load(std::memory_order_relaxed))
      peak_in_progress_.store(current + 1, std::memory_order_relaxed);
    return true;
  }
  return false;
}

void ConcurrencyLimit::RecordAnswer(base::Duration latency) {
  latency_sum_.fetch_add(latency.count(), std::memory_order_relaxed);
  answers_.fetch_add(1, std::memory_order_relaxed);
}

// The baseline adapts only while less than half of the limit is in use. If it
// followed the answers of a saturated service it would double every 7 s, and so
// would the limit, up to its maximum.
double ConcurrencyLimit::BaselineSmoothing(int peak) const {
  // At the minimum limit the requests of this host are not what makes answers
  // slow, so the baseline adapts quickly.
  constexpr double kSmoothingAtMinimum = 0.1;
  if (options_.fault == LimitFault::kLearnBaselineUnderLoad)
    return options_.baseline_smoothing;
  if (limit() <= options_.minimum)
    return kSmoothingAtMinimum;
  return peak * 2 < limit() ? options_.baseline_smoothing : 0;
}

void ConcurrencyLimit::Evaluate() {
  // The mean of fewer answers depends on single requests rather than on the
  // load. The counts accumulate over evaluations until there are enough, so
  // that a low limit can still recover.
  constexpr std::int64_t kMinimumAnswers = 10;
  if (answers_.load(std::memory_order_relaxed) +
          overloads_.load(std::memory_order_relaxed) <
      kMinimumAnswers)
    return;
  const std::int64_t answers = answers_.exchange(0, std::memory_order_relaxed);
  const std::int64_t sum = latency_sum_.exchange(0, std::memory_order_relaxed);
  const std::int64_t overloads =
      overloads_.exchange(0, std::memory_order_relaxed);
  const int peak =
      peak_in_progress_.exchange(in_progress(), std::memory_order_relaxed);
  double gradient = 1.0;
  if (answers > 0) {
    const double latency =
        std::max(1.0, static_cast<double>(sum) / static_cast<double>(answers));
    if (baseline_ == 0 || latency < baseline_)
      baseline_ = latency;
    else
      baseline_ += (latency - baseline_) * BaselineSmoothing(peak);
    gradient = options_.tolerance * baseline_ / latency;
  }
  constexpr double kLowestGradient = 0.5;
  constexpr double kOverloadGradient = 0.9;
  gradient = std::clamp(gradient, kLowestGradient, 1.0);
  if (overloads * 10 > answers)
    gradient = std::min(gradient, kOverloadGradient);
  if (options_.fault == LimitFault::kNeverShrink)
    gradient = 1.0;
  const double before = limit();
  double after = before * gradient;
  // The limit grows only while at least half of it is in use; otherwise low
  // latencies do not show that a higher limit is safe.
  if (gradient == 1.0 && peak * 2 >= before &&
      options_.fault != LimitFault::kNeverGrow)
    after += std::sqrt(before);
  limit_.store(
      std::clamp(static_cast<int>(after), options_.minimum, options_.maximum),
      std::memory_order_relaxed);
}

}  // namespace wigeonstair::routing
