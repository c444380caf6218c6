#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "routing/admission_queue.h"
#include "routing/concurrency_limit.h"
#include "routing/retry_budget.h"

namespace wigeonstair::routing {

namespace {

using std::chrono::milliseconds;

// Simulates a service whose answer time is constant up to its capacity and then
// proportional to the requests in progress, with more demand than capacity.
class SaturatedService {
 public:
  SaturatedService(std::uint64_t seed, LimitFault fault)
      : random_(seed), limit_({.fault = fault}) {}

  // The first violation, or an empty string.
  std::string Run() {
    // Starts below the capacity: a limit that has only seen an overloaded
    // service takes its answer time for the unloaded one.
    for (int evaluation = 0; evaluation < 30; ++evaluation) {
      Round(capacity_ / 2);
      limit_.Evaluate();
    }
    for (int phase = 0; phase < 5; ++phase) {
      // 1000 evaluations are 100 s; the limit must have adapted after 30 s.
      int starved = 0;
      for (int evaluation = 0; evaluation < 1000; ++evaluation) {
        if (Round(kDemand) > limit_.limit())
          return "more requests in progress than the limit";
        limit_.Evaluate();
        if (evaluation < 300)
          continue;
        if (limit_.limit() > 4 * capacity_)
          return "the limit does not keep the service from overload";
        // While the limit adapts to a slower answer time, it drops to its
        // minimum for a short time, which is allowed.
        starved = limit_.limit() < capacity_ / 2 ? starved + 1 : 0;
        if (starved > 100)
          return "the limit starves the service";
      }
      Change();
    }
    return {};
  }

 private:
  static constexpr int kDemand = 4000;

  // Changes the capacity or makes the work slower.
  void Change() {
    if (random_.Below(2) == 0)
      capacity_ = 20 + static_cast<int>(random_.Below(200));
    else if (random_.Below(2) == 0)
      answer_time_ = answer_time_ * 3 / 2;
    else
      answer_time_ *= 3;
  }

  // Simulates one evaluation interval; returns the admitted requests.
  int Round(int demand) {
    int entered = 0;
    while (entered < demand && limit_.TryEnter())
      ++entered;
    const double queueing =
        std::max(1.0, static_cast<double>(entered) / capacity_);
    for (int i = 0; i < entered; ++i) {
      const double noise = 0.9 + 0.2 * random_.Fraction();
      limit_.RecordAnswer(std::chrono::duration_cast<base::Duration>(
          answer_time_ * queueing * noise));
      limit_.Leave();
    }
    return entered;
  }

  base::Random random_;
  ConcurrencyLimit limit_;
  int capacity_ = 100;
  base::Duration answer_time_ = milliseconds(10);
};

std::string LimitViolation(LimitFault fault) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::string violation = SaturatedService(seed, fault).Run();
    if (!violation.empty())
      return violation + " (seed " + std::to_string(seed) + ")";
  }
  return {};
}

// The maximum over all intervals of random histories of the retries beyond the
// allowed share of the requests in the interval.
double LargestBurst(BudgetFault fault, const RetryBudgetOptions& options) {
  double largest = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    base::Random random(seed);
    RetryBudgetOptions injected = options;
    injected.fault = fault;
    RetryBudget budget(injected);
    double burst = 0;
    for (int step = 0; step < 5000; ++step) {
      // Alternates long intervals with and without failures.
      const bool failing = step / 500 % 2 == 1;
      if (!failing || random.Below(3) == 0) {
        budget.RecordRequest();
        burst = std::max(0.0, burst - options.share);
      } else if (budget.TryWithdraw()) {
        burst += 1;
      }
      largest = std::max(largest, burst);
    }
  }
  return largest;
}

// The largest difference in requests served per weight between two customers
// that both had requests waiting all the time, beyond one request of each.
double LargestUnfairness(QueueFault fault) {
  double largest = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    base::Random random(seed);
    AdmissionQueue queue({.maximum_length = 100'000, .fault = fault});
    constexpr int kCustomers = 5;
    std::vector<int> weights;
    weights.reserve(kCustomers);
    for (int customer = 0; customer < kCustomers; ++customer)
      weights.push_back(1 + static_cast<int>(random.Below(8)));
    std::vector<int> waiting(kCustomers, 0);
    std::vector<int> turns(kCustomers, 0);
    std::uint64_t ticket = 0;
    std::vector<ShedRequest> shed;
    const base::Instant now{milliseconds(1)};
    const auto push = [&](int customer) {
      queue.Push({.ticket = ticket++ * kCustomers +
                            static_cast<std::uint64_t>(customer),
                  .customer = base::CustomerId(std::to_string(customer)),
                  .weight = weights[static_cast<std::size_t>(customer)],
                  .deadline = now + milliseconds(1000 + random.Below(1000))},
                 now);
      ++waiting[static_cast<std::size_t>(customer)];
    };
    for (int step = 0; step < 3000; ++step) {
      const auto customer = static_cast<int>(random.Below(kCustomers));
      for (std::uint64_t count = random.Below(4); count > 0; --count)
        push(customer);
      const auto popped = queue.Pop(now, shed);
      if (!popped)
        continue;
      const auto served = static_cast<std::size_t>(*popped % kCustomers);
      ++turns[served];
      --waiting[served];
      // The comparison starts again when a customer has no request waiting.
      if (std::find(waiting.begin(), waiting.end(), 0) != waiting.end())
        std::fill(turns.begin(), turns.end(), 0);
      for (std::size_t one = 0; one < kCustomers; ++one) {
        for (std::size_t two = 0; two < kCustomers; ++two) {
          const double excess = (turns[one] - 1.0) / weights[one] -
                                (turns[two] + 1.0) / weights[two];
          largest = std::max(largest, excess);
        }
      }
    }
  }
  return largest;
}

}  // namespace

// Guards against a limit that lets the queue of a saturated service grow
// without bound, even after minutes, that leaves capacity unused, or that does
// not adapt to changes of the service.
TEST_CASE("the concurrency limit keeps a saturated service at its capacity") {
  const std::string violation = LimitViolation(LimitFault::kNone);
  INFO(violation);
  CHECK(violation.empty());
}

// Proves that the check above detects each injected fault.
TEST_CASE("the check of the concurrency limit detects injected faults") {
  for (const LimitFault fault :
       {LimitFault::kIgnoreLimit, LimitFault::kNeverShrink,
        LimitFault::kNeverGrow, LimitFault::kLearnBaselineUnderLoad}) {
    CHECK_FALSE(LimitViolation(fault).empty());
  }
}

// Guards against a balance of retries that grows without bound while there are
// no failures, and against retries beyond their share of the requests.
TEST_CASE("the retry budget bounds every burst") {
  const RetryBudgetOptions options{.share = 0.2, .maximum_balance = 20};
  constexpr double kRounding = 0.001;
  CHECK(LargestBurst(BudgetFault::kNone, options) <= 20 + kRounding);
  for (const BudgetFault fault :
       {BudgetFault::kAllowEveryRetry, BudgetFault::kUnboundedBalance})
    CHECK(LargestBurst(fault, options) > 20 + kRounding);
}

// Guards against serving a customer beyond its weight when requests arrive at
// random.
TEST_CASE("random arrivals are served in proportion to customer weights") {
  constexpr double kRounding = 1e-6;
  CHECK(LargestUnfairness(QueueFault::kNone) <= kRounding);
  for (const QueueFault fault :
       {QueueFault::kIgnoreWeights, QueueFault::kCreditIdleCustomers})
    CHECK(LargestUnfairness(fault) > kRounding);
}

}  // namespace wigeonstair::routing
