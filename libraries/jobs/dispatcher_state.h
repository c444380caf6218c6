#ifndef WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_STATE_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "jobs/job.h"

// Values of which the state of a Dispatcher consists.
namespace wigeonstair::jobs {

// The phase of a run.
enum class RunPhase {
  // The placement is not committed yet.
  kProposed,
  // Start calls are sent until one is answered or the attempts are exhausted.
  kStarting,
  kRunning,
  // Stop calls are sent until one is accepted; then the end has to appear in
  // a list of the worker.
  kStopping,
  // The end is not committed yet.
  kEnding,
};

// Value of a step that starts now: ends within its objective, after it, or
// after the value has dropped to zero.
enum class Urgency { kInTime, kLate, kZeroValue };

// A removed worker that may still run tasks.
struct RemovedWorkerRecord {
  // Empty when a former leader knew the worker.
  std::string address;
  // All leases on the worker have expired by then.
  base::Instant lease_bound;
};

// An attempt that was given up before its end was known. It may have failed,
// and its worker may still list that.
struct LostAttempt {
  std::uint32_t attempt = 0;
  WorkerIncarnation worker;
  base::Instant lost_at;
  // Time of the worker's last answer before that.
  base::Instant answered_at;
};

// Ends that are not committed yet.
struct PendingEnds {
  // Empty when the ends do not come from a list of a worker.
  base::WorkerId worker;
  std::uint64_t born = 0;
  std::uint64_t last_number = 0;
  std::vector<RunKey> runs;
};

// Confirmed starts that are not committed yet.
struct PendingConfirmation {
  std::vector<RunKey> runs;
};

// A step that does not fit even without all victims. Neither does one of the
// same shape with as many tasks that take as long.
struct HopelessStep {
  std::uint32_t count = 0;
  double work_ms = 0;
};

// Resources that are reserved for an urgent step until its victims have
// ended.
struct Claim {
  // The worker of each task.
  std::vector<WorkerIncarnation> task_workers;
  Resources task;
  // When the claim expires and the step is placed anew.
  base::Instant expires_at;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_STATE_H_
