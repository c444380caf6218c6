#ifndef WIGEONSTAIR_SERVICES_CONTROL_LOG_ACCESS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_LOG_ACCESS_H_

#include <functional>

#include "base/monotonic_clock.h"
#include "consensus/replica_runtime.h"
#include "net/event_loop.h"
#include "services/control/cluster_access.h"

namespace wigeonstair::control {

// ClusterAccess through the replica of this host. Thread-safe.
class LogAccess final : public ClusterAccess {
 public:
  // Both must outlive the object.
  LogAccess(consensus::ReplicaRuntime& replica,
            net::EventLoop& loop,
            base::Duration timeout);

  void Propose(cluster::Command command,
               std::function<void(CommandOutcome)> done) override;
  void ReadBarrier(
      std::function<void(std::variant<std::monostate, base::Error>)> done)
      override;

 private:
  consensus::ReplicaRuntime& replica_;
  net::EventLoop& loop_;
  const base::Duration timeout_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_LOG_ACCESS_H_
