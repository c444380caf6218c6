#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_WAIT_AND_STOP_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_WAIT_AND_STOP_H_

#include <functional>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "tools/stop_signal.h"

namespace wigeonstair::standin {

// Waits for a signal, and for at most `run_for` unless that is 0. Then calls
// `stop`, with a log line before and after it.
void WaitAndStop(tools::StopSignal& signal,
                 base::Duration run_for,
                 base::EventLog& log,
                 const std::function<void()>& stop);

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_WAIT_AND_STOP_H_
