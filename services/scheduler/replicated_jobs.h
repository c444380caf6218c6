#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_REPLICATED_JOBS_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_REPLICATED_JOBS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "consensus/state_machine.h"
#include "jobs/job_store.h"

namespace wigeonstair::scheduler {

// The job store of this host: the replicated log writes it, the scheduler's
// loop reads it. Thread-safe.
class ReplicatedJobs final : public consensus::StateMachine {
 public:
  // `on_applied` runs after each command, without the lock, on the thread that
  // applies the log.
  ReplicatedJobs(std::function<void()> on_applied,
                 std::shared_ptr<base::EventLog> log);

  std::string Apply(std::uint64_t index, std::string_view command) override;
  std::string Snapshot() const override;
  base::Result<std::monostate> Restore(std::string_view snapshot) override;

  // Calls `reader` with the store and returns its result. The reader must keep
  // no references.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const std::lock_guard lock(mutex_);
    return std::forward<Reader>(reader)(store_);
  }

  // For an object that reads the store only within Read().
  const jobs::JobStore& store() const { return store_; }

 private:
  const std::function<void()> on_applied_;
  const std::shared_ptr<base::EventLog> log_;
  mutable std::mutex mutex_;
  jobs::JobStore store_;
};

// What a committed command did.
jobs::CommandReply ReplyOf(const std::string& result);

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_REPLICATED_JOBS_H_
