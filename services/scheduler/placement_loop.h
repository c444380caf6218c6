#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_PLACEMENT_LOOP_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_PLACEMENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "consensus/replica_runtime.h"
#include "jobs/dispatcher.h"
#include "net/event_loop.h"
#include "services/scheduler/replicated_jobs.h"
#include "services/scheduler/worker_port.h"

namespace wigeonstair::scheduler {

struct PlacementLoopOptions {
  // All outlive the loop.
  net::EventLoop* loop = nullptr;
  ReplicatedJobs* jobs = nullptr;
  WorkerPort* workers = nullptr;
  base::CounterRegistry* counters = nullptr;
  std::shared_ptr<base::EventLog> log;
  jobs::DispatcherOptions dispatcher;
  // As consensus::ReplicaTiming::lease: a majority confirmed this leader within
  // it, and no other can be elected before it has passed.
  base::Duration leader_lease = consensus::ReplicaTiming().lease;
};

// Drives the dispatcher while this host leads: feeds it events and carries out
// its actions. All methods but ScheduleRound() run on the thread of the loop.
class PlacementLoop {
 public:
  explicit PlacementLoop(PlacementLoopOptions options);

  // Begins to work; `replica` outlives the loop.
  void Start(consensus::ReplicaRuntime& replica);
  // Runs a round of decisions soon. Thread-safe.
  void ScheduleRound();
  // Whether this host leads and its lease is in force now.
  bool Leads() const;

  // Calls `use` with the dispatcher while the store does not change.
  template <typename User>
  auto With(User&& use) {
    return options_.jobs->Read(
        [&](const jobs::JobStore& store) { return use(dispatcher_, store); });
  }

  jobs::Now Time() const;

 private:
  void FollowRole();
  void BeginTerm(std::uint64_t term);
  void Resign(std::string_view reason);
  void Round();
  bool HoldsLease(std::uint64_t term) const;
  void CarryOut(const jobs::Action& action);
  void CarryOut(const jobs::StartAction& action);
  void CarryOut(const jobs::StopAction& action);
  void CarryOut(const jobs::HoldAction& action);
  void CarryOut(const jobs::ProposeAction& action);
  void Log(const jobs::Decision& decision);

  const PlacementLoopOptions options_;
  consensus::ReplicaRuntime* replica_ = nullptr;
  jobs::Dispatcher dispatcher_;
  std::atomic<bool> round_posted_{false};
  // Terms are tried once each; 0 before the first.
  std::uint64_t tried_term_ = 0;
  std::uint64_t led_term_ = 0;
  base::Instant last_forget_{};
  base::LatencyHistogram& round_time_;
  base::LatencyHistogram& start_call_time_;
  base::Counter& starts_;
  base::Counter& refused_starts_;
  base::Gauge& waiting_tasks_;
  base::Gauge& runs_;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_PLACEMENT_LOOP_H_
