#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_HEDGING_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_HEDGING_H_

#include <cstdint>
#include <optional>

#include "base/monotonic_clock.h"

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class HedgeFault : std::uint8_t {
  kNone,
  // Hedges requests that are not idempotent.
  kHedgeNonIdempotent,
  // Hedges when the retry budget is empty.
  kIgnoreBudget,
};

struct HedgeOptions {
  // Lower bound of the delay before a request is hedged. Zero disables hedging.
  base::Duration minimum_delay = std::chrono::milliseconds(10);
  HedgeFault fault = HedgeFault::kNone;
};

enum class HedgeSafety : std::uint8_t { kIdempotent, kNotIdempotent };
enum class HedgeBudget : std::uint8_t { kAvailable, kEmpty };
enum class HedgeSlot : std::uint8_t { kFree, kNone };
enum class HedgeQueue : std::uint8_t { kEmpty, kRequestsWait };

// Inputs of the decision when the hedging delay of a request has passed.
struct HedgeState {
  HedgeSafety safety = HedgeSafety::kNotIdempotent;
  // Copies of the request sent so far, including the original.
  int copies = 1;
  // Time until the deadline of the request.
  base::Duration time_left{};
  HedgeQueue queue = HedgeQueue::kEmpty;
  // Whether an upstream other than the first has a free slot.
  HedgeSlot slot = HedgeSlot::kNone;
  HedgeBudget budget = HedgeBudget::kEmpty;
};

enum class HedgeReason : std::uint8_t {
  kSlowAnswer,
  kNotIdempotent,
  kAlreadyHedged,
  kDeadlinePassed,
  kRequestsWait,
  kNoSlot,
  kBudgetEmpty,
};

struct HedgeDecision {
  HedgeReason reason = HedgeReason::kNotIdempotent;
  bool send() const { return reason == HedgeReason::kSlowAnswer; }
};

// Decides whether and when a second copy of a request is sent to another
// upstream. Stateless.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options = {}) : options_(options) {}

  // Time from sending the request until a second copy is due: the 90th
  // percentile of the answer times, but at least the minimum delay. Nothing
  // when hedging is disabled, when the request is not idempotent, while the
  // percentile is unknown, and when the deadline would pass first.
  std::optional<base::Duration> Delay(HedgeSafety safety,
                                      base::Duration percentile_90,
                                      base::Duration time_left) const;

  HedgeDecision Decide(const HedgeState& state) const;

 private:
  HedgeOptions options_;
};

const char* HedgeReasonName(HedgeReason reason);

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_HEDGING_H_
