#ifndef WIGEONSTAIR_SERVICES_CONTROL_ASSIGNMENT_CONTROLLER_H_
#define WIGEONSTAIR_SERVICES_CONTROL_ASSIGNMENT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "base/event_log.h"
#include "base/strong_id.h"
#include "cluster/assignment_plan.h"
#include "cluster/host_supervision.h"
#include "services/control/cluster_access.h"
#include "services/control/replicated_cluster.h"

namespace wigeonstair::control {

struct AssignmentControllerOptions {
  // All outlive the controller.
  ClusterAccess* access = nullptr;
  const ReplicatedCluster* cluster = nullptr;
  std::shared_ptr<base::EventLog> event_log;
  // Whether this host leads the group `cluster`. More than one host may believe
  // so; the log accepts only one assignment of a job.
  std::function<bool()> is_leader;
  // Domains whose authority is alive.
  std::function<std::set<base::DomainId>()> reachable_domains;
  // Domains that are out and have provably stopped starting tasks, though no
  // authority there answers.
  std::function<std::set<base::DomainId>()> stopped_domains;
  std::function<cluster::HostObservation()> observe_hosts;
};

// What the leader of the group decides for all domains: it gives queued jobs to
// failure domains, and suspends lost hosts. Thread-safe.
class AssignmentController {
 public:
  explicit AssignmentController(AssignmentControllerOptions options);

  // Called every 100 ms.
  void Tick();

 private:
  // An empty plan is not made again before something has changed, because it
  // costs a look at every queued job.
  std::vector<cluster::PlannedAssignment> Plan(
      const cluster::AssignmentInput& input);
  void Propose(const cluster::PlannedAssignment& planned);
  void SuperviseHosts();

  const AssignmentControllerOptions options_;
  std::mutex mutex_;
  std::set<base::JobId> in_flight_;
  bool host_change_in_flight_ = false;

  struct EmptyPlan {
    std::uint64_t change = 0;
    cluster::AssignmentInput input;
  };
  // Used by Tick() alone.
  std::optional<EmptyPlan> nothing_to_do_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_ASSIGNMENT_CONTROLLER_H_
