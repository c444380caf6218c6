#ifndef WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "jobs/actions.h"
#include "jobs/job_store.h"
#include "jobs/planner.h"
#include "jobs/run_times.h"

namespace wigeonstair::jobs {

// A job earns less after its objective and nothing after this multiple of it.
inline constexpr double kZeroValueFactor = 3;

struct DispatcherOptions {
  // The longest lease that a worker gives.
  base::Duration longest_lease = std::chrono::seconds(6);
  // The members of a gang must be present within this time of the first.
  base::Duration gang_wait = std::chrono::seconds(3);
  // How much longer tasks take away from their rack.
  double remote_factor = 3;
  // A start may be sent so long before the due time of its occurrence.
  base::Duration early_start = std::chrono::milliseconds(100);
  // Between two heartbeats of a worker.
  base::Duration heartbeat = std::chrono::milliseconds(1500);
};

// A decision and why it was made, for the log.
struct Decision {
  std::string_view kind;
  TaskRef task;
  std::uint32_t attempt = 0;
  base::WorkerId worker;
  std::string reason;
  base::Duration input_age{};
};

struct Now {
  // For leases and timeouts.
  base::Instant instant;
  // Milliseconds since the Unix epoch, for due times and records.
  std::uint64_t wall_ms = 0;
};

// Decides what runs where while this host leads the group. Pure: the owner
// feeds events with the current time and carries out the actions in their
// order. A start is sent only after its placement is committed, so a new leader
// knows from the log each worker that a task may run on.
class Dispatcher {
 public:
  // `store` outlives the object and changes only between calls.
  Dispatcher(const JobStore& store, DispatcherOptions options);

  // This host leads under `fencing_token` and has applied all that was
  // committed before.
  void Lead(std::uint64_t fencing_token, const Now& now);
  // Another host may lead; forgets everything that is not durable.
  void Resign();
  bool leads() const { return fencing_token_ != 0; }

  // A heartbeat. Returns whether its contents are worth a RecordWorker command
  // first.
  bool NeedsRecord(const WorkerDescription& worker) const;
  void OnHeartbeat(const WorkerDescription& worker,
                   std::optional<std::uint64_t> clock_ms,
                   const Now& now);

  void OnProposed(std::uint64_t id, bool committed, const Now& now);
  void OnStartAnswer(const StartAction& call,
                     const CallAnswer& answer,
                     const Now& now);
  void OnStopAnswer(const StopAction& call,
                    const CallAnswer& answer,
                    const Now& now);
  void OnHoldAnswer(const HoldAction& call,
                    base::Instant sent_at,
                    const HoldAnswer& answer,
                    const Now& now);
  // Makes all decisions that are due. Called often, and soon after each event
  // and each applied command.
  void Tick(const Now& now);

  std::vector<Action> TakeActions();
  std::vector<Decision> TakeDecisions();

  // When a job that comes now would end only after it is worth nothing, the
  // time after which it should come again. Urgent jobs are always taken.
  std::optional<base::Duration> CheckAdmission(const QueuePolicy& policy,
                                               const std::string& queue,
                                               const JobRecord& job,
                                               const Now& now) const;

  // For tests and metrics.
  std::size_t run_count() const { return runs_.size(); }
  std::size_t waiting_tasks() const { return waiting_tasks_; }

 private:
  enum class RunPhase {
    // The placement is not committed yet.
    kProposed,
    // Start calls are sent until one is answered.
    kStarting,
    kRunning,
    // A stop is being sent, or was accepted and its end is not listed yet.
    kStopping,
    // The end is not committed yet.
    kEnding,
  };

  struct Run {
    RunPhase phase = RunPhase::kProposed;
    WorkerIncarnation worker;
    Resources resources;
    bool gang = false;
    bool checkpointing = false;
    bool remote = false;
    std::uint32_t priority = 0;
    base::CustomerId customer;
    std::string queue;
    base::Instant placed_at;
    // When the first start was sent; the gang's wait begins then.
    std::optional<base::Instant> first_sent_at;
    std::optional<base::Instant> running_since;
    // A list that was asked for later shows the run if it exists.
    std::optional<base::Instant> settled_at;
    bool call_in_flight = false;
    int starts_sent = 0;
    base::Instant next_call_at;
    // The task must not be reported as ended: a later list will tell.
    bool stop_accepted = false;
    std::uint32_t percent = 0;
    // When the percent or the checkpoint last changed.
    base::Instant progress_at;
    // A sample of the percent from which the speed is taken.
    std::optional<base::Instant> sampled_at;
    std::uint32_t sampled_percent = 0;
    // Percent a second between the last two samples.
    std::optional<double> speed;
    std::string checkpoint;
  };

