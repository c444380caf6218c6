#ifndef WIGEONSTAIR_SERVICES_CONTROL_CLUSTER_ACCESS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_CLUSTER_ACCESS_H_

#include <functional>
#include <variant>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "cluster/command.h"

namespace wigeonstair::control {

// The reply of the cluster log to a command, or why there is none.
// kUnavailable: the command did not and will not take effect. kTimeout: it may.
using CommandOutcome = std::variant<cluster::CommandReply, base::Error>;

// The I/O boundary between the APIs and the replicated log. Tests replace it by
// a fake.
class ClusterAccess {
 public:
  virtual ~ClusterAccess() = default;

  // `done` runs once, on any thread but not within this call.
  virtual void Propose(cluster::Command command,
                       std::function<void(CommandOutcome)> done) = 0;
  // Makes a following read of the local state linearizable; `done` gets an
  // error when no majority is reached.
  virtual void ReadBarrier(
      std::function<void(std::variant<std::monostate, base::Error>)> done) = 0;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_CLUSTER_ACCESS_H_
