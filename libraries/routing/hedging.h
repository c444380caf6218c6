#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_HEDGING_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_HEDGING_H_

#include <cstdint>
#include <optional>

#include "base/monotonic_clock.h"

namespace wigeonstair::routing {

// Faults planted by tests to show that a check detects them. For tests only.
enum class HedgeFault : std::uint8_t {
  kNone,
  // Hedges requests that must not run twice.
  kHedgeAnything,
  // Hedges although the retry budget is empty.
  kIgnoreBudget,
};

struct HedgeOptions {
  // No request is hedged earlier. Zero turns hedging off.
  base::Duration minimum_delay = std::chrono::milliseconds(10);
  HedgeFault fault = HedgeFault::kNone;
};

enum class HedgeSafety : std::uint8_t { kIdempotent, kNotIdempotent };
enum class HedgeBudget : std::uint8_t { kAvailable, kEmpty };
enum class HedgeSlot : std::uint8_t { kFree, kNone };
enum class HedgeQueue : std::uint8_t { kEmpty, kRequestsWait };

// What is known when the delay of a request has passed.
struct HedgeState {
  HedgeSafety safety = HedgeSafety::kNotIdempotent;
  // Copies sent so far, including the first.
  int copies = 1;
  // Until the deadline of the request.
  base::Duration time_left{};
  HedgeQueue queue = HedgeQueue::kEmpty;
  // Whether another upstream has a free slot.
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

// Decides when a second copy of a request goes to another upstream. Pure.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options = {}) : options_(options) {}

  // How long after the send the second copy is due. Nothing for a request that
  // must not run twice, while the answer times of the service are unknown, and
  // when the deadline passes first.
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
