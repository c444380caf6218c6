#ifndef WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_OPTIONS_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_OPTIONS_H_

#include "base/monotonic_clock.h"
#include "jobs/run_times.h"

namespace wigeonstair::jobs {

struct DispatcherOptions {
  // The longest lease that a worker accepts.
  base::Duration longest_lease = std::chrono::seconds(6);
  // All members of a gang must start within this time of the first one.
  base::Duration gang_wait = std::chrono::seconds(3);
  // Slowdown of tasks that run outside their rack.
  double remote_factor = 3;
  // How long before the due time of its occurrence a task may be placed and
  // started.
  base::Duration early_start = std::chrono::milliseconds(100);
  // Interval of the heartbeats of a worker.
  base::Duration heartbeat = std::chrono::milliseconds(1500);
  RunTimeMethod run_times;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_OPTIONS_H_
