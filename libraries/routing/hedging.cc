#include "routing/hedging.h"

#include <algorithm>

namespace wigeonstair::routing {

std::optional<base::Duration> HedgePolicy::Delay(
    HedgeSafety safety,
    base::Duration percentile_90,
    base::Duration time_left) const {
  const bool safe = safety == HedgeSafety::kIdempotent ||
                    options_.fault == HedgeFault::kHedgeNonIdempotent;
  if (!safe || options_.minimum_delay <= base::Duration::zero() ||
      percentile_90 <= base::Duration::zero())
    return std::nullopt;
  const base::Duration delay = std::max(options_.minimum_delay, percentile_90);
  if (delay >= time_left)
    return std::nullopt;
  return delay;
}

HedgeDecision HedgePolicy::Decide(const HedgeState& state) const {
  if (state.safety == HedgeSafety::kNotIdempotent &&
      options_.fault != HedgeFault::kHedgeNonIdempotent)
    return {.reason = HedgeReason::kNotIdempotent};
  if (state.copies > 1)
    return {.reason = HedgeReason::kAlreadyHedged};
  if (state.time_left <= base::Duration::zero())
    return {.reason = HedgeReason::kDeadlinePassed};
  // Queued requests, which have no slot yet, take precedence over second
  // copies.
  if (state.queue == HedgeQueue::kRequestsWait)
    return {.reason = HedgeReason::kRequestsWait};
  if (state.slot == HedgeSlot::kNone)
    return {.reason = HedgeReason::kNoSlot};
  if (state.budget == HedgeBudget::kEmpty &&
      options_.fault != HedgeFault::kIgnoreBudget)
    return {.reason = HedgeReason::kBudgetEmpty};
  return {.reason = HedgeReason::kSlowAnswer};
}

const char* HedgeReasonName(HedgeReason reason) {
  switch (reason) {
    case HedgeReason::kSlowAnswer:
      return "slow_answer";
    case HedgeReason::kNotIdempotent:
      return "not_idempotent";
    case HedgeReason::kAlreadyHedged:
      return "already_hedged";
    case HedgeReason::kDeadlinePassed:
      return "deadline_passed";
    case HedgeReason::kRequestsWait:
      return "requests_wait";
    case HedgeReason::kNoSlot:
      return "no_slot";
    case HedgeReason::kBudgetEmpty:
      return "budget_empty";
  }
  return "unknown";
}

}  // namespace wigeonstair::routing
