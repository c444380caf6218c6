#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_STOP_SIGNAL_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_STOP_SIGNAL_H_

#include <csignal>
#include <optional>

#include "base/monotonic_clock.h"

namespace wigeonstair::tools {

// Waits for SIGTERM or SIGINT. Construct it in main() before any thread is
// started: threads inherit the blocked signals, so that only Wait() sees them.
class StopSignal {
 public:
  StopSignal();

  // Blocks until a signal arrives and returns its number.
  int Wait();
  // Like Wait, but returns nothing after `timeout`.
  std::optional<int> WaitFor(base::Duration timeout);

 private:
  sigset_t signals_;
};

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_STOP_SIGNAL_H_
