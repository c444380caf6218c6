#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_SIGNALS_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_SIGNALS_H_

#include <csignal>

namespace wigeonstair::tools {

// Blocks SIGTERM, SIGINT and SIGHUP, which the caller then waits for with
// sigwait(), and ignores signals that would end the process for an error that a
// call reports as well. Call it before any thread is started, because threads
// inherit the blocked signals. Returns the blocked ones.
sigset_t BlockServiceSignals();

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_SIGNALS_H_
