#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_REMOTE_LOAD_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_REMOTE_LOAD_H_

#include <atomic>
#include <cstdint>

#include "base/monotonic_clock.h"

namespace wigeonstair::routing {

// Congestion window for the requests of one service that this host forwards to
// another failure domain. The free capacity there is known only from its
// answers, so a window bounds the requests in flight; it grows with answers and
// shrinks with refusals (additive increase, multiplicative decrease). Without
// it, queued requests were forwarded in bursts that briefly filled the domain
// and were refused. Thread-safe.
class RemoteLoad {
 public:
  RemoteLoad();

  static constexpr std::int32_t kInitialWindow = 8;
  static constexpr std::int32_t kMaximumWindow = 1024;
  // Nothing is forwarded for this long after a refusal.
  static constexpr base::Duration kRefusalBackoff =
      std::chrono::milliseconds(25);

  // Reserves a place in the window; false when the window is full or during the
  // backoff after a refusal. Each reserved place is released by one of the
  // calls below.
  bool Reserve(base::Instant now);
  // The domain accepted the request; may enlarge the window.
  void RecordServed();
  // The domain was full or its entry host was unreachable; shrinks the window
  // and starts the backoff.
  void RecordRefused(base::Instant now);
  // Releases a place without a conclusion about the capacity of the domain.
  void Release() { in_flight_.fetch_sub(1, std::memory_order_acq_rel); }

  std::int32_t in_flight() const {
    return in_flight_.load(std::memory_order_relaxed);
  }
  std::int32_t window() const;

 private:
  bool IsBackingOff(base::Instant now) const;

  std::atomic<std::int32_t> in_flight_{0};
  // The window in fixed point, so that each answer adds a fraction of a request
  // and a full window adds one request per round trip.
  std::atomic<std::int32_t> window_parts_;
  // Microseconds on the monotonic clock.
  std::atomic<std::int64_t> backoff_until_microseconds_{0};
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_REMOTE_LOAD_H_
