#include <catch2/catch.hpp>

#include "routing/concurrency_limit.h"
#include "routing/decision_ring.h"
#include "routing/retry_budget.h"

namespace wigeonstair::routing {

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retries are a bounded share of the requests") {
  RetryBudget budget({.share = 0.1, .maximum_balance = 5});
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.RecordRequest();
    while (budget.TryWithdraw())
      ++retries;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 105);
}

// Guards against a limit that stays high while answers are slow, and against
// one that does not recover afterwards.
TEST_CASE("the concurrency limit follows the answer time") {
  ConcurrencyLimit limit({.minimum = 8, .initial = 100, .maximum = 200});
  const auto run = [&](base::Duration latency, int evaluations) {
    for (int round = 0; round < evaluations; ++round) {
      int entered = 0;
      while (limit.TryEnter())
        ++entered;
      CHECK(entered <= limit.limit());
      for (; entered > 0; --entered) {
        limit.RecordAnswer(latency);
        limit.Leave();
      }
      limit.Evaluate();
    }
  };
  run(std::chrono::milliseconds(10), 5);
  const int unloaded_limit = limit.limit();
  CHECK(unloaded_limit >= 100);
  run(std::chrono::milliseconds(100), 5);
  CHECK(limit.limit() < unloaded_limit / 2);
  CHECK(limit.limit() >= 8);
  run(std::chrono::milliseconds(10), 60);
  CHECK(limit.limit() >= unloaded_limit);
}

// Guards against a trace buffer that grows without bound or returns the trace
// of another request.
TEST_CASE("the decision ring keeps the most recent requests") {
  DecisionRing ring(10);
  for (int index = 0; index < 25; ++index) {
    auto trace = std::make_unique<RequestTrace>();
    trace->id = "r" + std::to_string(index);
    trace->outcome = std::to_string(index);
    ring.Add(std::move(trace));
  }
  CHECK_FALSE(ring.Find("r14").has_value());
  for (int index = 15; index < 25; ++index) {
    const auto found = ring.Find("r" + std::to_string(index));
    REQUIRE(found.has_value());
    CHECK(found->outcome == std::to_string(index));
  }
}

}  // namespace wigeonstair::routing
