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

// Whether this start forms a new group, or belongs to one that exists.
enum class GroupStart { kNew, kExisting };

struct SchedulerOptions {
  // The message address of this host, which also names it in the group.
  net::Address messages;
  // Message addresses of the hosts that form a new group, and of hosts to ask
  // later on.
  std::vector<std::string> seeds;
  GroupStart start = GroupStart::kExisting;
  std::string data_folder;
  // The failure domain of this host.
  base::DomainId domain;
  // Hosts that may be lost at once with their disks; sets how many vote.
  std::size_t tolerated_losses = 1;
  // Frames of other deployments are refused.
  std::string cluster;
  jobs::DispatcherOptions dispatcher;
  // Outlives the process object.
  WorkerPort* workers = nullptr;
  std::shared_ptr<base::EventLog> log;
  base::CounterRegistry* counters = nullptr;
};

// A scheduler without its interfaces to workers and operators: the replicated
// state, the decisions and the calls between schedulers and gateways.
// Thread-safe.
class SchedulerProcess {
 public:
  static base::Result<std::unique_ptr<SchedulerProcess>> create(
      SchedulerOptions options);
  ~SchedulerProcess();
  SchedulerProcess(const SchedulerProcess&) = delete;
  SchedulerProcess& operator=(const SchedulerProcess&) = delete;

  // Carries a call out, here or on the scheduler that leads. `done` runs once.
  void Call(const jobs::Call& call,
            base::Duration timeout,
            std::function<void(jobs::Reply)> done);
  // Message address of the leader as far as it is known; may be empty.
  std::string leader() const;
  // Hosts to ask for the leader, from changed settings.
  void AddSeeds(const std::vector<std::string>& seeds);
  // Hands the leadership over before a planned stop; blocks for at most
  // `timeout`.
  void Drain(base::Duration timeout);

 private:
  struct Implementation;
  explicit SchedulerProcess(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_SCHEDULER_PROCESS_H_
