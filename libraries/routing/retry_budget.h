#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_RETRY_BUDGET_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace wigeonstair::routing {

// Faults planted by tests to show that a check detects them. For tests only.
enum class BudgetFault : std::uint8_t {
  kNone,
  kUnbounded,         // Every retry is allowed.
  kSaveWithoutBound,  // A calm time saves up any number of retries.
};

struct RetryBudgetOptions {
  // Retries allowed per first attempt, over time.
  double share = 0.2;
  // Retries that can be saved up, and that are there at the start.
  int maximum_saved = 20;
  BudgetFault fault = BudgetFault::kNone;
};

// Bounds retries to a share of the requests, so that a failing service is not
// loaded further by them. Lock-free.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  void RecordRequest();
  // Takes one retry; false when none is left.
  bool TryWithdraw();
  // Whether a retry was left a moment ago.
  bool IsEmpty() const;

 private:
  BudgetFault fault_;
  std::int64_t deposit_;
  std::int64_t maximum_;
  // In thousandths of a retry.
  std::atomic<std::int64_t> saved_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_RETRY_BUDGET_H_
