#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_RETRY_BUDGET_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class BudgetFault : std::uint8_t {
  kNone,
  kAllowEveryRetry,
  kUnboundedBalance,  // The balance grows without limit.
};

struct RetryBudgetOptions {
  // Retries earned per request.
  double share = 0.2;
  // Upper limit of the balance in retries, and the initial balance.
  int maximum_balance = 20;
  BudgetFault fault = BudgetFault::kNone;
};

// Token bucket that limits retries to a share of the requests, so that retries
// do not multiply the load of a failing service. Thread-safe and lock-free.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  // Adds `share` of a retry to the balance.
  void RecordRequest();
  // Withdraws one retry; false when the balance is less than one.
  bool TryWithdraw();
  // Whether the balance is less than one retry. Another thread may change that
  // at any time.
  bool IsEmpty() const;

 private:
  BudgetFault fault_;
  std::int64_t deposit_;
  std::int64_t maximum_;
  // In thousandths of a retry.
  std::atomic<std::int64_t> balance_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_RETRY_BUDGET_H_