  struct Worker {
    WorkerDescription description;
    // Of the last report or answer.
    base::Instant heard_at;
    // Of the last answer to a call; leases are extended only after one.
    base::Instant answered_at;
    // The worker's clock when it was last heard.
    std::optional<std::uint64_t> clock_ms;
    base::Instant clock_at;
    // The longest lease that it was told, on its clock; 0 when unknown.
    std::uint64_t lease_until_ms = 0;
    // Nothing there can run longer; on this host's clock.
    base::Instant lease_bound;
    std::uint64_t acknowledged_end = 0;
    std::uint64_t confirmed_end = 0;
    bool hold_in_flight = false;
    bool listed_in_term = false;
    base::Instant next_hold_at;
    // Commands for its ends that are not committed yet.
    bool ends_in_flight = false;
    // Evidence against it: failures, refusals and silences since the last
    // success.
    int failures = 0;
    base::Instant avoid_until;
    // Of the last call that it did not answer; empty after an answer.
    std::optional<base::Instant> unanswered_at;
    bool removal_proposed = false;
  };

  // A run that a call was about, and its worker.
  struct AnsweredRun {
    Run& run;
    Worker& worker;
  };

  struct PendingEnds {
    // Empty when no list led to them.
    base::WorkerId worker;
    std::uint64_t born = 0;
    std::uint64_t last_number = 0;
    std::vector<RunKey> runs;
  };

  using Pending = std::variant<std::vector<RunKey>, PendingEnds>;

  struct ReadyStep {
    StepRef step;
    const JobRecord* job = nullptr;
    const StepSpec* spec = nullptr;
    std::vector<std::uint32_t> waiting;
    std::uint64_t due_ms = 0;
    std::uint64_t objective_ms = 0;
    double work_ms = 0;
  };

  // Whether a step that started now would end in time.
  enum class Urgency { kInTime, kLate, kZeroValue };

  // Rooms that refused a gang of a shape refuse larger ones of it as well.
  using Shape = std::tuple<Resources, std::string, std::string, bool, bool>;

  // A round of placement.
  struct Round {
    std::vector<CandidateWorker> workers;
    std::vector<Placement> placements;
    // By shape, the fewest tasks of a step that found no place.
    std::map<Shape, std::uint32_t> refused;
    int reservations = 0;
    // Made for the first reservation.
    std::optional<std::vector<Allocation>> allocations;
  };

  // Runs that are stopped together.
  struct Victim {
    StepRef step;
    // Core-seconds of work that are lost.
    double lost = 0;
    std::vector<RunKey> runs;
  };

  // Room that an urgent step gets once its victims have ended.
  struct Claim {
    // One for each task.
    std::vector<WorkerIncarnation> task_workers;
    Resources task;
    // When the step looks for other room.
    base::Instant until;
  };

  // dispatcher.cc
  void Propose(Command command, std::optional<Pending> pending);
  void RecordDecision(std::string_view kind,
                      const RunKey& run,
                      const base::WorkerId& worker,
                      std::string reason,
                      base::Duration input_age = {});
  Worker* FindWorker(const WorkerIncarnation& incarnation);
  const Worker* FindWorker(const WorkerIncarnation& incarnation) const;
  void SyncWorkers(const Now& now);
  void AdoptRuns(const Now& now);
  std::uint64_t ClockOf(const Worker& worker, const Now& now) const;
  void RecordClock(Worker& worker, std::uint64_t clock_ms, const Now& now);
  void ExtendLeaseBound(Worker& worker,
                        std::uint64_t lease_until_ms,
                        const Now& now);

  // dispatcher_runs.cc
  // The run that an answer is about, if it is still in the phase in which the
  // call was sent. Notes that the worker answered.
  template <typename Call>
  std::optional<AnsweredRun> FindAnswered(const Call& call,
                                          RunPhase phase,
                                          const CallAnswer& answer,
                                          const Now& now);
  void AddRun(const Placement& placement, const Now& now);
  void EraseRun(std::map<RunKey, Run>::iterator run);
  void AdvanceRuns(const Now& now);
  // Why a run that the worker accepted must be stopped, if it must.
  std::optional<std::string> StopReasonOfRunning(const RunKey& key,
                                                 const Run& run,
                                                 const Now& now);
  void SendStart(const RunKey& key, Run& run, const Now& now);
  void SendStop(const RunKey& key, Run& run, const Now& now);
  bool MayStart(const RunKey& key, const Run& run, const Now& now) const;
  std::optional<std::string> StopReason(const RunKey& key,
                                        const Run& run,
                                        const Now& now) const;
  void RequestStop(const RunKey& key,
                   Run& run,
                   std::string reason,
                   const Now& now);
  void StopGang(const RunKey& member,
                const std::string& reason,
                const Now& now);
  void ReturnRuns(const std::vector<RunKey>& keys,
                  std::string_view reason,
                  const Now& now);
  std::string GangCheckpoint(const TaskRef& task) const;

  // dispatcher_health.cc
  void RecordAnswer(Worker& worker, const Now& now);
  void RecordUnanswered(Worker& worker, const Now& now);
  // Domains in which several workers stopped to answer a moment ago.
  std::set<base::DomainId> UnresponsiveDomains(const Now& now) const;
  void Sample(Run& run, std::uint32_t percent, const Now& now);
  std::optional<std::string> DetectStall(const RunKey& key,
                                         const Run& run,
                                         const Now& now) const;
  bool IsSlowestOfStep(const RunKey& key, double speed) const;

