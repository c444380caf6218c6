#include "tools/service_signals.h"

#include <initializer_list>

namespace wigeonstair::tools {

sigset_t BlockServiceSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection is an error of that connection only.
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the limit of the file size fails like one on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  return signals;
}

}  // namespace wigeonstair::tools
