#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_H_

#include <memory>
#include <optional>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "placement/decisions.h"
#include "placement/engine_options.h"
#include "placement/events.h"
#include "placement/views.h"

namespace wigeonstair::placement {

struct EngineState;

// Schedules the jobs of one failure domain: decides which tasks run on which
// workers. Its decisions depend only on the events and their times; it reads no
// clock, does no I/O and starts no threads. Not thread-safe.
//
// A new engine is in recovery: it accepts the registrations of the workers and
// the jobs of the domain. Until RecoveryEnded arrives or the recovery period
// has passed, it releases no job, and starts only jobs that no former authority
// can have started, on guaranteed cells of their customers. Any other job may
// already run on a worker that has not reported yet.
class Engine {
 public:
  // Fails with kInvalidArgument if the guarantees do not fit into the domain or
  // if a worker has more than kMaximumAcceleratorsPerWorker accelerators.
  static base::Result<Engine> create(EngineOptions options);

  Engine(Engine&&) noexcept;
  Engine& operator=(Engine&&) noexcept;
  ~Engine();

  // Handles one event. `now` must not decrease. The decisions are returned in
  // the order in which they must be carried out.
  std::vector<Decision> Step(const Event& event, base::Instant now);

  // Returns the state of the job and the latest decisions about it, or nothing
  // if the job is unknown or was evicted after its end (see
  // EngineOptions::retained_ended_jobs).
  std::optional<Explanation> Explain(const base::JobId& job) const;

  std::vector<WorkerView> workers() const;
  std::vector<JobView> jobs() const;
  WaitingPage waiting_jobs(const WaitingQuery& query) const;
  std::optional<JobView> job(const base::JobId& job) const;
  std::vector<CustomerView> customers() const;
  CapacityView capacity() const;

  // Returns which jobs would be stopped, checkpointed and moved if the domain
  // were taken out of service now.
  DrainPreview PreviewDrain(DrainMode mode) const;

 private:
  explicit Engine(std::unique_ptr<EngineState> state);

  std::unique_ptr<EngineState> state_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_H_