  // dispatcher_lists.cc
  void SendDueHolds(const Now& now);
  bool HasStartedRuns(const WorkerIncarnation& worker) const;
  void SendHold(Worker& worker, std::uint32_t wait_ms, const Now& now);
  void ProcessEnds(Worker& worker,
                   const HoldAnswer::Lists& lists,
                   const Now& now);
  void ReconcileRuns(Worker& worker,
                     base::Instant sent_at,
                     const HoldAnswer::Lists& lists,
                     const Now& now);
  void ExpireWorkers(const Now& now);
  void UpdateStatistics(const ListedEnd& end, Worker& worker, const Now& now);

  // dispatcher_placement.cc, dispatcher_reserve.cc, dispatcher_preempt.cc and
  // dispatcher_admission.cc
  void PlaceRound(const Now& now);
  static Shape ShapeOf(const ReadyStep& ready, RackRule rule);
  std::vector<CandidateWorker> CandidateWorkers(const Now& now) const;
  // What holds room, with positions of `rooms`.
  std::vector<Allocation> Allocations(
      const std::vector<CandidateWorker>& workers,
      const Now& now) const;
  double RemainingMs(const RunKey& key, const Run& run, const Now& now) const;
  void UpdateUrgentDemand(const std::vector<ReadyStep>& ready, const Now& now);
  // Accelerators to keep free for urgent work that is expected.
  std::uint64_t UrgentReserve(
      const std::vector<CandidateWorker>& workers) const;
  static bool IsBusy(const std::vector<CandidateWorker>& workers);
  void Reserve(const ReadyStep& ready,
               const std::vector<Allocation>& allocations,
               std::vector<CandidateWorker>& workers) const;
  PlanRequest RequestOf(const ReadyStep& ready) const;
  std::vector<ReadyStep> ReadySteps(const Now& now) const;
  std::vector<std::uint32_t> TasksPerWorker(
      const std::vector<CandidateWorker>& workers,
      const StepRef& step) const;
  static Urgency UrgencyOf(const ReadyStep& ready, const Now& now);
  static void SortByUrgency(std::vector<ReadyStep>& ready, const Now& now);
  void PlaceOrPreempt(ReadyStep& ready, Round& round, const Now& now);
  bool PlaceStep(ReadyStep& ready, RackRule rule, Round& round, const Now& now);
  void Commit(const ReadyStep& ready,
              const Plan& plan,
              Round& round,
              const Now& now);
  std::vector<Victim> Victims(const Now& now) const;
  void StopVictims(const std::vector<Victim>& victims,
                   const std::vector<CandidateWorker>& workers,
                   const Plan& plan,
                   const ReadyStep& ready,
                   const Now& now);
  void ApplyClaims(const std::vector<ReadyStep>& ready,
                   std::vector<CandidateWorker>& workers,
                   const Now& now);
  void PlaceClaimed(ReadyStep& ready,
                    RackRule rule,
                    Round& round,
                    const Now& now);
  bool IsGuaranteed(const ReadyStep& ready) const;
  bool Preempt(const ReadyStep& ready,
               RackRule rule,
               std::vector<CandidateWorker>& workers,
               const Now& now);
  std::map<base::CustomerId, std::uint64_t> GuaranteedUse() const;
  RackRule RackRuleFor(const ReadyStep& ready,
                       const std::vector<CandidateWorker>& workers,
                       const Now& now) const;
  double BacklogMs(std::uint32_t priority, const Now& now) const;
  double ExpectedTaskMs(const JobRecord& job, std::uint32_t step) const;
  double CriticalPathMs(const std::string& queue, const JobSpec& spec) const;

  const JobStore& store_;
  const DispatcherOptions options_;
  // 0 while another host leads.
  std::uint64_t fencing_token_ = 0;
  std::map<base::WorkerId, Worker> workers_;
  // Of the store, when it was taken over.
  std::uint64_t worker_revision_ = 0;
  std::map<RunKey, Run> runs_;
  // The same by worker: an answer of a worker concerns only its own.
  std::map<WorkerIncarnation, std::set<RunKey>> runs_by_worker_;
  // When the running tasks are checked next.
  base::Instant next_sweep_at_{};
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t last_proposal_ = 0;
  RunTimes run_times_;
  std::size_t waiting_tasks_ = 0;
  std::map<StepRef, Claim> claims_;
  // Of the present round: accelerators that the open jobs of priority 0 of each
  // customer need.
  std::map<base::CustomerId, std::uint64_t> guaranteed_use_;
  // When the next round of placement may begin.
  base::Instant next_placement_at_{};
  // The demand of urgent jobs and its highest recent value, in accelerators.
  double urgent_demand_ = 0;
  double urgent_peak_ = 0;
  base::Instant urgent_peak_at_{};
  std::vector<Action> actions_;
  std::vector<Decision> decisions_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_H_
