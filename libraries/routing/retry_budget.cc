#include "routing/retry_budget.h"

#include <algorithm>
#include <limits>

namespace wigeonstair::routing {

namespace {
// The balance is kept in thousandths of a retry.
constexpr std::int64_t kUnitsPerRetry = 1000;
}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : fault_(options.fault),
      deposit_(static_cast<std::int64_t>(options.share * kUnitsPerRetry)),
      maximum_(options.maximum_balance * kUnitsPerRetry),
      balance_(maximum_) {
  if (fault_ == BudgetFault::kUnboundedBalance)
    maximum_ = std::numeric_limits<std::int64_t>::max() / 2;
}

void RetryBudget::RecordRequest() {
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance < maximum_ &&
         !balance_.compare_exchange_weak(balance,
                                         std::min(balance + deposit_, maximum_),
                                         std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TryWithdraw() {
  if (fault_ == BudgetFault::kAllowEveryRetry)
    return true;
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kUnitsPerRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kUnitsPerRetry,
                                       std::memory_order_relaxed))
      return true;
  }
  return false;
}

bool RetryBudget::IsEmpty() const {
  return balance_.load(std::memory_order_relaxed) < kUnitsPerRetry;
}

}  // namespace wigeonstair::routing
