#include "routing/hedging.h"

#include <catch2/catch.hpp>

#include <string>

#include "base/random.h"
#include "routing/answer_times.h"
#include "routing/retry_budget.h"

namespace wigeonstair::routing {

using std::chrono::milliseconds;

namespace {

// Checks the decisions for random states and returns the first violation, or an
// empty string. Each second copy must be covered by the retry budget.
std::string FirstViolation(HedgeFault fault) {
  base::Random random(7);
  const HedgePolicy policy({.minimum_delay = milliseconds(10), .fault = fault});
  RetryBudget budget({.share = 0.1, .maximum_balance = 5});
  constexpr int kRequests = 4000;
  int copies = 0;
  for (int request = 0; request < kRequests; ++request) {
    budget.RecordRequest();
    const auto flip = [&] { return random.Below(4) != 0; };
    const HedgeState state{
        .safety =
            flip() ? HedgeSafety::kIdempotent : HedgeSafety::kNotIdempotent,
        .copies = flip() ? 1 : 2,
        .time_left = milliseconds(random.Below(100)),
        .queue = flip() ? HedgeQueue::kEmpty : HedgeQueue::kRequestsWait,
        .slot = flip() ? HedgeSlot::kFree : HedgeSlot::kNone,
        .budget =
            budget.IsEmpty() ? HedgeBudget::kEmpty : HedgeBudget::kAvailable};
    const base::Duration percentile = milliseconds(random.Below(100));
    const auto delay = policy.Delay(state.safety, percentile, state.time_left);
    const bool unsafe = state.safety == HedgeSafety::kNotIdempotent;
    if (delay && unsafe)
      return "a delay for a request that must not run twice";
    if (delay && (*delay < milliseconds(10) || *delay < percentile ||
                  *delay >= state.time_left))
      return "a delay below the floor or after the deadline";
    if (!policy.Decide(state).send())
      continue;
    if (unsafe)
      return "a second copy of a request that must not run twice";
    if (state.copies > 1 || state.slot == HedgeSlot::kNone ||
        state.queue == HedgeQueue::kRequestsWait ||
        state.time_left <= base::Duration::zero())
      return "a second copy without a free slot or time for it";
    ++copies;
    if (!budget.TryWithdraw())
      return "a second copy with an empty budget";
  }
  return copies > 0 ? "" : "no request was hedged";
}

}  // namespace

// Guards invariant I6 and the retry budget: a request is not hedged if it is
// not idempotent, if there is no free slot or no time, or if the budget is
// empty.
TEST_CASE("second copies are safe, bounded and within the deadline") {
  CHECK(FirstViolation(HedgeFault::kNone).empty());
}

// Proves that the check above detects each injected fault.
TEST_CASE("the check of hedging detects injected faults") {
  CHECK_FALSE(FirstViolation(HedgeFault::kHedgeNonIdempotent).empty());
  CHECK_FALSE(FirstViolation(HedgeFault::kIgnoreBudget).empty());
}

// Guards against a hedging delay that is not based on recent answers.
TEST_CASE("the 90th percentile follows recent answers") {
  AnswerTimes times;
  times.RecordAnswer(milliseconds(1));
  times.Evaluate();
  CHECK(times.percentile_90() == base::Duration::zero());
  for (int answer = 1; answer <= 1000; ++answer)
    times.RecordAnswer(milliseconds(answer));
  times.Evaluate();
  CHECK(times.percentile_90() >= milliseconds(900));
  CHECK(times.percentile_90() <= milliseconds(985));
  for (int round = 0; round < 300; ++round) {
    for (int answer = 0; answer < 10; ++answer)
      times.RecordAnswer(milliseconds(20));
    times.Evaluate();
  }
  CHECK(times.percentile_90() >= milliseconds(20));
  CHECK(times.percentile_90() <= milliseconds(22));
  // 92 of 100 answers are fast, so the 90th percentile stays low.
  for (int answer = 0; answer < 10'000; ++answer)
    times.RecordAnswer(milliseconds(answer % 100 < 92 ? 20 : 200));
  times.Evaluate();
  CHECK(times.percentile_90() <= milliseconds(22));
}

}  // namespace wigeonstair::routing
