#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_PLACEMENT_LOOP_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_PLACEMENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "consensus/replica_runtime.h"
#include "jobs/dispatcher.h"
#include "net/event_loop.h"
#include "services/scheduler/replicated_jobs.h"
#include "services/scheduler/round_pacer.h"
#include "services/scheduler/worker_port.h"

namespace wigeonstair::scheduler {

struct PlacementLoopOptions {
  // The pointers must outlive the placement loop.
  net::EventLoop* loop = nullptr;
  ReplicatedJobs* jobs = nullptr;
  WorkerPort* workers = nullptr;
  base::CounterRegistry* counters = nullptr;
  std::shared_ptr<base::EventLog> log;
  jobs::DispatcherOptions dispatcher;
  // Same as consensus::ReplicaTiming::lease: a leader that a majority confirmed
  // within this time knows that no other leader can have been elected.
  base::Duration leader_lease = consensus::ReplicaTiming().lease;
};

// Drives the dispatcher while this host leads: feeds it events and executes its
// actions. All methods except ScheduleRound() run on the event-loop thread.
class PlacementLoop {
 public:
  explicit PlacementLoop(PlacementLoopOptions options);

  // Starts the periodic rounds. `replica` must outlive the placement loop.
  void Start(consensus::ReplicaRuntime& replica);
  // Schedules a scheduling round after a short delay, unless one is already
  // scheduled. Thread-safe.
  void ScheduleRound();
  // Whether this host leads and its lease is valid now.
  bool IsLeader() const;

  // Calls `use` with the dispatcher and the job store while the lock of the
  // store is held.
  template <typename User>
  auto WithDispatcher(User&& use) {
    return options_.jobs->Read(
        [&](const jobs::JobStore& store) { return use(dispatcher_, store); });
  }

  jobs::Now CurrentTime() const;

 private:
  // The rounds since the last publication.
  struct RoundLoad {
    std::uint64_t rounds = 0;
    base::Duration total{};
    base::Duration longest{};
  };

  void UpdateLeadership();
  void BeginTerm(std::uint64_t term);
  void Resign(std::string_view reason);
  // Runs the scheduled round, or schedules it again while rounds must pause.
  void RunPostedRound();
  void RunRound();
  bool HasLease(std::uint64_t term) const;
  void Execute(const jobs::Action& action);
  void Execute(const jobs::StartAction& action);
  void Execute(const jobs::StopAction& action);
  void Execute(const jobs::HoldAction& action);
  void Execute(const jobs::ProposeAction& action);
  void LogDecision(const jobs::Decision& decision);
  void PublishLoad(const jobs::Dispatcher& dispatcher, const jobs::Now& now);
  void PublishRunTimes(const jobs::RunTimeModel& model);
  // Sets a gauge for each reason, and those of other reasons to zero.
  void PublishReasons(const std::string& name,
                      const std::map<std::string_view, std::size_t>& counts);
  // What the customers with a cap have running, and their caps.
  void PublishCustomers(const jobs::Dispatcher& dispatcher);

  const PlacementLoopOptions options_;
  consensus::ReplicaRuntime* replica_ = nullptr;
  jobs::Dispatcher dispatcher_;
  std::atomic<bool> round_posted_{false};
  // The term for which TakeOver was last proposed, so that it is proposed once
  // per term; reset to 0 when the proposal fails, so that the next round
  // retries it.
  std::uint64_t attempted_term_ = 0;
  // The term in which this host leads; 0 while it does not lead.
  std::uint64_t led_term_ = 0;
  base::Instant last_job_removal_{};
  base::Instant last_publication_{};
  RoundPacer pacer_;
  RoundLoad load_;
  // By name and reason.
  std::map<std::pair<std::string, std::string>, base::Gauge*> reason_gauges_;
  std::set<base::CustomerId> published_customers_;
  base::LatencyHistogram& round_latency_;
  base::LatencyHistogram& start_call_latency_;
  base::Counter& starts_;
  base::Counter& refused_starts_;
  base::Counter& unexpected_runs_;
  base::Counter& unreadable_rows_;
  base::Counter& foreign_rows_;
  base::Gauge& waiting_tasks_;
  base::Gauge& runs_;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_PLACEMENT_LOOP_H_
