#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_REPLICATED_JOBS_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_REPLICATED_JOBS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "consensus/state_machine.h"
#include "jobs/job_store.h"
#include "jobs/placement_history.h"

namespace wigeonstair::scheduler {

// The job store of this host as a replicated state machine: the replicated log
// writes it, and the event loop of the scheduler reads it. Thread-safe.
class ReplicatedJobs final : public consensus::StateMachine {
 public:
  // `on_applied` runs after each applied command on the thread that applies the
  // log, without the lock held.
  ReplicatedJobs(std::function<void()> on_applied,
                 std::shared_ptr<base::EventLog> log);

  std::string Apply(std::uint64_t index, std::string_view command) override;
  std::string Snapshot() const override;
  base::Result<std::monostate> Restore(std::string_view snapshot) override;

  // Calls `reader` with the store and returns its result. The reader must not
  // keep references to the store.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const std::lock_guard lock(mutex_);
    return std::forward<Reader>(reader)(store_);
  }

  // Unlocked access, for an object that reads the store only while Read() runs.
  const jobs::JobStore& store() const { return store_; }
  // Only while Read() runs.
  const jobs::PlacementHistory& placements() const { return placements_; }

 private:
  const std::function<void()> on_applied_;
  const std::shared_ptr<base::EventLog> log_;
  mutable std::mutex mutex_;
  jobs::JobStore store_;
  jobs::PlacementHistory placements_{base::MonotonicClock::now()};
};

// Decodes the result that Apply() returned for a committed command.
jobs::CommandReply DecodeReply(const std::string& result);

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_REPLICATED_JOBS_H_
