#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_ROUND_PACER_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_ROUND_PACER_H_

#include "base/monotonic_clock.h"

namespace wigeonstair::scheduler {

// Spaces the scheduling rounds of a leader.
// Load pattern: a large fleet with a long queue on a small host. Rounds become
// slow while each call, answer and commit asks for another one; run back to
// back they would take all of the event loop, and gateways that get no answer
// in time would look for another leader.
class RoundPacer {
 public:
  void RecordRound(base::Instant ended_at, base::Duration took);
  // Zero if a round may begin now.
  base::Duration TimeUntilNextRound(base::Instant now) const;

 private:
  base::Instant next_round_at_{};
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_ROUND_PACER_H_
