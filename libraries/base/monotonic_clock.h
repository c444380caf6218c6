#ifndef WIGEONSTAIR_LIBRARIES_BASE_MONOTONIC_CLOCK_H_
#define WIGEONSTAIR_LIBRARIES_BASE_MONOTONIC_CLOCK_H_

#include <chrono>

namespace wigeonstair::base {

using Duration = std::chrono::microseconds;

// A clock that never goes back and also counts the time for which the host was
// suspended (CLOCK_BOOTTIME), so that a lease cannot outlive a suspend.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: fixed by <chrono>.

  static time_point now();
};

// A point on the monotonic clock of one process run. Pure code receives it as
// an argument and never reads a clock.
using Instant = MonotonicClock::time_point;

// Milliseconds since the Unix epoch, for logs and for records that outlive a
// process. It may step backwards.
std::chrono::milliseconds WallClockNow();

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_MONOTONIC_CLOCK_H_
