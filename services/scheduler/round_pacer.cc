#include "services/scheduler/round_pacer.h"

#include <algorithm>

namespace wigeonstair::scheduler {

namespace {

// Rounds leave two thirds of the event loop to calls, lists and commits, as
// long as they take less than half of kLongestPause.
constexpr int kPauseFactor = 2;
// A round during which the host was suspended says nothing about the next one.
constexpr base::Duration kLongestPause = std::chrono::milliseconds(150);

}  // namespace

void RoundPacer::RecordRound(base::Instant ended_at, base::Duration took) {
  next_round_at_ =
      ended_at + std::min<base::Duration>(kLongestPause, kPauseFactor * took);
}

base::Duration RoundPacer::TimeUntilNextRound(base::Instant now) const {
  return std::max<base::Duration>(next_round_at_ - now, base::Duration::zero());
}

}  // namespace wigeonstair::scheduler
