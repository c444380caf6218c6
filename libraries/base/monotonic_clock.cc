#include "base/monotonic_clock.h"

#include <ctime>

namespace wigeonstair::base {

MonotonicClock::time_point MonotonicClock::now() {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(value.tv_sec) +
      std::chrono::nanoseconds(value.tv_nsec)));
}

std::chrono::milliseconds WallClockNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace wigeonstair::base
