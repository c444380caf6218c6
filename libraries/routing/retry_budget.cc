#include "routing/retry_budget.h"

#include <algorithm>
#include <limits>

namespace wigeonstair::routing {

namespace {
constexpr std::int64_t kOneRetry = 1000;
}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : fault_(options.fault),
      deposit_(static_cast<std::int64_t>(options.share * kOneRetry)),
      maximum_(options.maximum_saved * kOneRetry),
      saved_(maximum_) {
  if (fault_ == BudgetFault::kSaveWithoutBound)
    maximum_ = std::numeric_limits<std::int64_t>::max() / 2;
}

void RetryBudget::RecordRequest() {
  std::int64_t saved = saved_.load(std::memory_order_relaxed);
  while (saved < maximum_ && !saved_.compare_exchange_weak(
                                 saved, std::min(saved + deposit_, maximum_),
                                 std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TryWithdraw() {
  if (fault_ == BudgetFault::kUnbounded)
    return true;
  std::int64_t saved = saved_.load(std::memory_order_relaxed);
  while (saved >= kOneRetry) {
    if (saved_.compare_exchange_weak(saved, saved - kOneRetry,
                                     std::memory_order_relaxed))
      return true;
  }
  return false;
}

bool RetryBudget::IsEmpty() const {
  return saved_.load(std::memory_order_relaxed) < kOneRetry;
}

}  // namespace wigeonstair::routing
