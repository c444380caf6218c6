#include "standin/wait_and_stop.h"

namespace wigeonstair::standin {

void WaitAndStop(tools::StopSignal& signal,
                 base::Duration run_for,
                 base::EventLog& log,
                 const std::function<void()>& stop) {
  if (run_for > base::Duration::zero())
    signal.WaitFor(run_for);
  else
    signal.Wait();
  log.Info(base::EventNumber::kProcessStopping, {});
  stop();
  log.Info(base::EventNumber::kProcessStopped, {});
  log.Flush();
}

}  // namespace wigeonstair::standin
