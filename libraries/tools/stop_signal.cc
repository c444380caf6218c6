#include "tools/stop_signal.h"

#include <cerrno>
#include <ctime>

namespace wigeonstair::tools {

StopSignal::StopSignal() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

int StopSignal::Wait() {
  int number = 0;
  while (sigwait(&signals_, &number) != 0) {
  }
  return number;
}

std::optional<int> StopSignal::WaitFor(base::Duration timeout) {
  const base::Instant end = base::MonotonicClock::now() + timeout;
  while (true) {
    const auto left = end - base::MonotonicClock::now();
    if (left <= base::Duration::zero())
      return std::nullopt;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    const auto rest =
        std::chrono::duration_cast<std::chrono::nanoseconds>(left - seconds);
    const timespec wait{.tv_sec = seconds.count(), .tv_nsec = rest.count()};
    const int number = sigtimedwait(&signals_, nullptr, &wait);
    if (number > 0)
      return number;
  }
}

}  // namespace wigeonstair::tools
