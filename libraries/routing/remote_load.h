#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_REMOTE_LOAD_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_REMOTE_LOAD_H_

#include <atomic>
#include <cstdint>

#include "base/monotonic_clock.h"

namespace wigeonstair::routing {

// The requests for one service that this host has in flight in another failure
// domain. How much room there is shows only in that domain's answers: a window
// bounds the requests in flight, grows with answers and shrinks with refusals
// (additive increase, multiplicative decrease). Without it a queue was sent in
// bursts, which filled the domain for a moment and were refused. Thread-safe.
class RemoteLoad {
 public:
  RemoteLoad();

  static constexpr std::int32_t kInitialWindow = 8;
  static constexpr std::int32_t kMaximumWindow = 1024;
  // After a refusal nothing is sent for this long.
  static constexpr base::Duration kRefusalBackoff =
      std::chrono::milliseconds(25);

  // Takes a place in the window; false when there is none, or in a pause. Each
  // place taken is given back by one of the calls below.
  bool Reserve(base::Instant now);
  // The domain took the request.
  void RecordServed();
  // The domain was full, or its entry host could not be reached.
  void RecordRefused(base::Instant now);
  // Says nothing about the room in the domain.
  void Release() { in_flight_.fetch_sub(1, std::memory_order_acq_rel); }

  std::int32_t in_flight() const {
    return in_flight_.load(std::memory_order_relaxed);
  }
  std::int32_t window() const;

 private:
  bool IsPaused(base::Instant now) const;

  std::atomic<std::int32_t> in_flight_{0};
  // In parts of a request, so that it grows by one request a round trip.
  std::atomic<std::int32_t> window_parts_;
  // Microseconds on the monotonic clock.
  std::atomic<std::int64_t> paused_until_microseconds_{0};
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_REMOTE_LOAD_H_
