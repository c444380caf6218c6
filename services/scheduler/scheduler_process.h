#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_SCHEDULER_PROCESS_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_SCHEDULER_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/result.h"
#include "jobs/api.h"
#include "jobs/dispatcher.h"
#include "net/address.h"
#include "services/scheduler/worker_port.h"

namespace wigeonstair::scheduler {

// Whether this host starts as part of a new group or of an existing one.
enum class GroupStart { kNew, kExisting };

struct SchedulerOptions {
  // The address at which this host receives messages; also its host id in the
  // group.
  net::Address messages;
  // Message addresses of the hosts that form a new group; later used to find
  // the leader.
  std::vector<std::string> seeds;
  GroupStart start = GroupStart::kExisting;
  std::string data_folder;
  // The failure domain of this host.
  base::DomainId domain;
  // Number of hosts that may be lost at the same time, including their disks.
  // Determines the number of voters.
  std::size_t tolerated_losses = 1;
  // Name of the deployment; frames that carry another name are refused.
  std::string cluster;
  jobs::DispatcherOptions dispatcher;
  // Must outlive the process object.
  WorkerPort* workers = nullptr;
  std::shared_ptr<base::EventLog> log;
  base::CounterRegistry* counters = nullptr;
};

// A scheduler without its interfaces to workers and operators: holds the
// replicated state, makes scheduling decisions and serves calls from schedulers
// and gateways. Thread-safe.
class SchedulerProcess {
 public:
  static base::Result<std::unique_ptr<SchedulerProcess>> create(
      SchedulerOptions options);
  ~SchedulerProcess();
  SchedulerProcess(const SchedulerProcess&) = delete;
  SchedulerProcess& operator=(const SchedulerProcess&) = delete;

  // Executes a call on this host if it leads, and forwards it to the leader
  // otherwise. `done` runs exactly once.
  void Call(const jobs::Call& call,
            base::Duration timeout,
            std::function<void(jobs::Reply)> done);
  // Whether a request that is read now may have waited while this process was
  // frozen.
  bool MayHaveWaited() const;
  // Message address of the leader, or empty if no leader is known.
  std::string leader() const;
  // Adds message addresses at which to look for the leader, such as those from
  // reloaded settings.
  void AddSeeds(const std::vector<std::string>& seeds);
  // Before a planned shutdown: transfers the leadership, and the vote of this
  // host to a member without one, so that the group tolerates as many losses as
  // before. Blocks for at most `timeout`.
  void Drain(base::Duration timeout);

 private:
  struct Implementation;
  explicit SchedulerProcess(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_SCHEDULER_PROCESS_H_
