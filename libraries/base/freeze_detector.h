#ifndef WIGEONSTAIR_LIBRARIES_BASE_FREEZE_DETECTOR_H_
#define WIGEONSTAIR_LIBRARIES_BASE_FREEZE_DETECTOR_H_

#include <atomic>

#include "base/monotonic_clock.h"

namespace wigeonstair::base {

// Interval at which the owner calls FreezeDetector::Tick.
inline constexpr Duration kFreezeCheckInterval = std::chrono::milliseconds(50);
// A process that did not tick for longer was frozen. Less than the time after
// which the sender of a request tries another host.
inline constexpr Duration kFreezeLimit = std::chrono::milliseconds(500);
// How long after a freeze a request may be read that arrived during it.
inline constexpr Duration kBacklogTime = std::chrono::seconds(1);

// Tells whether a request that is read now may have waited in a buffer while
// this process was frozen. Its sender may have sent it to another host
// meanwhile, and then something newer. Thread-safe.
class FreezeDetector {
 public:
  explicit FreezeDetector(Instant now) : last_tick_(now) {}

  void Tick(Instant now);
  bool MayHaveWaited(Instant now) const;

 private:
  std::atomic<Instant> last_tick_;
  // Requests of a freeze are read until then.
  std::atomic<Instant> backlog_until_ = Instant::min();
};

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_FREEZE_DETECTOR_H_
