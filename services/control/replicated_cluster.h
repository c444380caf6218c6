#ifndef WIGEONSTAIR_SERVICES_CONTROL_REPLICATED_CLUSTER_H_
#define WIGEONSTAIR_SERVICES_CONTROL_REPLICATED_CLUSTER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/event_log.h"
#include "cluster/cluster_state.h"
#include "cluster/view_history.h"
#include "consensus/state_machine.h"
#include "services/control/job_changes.h"

namespace wigeonstair::control {

// The cluster state of this host: the replicated log writes it and the
// controllers read it. Thread-safe.
class ReplicatedCluster final : public consensus::StateMachine {
 public:
  explicit ReplicatedCluster(std::shared_ptr<base::EventLog> event_log);

  std::string Apply(std::uint64_t index, std::string_view command) override;
  std::string Snapshot() const override;
  base::Result<std::monostate> Restore(std::string_view snapshot) override;

  // Calls `reader` with the state and returns its result. The reader must not
  // keep references.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    std::shared_lock lock(mutex_);
    return std::forward<Reader>(reader)(
        static_cast<const cluster::ClusterState&>(state_));
  }

  // Calls `reader` with the state and with the jobs that the changes after
  // `change` were about, and returns its result. Without the jobs, all have to
  // be compared. See JobChanges.
  template <typename Reader>
  auto ReadChanges(std::uint64_t change, Reader&& reader) const {
    std::shared_lock lock(mutex_);
    return std::forward<Reader>(reader)(
        static_cast<const cluster::ClusterState&>(state_),
        job_changes_.Since(change));
  }

  cluster::ViewReply AnswerView(const cluster::ViewRequest& request) const;

  // Rises with every applied command, so that a controller can tell cheaply
  // that nothing has changed.
  std::uint64_t change_count() const {
    return change_count_.load(std::memory_order_acquire);
  }
  // The revision that is in force on this host.
  std::uint64_t revision() const {
    return revision_.load(std::memory_order_acquire);
  }

 private:
  void Publish();

  const std::shared_ptr<base::EventLog> event_log_;
  mutable std::shared_mutex mutex_;
  cluster::ClusterState state_;
  cluster::ViewHistory views_;
  JobChanges job_changes_;
  std::atomic<std::uint64_t> change_count_{0};
  std::atomic<std::uint64_t> revision_{0};
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_REPLICATED_CLUSTER_H_
