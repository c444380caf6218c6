#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_CALL_SERVICE_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_CALL_SERVICE_H_

#include <functional>
#include <memory>
#include <variant>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "consensus/replica_runtime.h"
#include "jobs/api.h"
#include "net/event_loop.h"
#include "services/scheduler/member_controller.h"
#include "services/scheduler/placement_loop.h"
#include "services/scheduler/replicated_jobs.h"

namespace wigeonstair::scheduler {

using ReplyCallback = std::function<void(jobs::Reply)>;

struct CallServiceOptions {
  // The pointers must outlive the service.
  net::EventLoop* loop = nullptr;
  ReplicatedJobs* jobs = nullptr;
  PlacementLoop* placement = nullptr;
  consensus::ReplicaRuntime* replica = nullptr;
  MemberController* members = nullptr;
  base::CounterRegistry* counters = nullptr;
  std::shared_ptr<base::EventLog> log;
};

// Executes API calls on the leading scheduler. Runs on the event-loop thread;
// reply callbacks run there as well.
class CallService {
 public:
  explicit CallService(CallServiceOptions options);

  // Replies with kUnavailable unless this scheduler leads and its lease is
  // valid.
  void Handle(const jobs::Call& call, ReplyCallback reply);

 private:
  void Execute(const jobs::SubmitCall& call, const ReplyCallback& reply);
  void Execute(const jobs::ReadCall& call, const ReplyCallback& reply);
  void Execute(const jobs::CancelCall& call, const ReplyCallback& reply);
  void Execute(const jobs::ReportWorkerCall& call, const ReplyCallback& reply);
  void Execute(const jobs::WorkerLeftCall& call, const ReplyCallback& reply);
  // Removes a worker once its runs have ended, or replies that it has to call
  // again at `give_up_at`.
  void Deregister(const jobs::WorkerLeftCall& call,
                  const ReplyCallback& reply,
                  base::Instant give_up_at);
  void Execute(const jobs::PutConfigurationCall& call,
               const ReplyCallback& reply);
  void Execute(const jobs::ReadConfigurationCall& call,
               const ReplyCallback& reply);
  void Execute(const jobs::SetDomainServiceCall& call,
               const ReplyCallback& reply);
  void Execute(const jobs::JoinCall& call, const ReplyCallback& reply);
  void Execute(const jobs::PingCall& call, const ReplyCallback& reply);
  void Execute(const jobs::LeaveCall& call, const ReplyCallback& reply);
  // Replies once the vote of the host is released, or that it has to call again
  // at `give_up_at`.
  void ReleaseVote(const base::HostId& host,
                   const ReplyCallback& reply,
                   base::Instant give_up_at);

  // Commits a command through the replicated log and replies with `map` of its
  // result.
  void Commit(const jobs::Command& command,
              const ReplyCallback& reply,
              std::function<jobs::Reply(jobs::CommandReply)> map);
  // Linearizable read: runs `read` once every command acknowledged before this
  // call has been applied.
  void ReadAfterBarrier(const ReplyCallback& reply, std::function<void()> read);

  const CallServiceOptions options_;
  base::LatencyHistogram& accept_latency_;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_CALL_SERVICE_H_
