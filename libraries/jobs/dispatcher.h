#ifndef WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <limits>
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
#include "jobs/api.h"
#include "jobs/customer_cap.h"
#include "jobs/decision.h"
#include "jobs/dispatcher_options.h"
#include "jobs/dispatcher_state.h"
#include "jobs/job_store.h"
#include "jobs/open_job_index.h"
#include "jobs/placement_history.h"
#include "jobs/planner.h"
#include "jobs/resource_share.h"
#include "jobs/run_existence.h"
#include "jobs/run_times.h"

namespace wigeonstair::jobs {

// A job has reduced value after its objective and none after this multiple of
// it.
inline constexpr double kZeroValueFactor = 3;

// Places, starts, stops and supervises tasks while this host leads the group.
// Performs no I/O: the owner passes in events with the current time and
// executes the actions in order. A start is sent only after its placement is
// committed, so a new leader finds every worker that may run a task in the log.
class Dispatcher {
 public:
  // `store` outlives the dispatcher and changes only between calls.
  Dispatcher(const JobStore& store, DispatcherOptions options);

  // Starts leading in `term`. The host must have applied all commands that were
  // committed before; `placements` is what it knows of them.
  void Lead(std::uint64_t term,
            const PlacementHistory& placements,
            const Now& now);
  // Stops leading, since another host may lead now. Drops all state that is not
  // in the store.
  void Resign();
  bool leads() const { return term_ != 0; }

  // Whether a heartbeat differs from the recorded description, so that a
  // RecordWorker command must be proposed before OnHeartbeat.
  bool NeedsRecord(const WorkerDescription& worker) const;
  void OnHeartbeat(const ReportWorkerCall& report, const Now& now);

  // A worker ends as soon as its deregistration is acknowledged. Stops its
  // runs, which saves their work, and returns whether it may be acknowledged.
  bool OnDeregistering(const WorkerIncarnation& worker, const Now& now);

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
  // Makes all decisions that are due. Called periodically, and soon after each
  // event and each applied command.
  void Tick(const Now& now);

  std::vector<Action> TakeActions();
  std::vector<Decision> TakeDecisions();
  // Number of rows that no sound worker lists, since the last call.
  std::size_t TakeForeignRows() { return std::exchange(foreign_rows_, 0); }

  // Returns empty when a job submitted now is admitted. When it would end only
  // after its value has dropped to zero, returns the time after which the
  // caller should submit it again. Urgent jobs are always admitted.
  std::optional<base::Duration> CheckAdmission(const QueuePolicy& policy,
                                               const std::string& queue,
                                               const JobRecord& job,
                                               const Now& now);

  // For tests and metrics.
  std::size_t run_count() const { return runs_.size(); }
  // Numbers of steps that wait and of workers that get no tasks, by reason, as
  // of the last sample. Sampled once a second.
  const std::map<std::string_view, std::size_t>& waiting_steps() const {
    return waiting_steps_;
  }
  const std::map<std::string_view, std::size_t>& unused_workers() const {
    return unused_workers_;
  }
  std::size_t waiting_tasks() const { return waiting_tasks_; }
  const CustomerCaps& caps() const { return caps_; }
  const CustomerAccounts& accounts() const { return accounts_; }
  CustomerAccounts RecountAccounts() const;  // A sum over all runs, for tests.
  // The name of what differs from a computation from scratch, or empty. For
  // tests.
  std::string_view FindStaleState(const Now& now);

 private:
  struct Worker;

  struct Run {
    RunPhase phase = RunPhase::kProposed;
    WorkerIncarnation worker;
    Resources resources;
    // The worker does not have the run but may still begin it; `resources` is
    // empty.
    bool room_released = false;
    Resources cap_demand;
    bool gang = false;
    bool long_running = false;
    bool checkpointing = false;
    bool remote = false;
    std::uint32_t priority = 0;
    base::CustomerId customer;
    std::string queue;
    base::Instant placed_at;
    // When the first start was sent; the gang wait is measured from then.
    std::optional<base::Instant> first_sent_at;
    std::optional<base::Instant> running_since;
    StartHistory starts;
    // Set when the worker's answer shows whether the run exists. A list
    // requested after this time contains the run if it exists.
    std::optional<base::Instant> settled_at;
    bool call_in_flight = false;
    base::Instant next_call_at;
    // The worker accepted the stop. The run may not have ended yet; a later
    // list shows its end.
    bool stop_accepted = false;
    std::uint32_t percent = 0;
    // When `percent` or `checkpoint` last changed.
    base::Instant progress_at;
    // When the worker last listed the run.
    std::optional<base::Instant> listed_at;
    // The last sample of `percent`, from which `speed` is computed.
    std::optional<base::Instant> sampled_at;
    std::uint32_t sampled_percent = 0;
    // Percent per second between the last two samples.
    std::optional<double> speed;
    // Time between these samples.
    double sample_seconds = 0;
    std::string checkpoint;
    // Written by WorkerOf only.
    Worker* recorded_worker = nullptr;
    std::uint64_t worker_revision = 0;
  };

  // What the runs of a step have in common in AdvanceRuns.
  struct CheckedStep {
    // Null when not known.
    const JobRecord* job = nullptr;
    // Null when none was placed.
    const std::vector<TaskProgress>* tasks = nullptr;
    // The attempt under which all members of a gang are placed, or empty.
    std::optional<std::uint32_t> whole_attempt;
    // No run of the step is faster; infinite when their speeds are not known.
    double fastest = std::numeric_limits<double>::infinity();
  };

  // A run of AdvanceRuns.
  struct CheckedRun {
    const RunKey& key;
    Run& run;
    const CheckedStep& step;
    // Null when the incarnation is not the recorded one.
    Worker* worker = nullptr;
  };

  // Part of the index of `runs_`.
  struct RunsOfWorker {
    std::map<RunKey, const Run*> runs;
    // The sum of their resources.
    Resources in_use;
  };

  struct Worker {
    WorkerDescription description;
    // Time of the last heartbeat or answer.
    base::Instant last_contact_at;
    // Time of the last answer to a call. Leases are extended only if it is
    // recent.
    base::Instant answered_at;
    // The worker's clock at `clock_at`; empty while unknown.
    std::optional<std::uint64_t> clock_ms;
    base::Instant clock_at;
    // The end of the longest lease that was sent to the worker, on its clock; 0
    // when unknown.
    std::uint64_t lease_until_ms = 0;
    // All leases on the worker have expired by then, on this host's clock.
    base::Instant lease_bound;
    std::uint64_t acknowledged_end = 0;
    std::uint64_t confirmed_end = 0;
    bool hold_in_flight = false;
    bool listed_in_term = false;
    // Higher than in any call to a former incarnation, so that calls which are
    // carried out late have no effect on this one.
    std::uint64_t fencing_token = 0;
    base::Instant next_hold_at;
    // A command with ends of this worker is not committed yet.
    bool ends_in_flight = false;
    // Failures, refusals as unhealthy and stalls since the last completed task;
    // the penalty in placement.
    int failures = 0;
    base::Instant avoid_until;
    // The worker left a start unanswered and gets no tasks until then, or until
    // it accepts one.
    base::Instant unanswered_pause_until;
    // Time of the first unanswered call since the last answer; empty after an
    // answer.
    std::optional<base::Instant> unanswered_at;
    // A heartbeat arrived after an unanswered call, so a hold can show whether
    // the worker answers again.
    bool needs_probe = false;
    std::optional<base::Instant> removal_proposed_at;
    // The worker drains and may end from then on.
    std::optional<base::Instant> leaves_at;
    // When the worker announced that it ends as soon as it is acknowledged.
    std::optional<base::Instant> deregisters_at;
    // The index in `candidates_`; empty when it gets no tasks.
    std::optional<std::size_t> candidate;
  };

  // The run that an answered call concerns, and its worker.
  struct AnsweredRun {
    Run& run;
    Worker& worker;
    // Whether the clock in the answer is that of the incarnation, not the
    // restarted one of a later incarnation.
    bool same_clock = false;
  };

  // The runs of placements, ends or confirmed starts.
  using Pending =
      std::variant<std::vector<RunKey>, PendingEnds, PendingConfirmation>;

  // What decides where a step fits: the number of its shape without those
  // properties that matter on a single worker only, and whether it must stay in
  // one rack. If a gang does not fit, no larger gang of the same shape fits.
  using Shape = std::pair<std::size_t, bool>;

  // A run that may be preempted.
  struct VictimRun {
    const RunKey* key = nullptr;
    Run* run = nullptr;
    // The candidate that it runs on; empty when its worker is none.
    std::optional<std::size_t> candidate;
  };

  // Runs that are preempted together.
  struct Victim {
    // Of the first run.
    const TaskRef* task = nullptr;
    // Of priority 0.
    bool urgent = false;
    // Lost work in core-seconds.
    double lost_work = 0;
    std::vector<VictimRun> runs;
  };

  // The state of one placement round.
  struct Round {
    std::vector<CandidateWorker> workers;
    // Of all workers.
    Resources capacity;
    Resources free;
    std::vector<Placement> placements;
    // By shape, the smallest number of tasks of a step that did not fit in this
    // round.
    std::map<Shape, std::uint32_t> refused;
    std::set<base::CustomerId> holding_cap_room;
    // By shape of the index and rack rule.
    std::map<std::pair<std::size_t, RackRule>, HopelessStep> hopeless;
    // RackCapacity by shape of the index.
    std::vector<std::optional<std::uint64_t>> rack_capacity;
    int reservations = 0;
    // Computed for the first reservation.
    std::optional<std::vector<Allocation>> allocations;
    // Computed for the first preemption after runs were added or stopped.
    std::optional<std::vector<Victim>> victims;
  };

  // dispatcher.cc
  void Propose(Command command, std::optional<Pending> pending);
  void RecordDecision(std::string_view kind,
                      const RunKey& run,
                      const WorkerIncarnation& worker,
                      std::string reason,
                      const Now& now,
                      base::Duration input_age = {});
  Worker* FindWorker(const WorkerIncarnation& incarnation);
  const Worker* FindWorker(const WorkerIncarnation& incarnation) const;
  // The same for the worker of a run; remembers it in the run.
  Worker* WorkerOf(Run& run);
  // Keep `runs_by_worker_` and `accounts_` in step with `runs_`.
  void IndexRun(const RunKey& key, const Run& run);
  void UnindexRun(const RunKey& key, const Run& run);
  void SyncWorkers(const Now& now);
  // Drops the workers that the store no longer has.
  void DropRemovedWorkers();
  void EndRemovedWorkersAt(const std::string& address);
  // When a lease that was granted by now has expired at the latest.
  base::Instant LongestLeaseBound(const Now& now) const;
  // A fencing token that is higher than all earlier ones.
  std::uint64_t NextFence();
  void AdoptRuns(const PlacementHistory& placements, const Now& now);
  std::uint64_t WorkerClockMs(const Worker& worker, const Now& now) const;
  void RecordClock(Worker& worker, std::uint64_t clock_ms, const Now& now);
  void ExtendLeaseBound(Worker& worker,
                        std::uint64_t lease_until_ms,
                        const Now& now);

  // dispatcher_runs.cc
  // Finds the run of an answered call if it is still in the phase in which the
  // call was sent. Records that the worker answered.
  template <typename Call>
  std::optional<AnsweredRun> FindAnswered(const Call& call,
                                          RunPhase phase,
                                          const CallAnswer& answer,
                                          const Now& now);
  // The only way into `runs_`. Adds nothing when the task does not exist.
  Run* AddRun(const Placement& placement, const Now& now);
  void EraseRun(std::map<RunKey, Run>::iterator run);
  // Forgets a run whose end is committed, unless its task has to wait for
  // another copy of the start.
  void OnEndCommitted(std::map<RunKey, Run>::iterator ended, const Now& now);
  // The incarnation that followed the one of a run under the same id; null when
  // none is known. Its `born` is lower when the clock of its host was set back.
  const Worker* SuccessorOf(const Run& run) const;
  // The state of the worker of a run, as ProveAbsence needs it.
  WorkerOfRun StateOfWorker(const CheckedRun& checked) const;
  void MoveToSuccessor(const RunKey& key,
                       Run& run,
                       const WorkerIncarnation& successor,
                       const Now& now);
  void AdvanceRuns(const Now& now);
  // What the runs of a step have in common. The speeds are set on request.
  CheckedStep CheckStep(const RunKey& key,
                        const JobRecord* job,
                        bool with_speeds) const;
  // Whether a member of a gang is stopped that was never seen to run, so that
  // the gang cannot become whole.
  bool IsMemberGivenUp(const StepRef& step, std::uint32_t attempt) const;
  // Returns why a run that the worker accepted must be stopped, or empty.
  std::optional<std::string> StopReasonOfRunning(const CheckedRun& checked,
                                                 const Now& now);
  void SendStart(const RunKey& key, Run& run, const Now& now);
  void SendStop(const RunKey& key, Run& run, const Now& now);
  bool MayStart(const CheckedRun& checked, const Now& now) const;
  // Notes that the only start of a run was executed, for the next leader.
  void CloseStartCall(const StartAction& call, bool repeated);
  void NoteConfirmedStart(const RunKey& key, const Run& run);
  // Writes the noted starts to the log, many at a time.
  void ProposeConfirmedStarts(const Now& now);
  // Whether a start call of a run in the phase kStarting may be sent.
  bool MaySendStart(const Run& run, const Now& now) const;
  // The same, or an earlier call that was not answered may be carried out.
  bool MayStillBegin(const Run& run, const Now& now) const;
  std::optional<std::string> StopReason(const CheckedRun& checked,
                                        const Now& now) const;
  void RequestStop(const RunKey& key,
                   Run& run,
                   std::string reason,
                   const Now& now);
  void ReturnRuns(const std::vector<RunKey>& keys,
                  std::string_view reason,
                  const Now& now);
  // The worker of the run must be recorded.
  void RecordLostAttempt(const RunKey& key, const Run& run, const Now& now);
  // Drops the lost attempts on a worker whose list, requested at `sent_at`, is
  // complete.
  void ResolveLostAttempts(const WorkerIncarnation& worker,
                           base::Instant sent_at);
  // Whether the task may have no attempt left, because attempts that were lost
  // may have failed.
  bool MayHaveUsedAttempts(const JobRecord& job,
                           const TaskRef& task,
                           const TaskProgress& progress,
                           const Now& now) const;
  // Proposes again the returns whose proposal may have been lost.
  void RetryReturns(const Now& now);
  std::string GangCheckpoint(const TaskRef& task) const;

  // dispatcher_health.cc
  void RecordAnswer(Worker& worker, const Now& now);
  void RecordUnanswered(Worker& worker, const Now& now);
  // Domains in which several workers recently left a call unanswered and none
  // has answered since.
  std::set<base::DomainId> UnresponsiveDomains(const Now& now) const;
  // Time in which a healthy run progresses far enough to judge its speed.
  base::Duration SampleInterval(const RunKey& key) const;
  void Sample(const RunKey& key,
              Run& run,
              std::uint32_t percent,
              const Now& now);
  std::optional<std::string> DetectStall(const CheckedRun& checked,
                                         const Now& now) const;
  // Whether a run that is slow beside its siblings is so because of its worker,
  // and not because its task is one that takes long.
  bool IsSlowByItsWorker(const RunKey& key,
                         const Run& run,
                         const RunTimeExpectation& expected) const;
  // The run time at the measured speed.
  static double ProjectedMs(const Run& run);
  // The shortest run time that the measured speed allows.
  static double ShortestMs(const Run& run);
  double FastestOfStep(const RunKey& key) const;
  bool IsSlowestOfStep(const RunKey& key, const Run& run) const;
  // Whether a run has to move because its worker may end before it does.
  bool MustLeaveWorker(const CheckedRun& checked, const Now& now) const;

  // dispatcher_lists.cc
  void SendDueHolds(const Now& now);
  bool HasStartedRuns(const WorkerIncarnation& worker) const;
  // How long the answer to a hold may wait for an end: not at all if a list
  // shows whether a start that was not answered began a run.
  std::uint32_t HoldWaitMs(const WorkerIncarnation& worker,
                           const Now& now) const;
  void SendHold(Worker& worker, std::uint32_t wait_ms, const Now& now);
  // Removes the rows that no sound worker lists and counts them as malformed.
  HoldAnswer::Lists RemoveForeignRows(const Worker& worker,
                                      const HoldAnswer::Lists& lists,
                                      const Now& now);
  bool Exists(const RunKey& run) const;
  void ProcessEnds(Worker& worker,
                   const HoldAnswer::Lists& lists,
                   const Now& now);
  // Adds a run that a worker lists but that the dispatcher does not expect.
  Run* AddUnexpectedRun(const RunKey& key,
                        const WorkerIncarnation& worker,
                        const Now& now);
  // Since when a list that the worker is asked for shows whether it has the
  // run; empty while a call is open or none is answered.
  static std::optional<base::Instant> AnsweredSince(const Run& run);
  // Whether no further attempt of the task will be started.
  bool IsEnded(const TaskRef& task) const;
  // Stops a run that its worker does not have but may still begin, and then
  // gives up its room.
  void WaitForLateStart(const RunKey& key, const Now& now);
  void ReconcileRuns(Worker& worker,
                     base::Instant sent_at,
                     const HoldAnswer::Lists& lists,
                     const Now& now);
  void ExpireWorkers(const Now& now);
  void RemoveEndedWorker(Worker& worker, const Now& now);
  void UpdateStatistics(const ListedEnd& end, Worker& worker, const Now& now);

  // dispatcher_explain.cc
  // Why a worker gets no new tasks, or empty.
  std::optional<std::string_view> UnusableReason(
      const Worker& worker,
      const std::set<base::DomainId>& unresponsive_domains,
      const Now& now) const;
  // Samples the reasons why steps wait and workers get no tasks.
  void ExplainWaiting(const ReadySteps& ready, Round& round, const Now& now);
  // `unreserved` are the workers without what is reserved or claimed.
  std::string_view WaitReason(
      const ReadyStep& ready,
      RackRule rule,
      const std::vector<CandidateWorker>& unreserved) const;

  // dispatcher_placement.cc, dispatcher_reserve.cc, dispatcher_preempt.cc,
  // dispatcher_caps.cc and dispatcher_admission.cc
  void PlaceRound(const Now& now);
  Shape ShapeOf(const ReadyStep& ready, RackRule rule) const;
  // The state of a round with the workers that may get tasks, in order of their
  // incarnations.
  Round BeginRound(const Now& now);
  // Sets `candidates_`.
  void UpdateCandidates(const Now& now);
  // The resources that current runs hold on the candidates.
  std::vector<Allocation> Allocations(const Now& now);
  double RemainingMs(const RunKey& key, const Run& run, const Now& now) const;
  // `job` is that of the run, or null.
  double RemainingMs(const JobRecord* job,
                     const RunKey& key,
                     const Run& run,
                     const Now& now) const;
  void UpdateUrgentDemand(const std::vector<ReadyStep*>& ready, const Now& now);
  // What to keep free for expected urgent jobs.
  Resources UrgentReserve(const Round& round) const;
  void Reserve(const ReadyStep& ready,
               const std::vector<Allocation>& allocations,
               std::vector<CandidateWorker>& workers) const;
  PlanRequest RequestOf(const ReadyStep& ready) const;
  // Brings the index of the open jobs up to date.
  void RefreshOpenJobs(const Now& now);
  TaskHold HoldOf(const JobRecord& job,
                  const TaskRef& task,
                  const TaskProgress* progress,
                  const Now& now) const;
  ReadySteps FindReadySteps(const Now& now);
  std::vector<std::uint32_t> TasksPerWorker(
      const std::vector<CandidateWorker>& workers,
      const ReadyStep& ready) const;
  static Urgency UrgencyOf(const ReadyStep& ready, const Now& now);
  std::uint32_t TasksWithinCap(const ReadyStep& ready) const;
  void LimitByCap(ReadyStep& ready, Round& round, const Now& now) const;
  static void SortByUrgency(std::vector<ReadyStep*>& ready, const Now& now);
  void PlaceOrPreempt(ReadyStep& ready, Round& round, const Now& now);
  bool PlaceStep(ReadyStep& ready, RackRule rule, Round& round, const Now& now);
  void Commit(const ReadyStep& ready,
              const Plan& plan,
              Round& round,
              const Now& now);
  std::vector<Victim> BeyondGuarantee(std::vector<Victim> urgent) const;
  std::vector<Victim> Victims(const Now& now);
  // The smallest number of victims without which the request fits, or empty.
  static std::optional<std::size_t> CountVictims(
      const Round& round,
      const std::vector<std::uint32_t>& used,
      const PlanRequest& request,
      RackRule rule);
  static Plan PlanWithout(const std::vector<Victim>& victims,
                          const std::vector<CandidateWorker>& workers,
                          const std::vector<std::uint32_t>& used,
                          const PlanRequest& request,
                          RackRule rule);
  void StopVictims(const std::vector<Victim>& victims,
                   const std::vector<CandidateWorker>& workers,
                   const Plan& plan,
                   const ReadyStep& ready,
                   const Now& now);
  void ApplyClaims(const std::vector<ReadyStep*>& ready,
                   std::vector<CandidateWorker>& workers,
                   const Now& now);
  void PlaceClaimed(ReadyStep& ready,
                    RackRule rule,
                    Round& round,
                    const Now& now);
  bool IsGuaranteed(const ReadyStep& ready) const;
  bool Preempt(const ReadyStep& ready,
               RackRule rule,
               Round& round,
               const Now& now);
  RackRule RackRuleFor(const ReadyStep& ready,
                       Round& round,
                       const Now& now) const;
  ResourceAmounts BacklogMs(std::uint32_t priority,
                            const std::string& pool,
                            const Now& now) const;

  // dispatcher_run_times.cc
  RunTimeExpectation Expect(const std::string& queue,
                            const base::CustomerId& customer,
                            const StepSpec& step) const;
  double ExpectedTaskMs(const JobRecord& job, std::uint32_t step) const;
  double CriticalPathMs(const std::string& queue,
                        const JobSpec& spec,
                        const base::CustomerId& customer) const;
  void LearnFrom(const ListedEnd& end,
                 const Run& run,
                 const JobRecord& job,
                 const Now& now);
  void ProposeRunTimes(const Now& now);

  const JobStore& store_;
  const DispatcherOptions options_;
  // 0 while another host leads.
  std::uint64_t term_ = 0;
  // Number of worker incarnations that were recorded in this term.
  std::uint64_t new_incarnations_ = 0;
  std::map<base::WorkerId, Worker> workers_;
  // Removed workers that may still run tasks. Kept until no start can be
  // carried out late.
  std::map<WorkerIncarnation, RemovedWorkerRecord> removed_workers_;
  // Revision of the store's workers at the last SyncWorkers.
  std::uint64_t worker_revision_ = 0;
  std::map<RunKey, Run> runs_;
  // Index of `runs_` by worker, since an answer of a worker concerns only its
  // own runs.
  std::map<WorkerIncarnation, RunsOfWorker> runs_by_worker_;
  CustomerAccounts accounts_;
  CustomerCaps caps_;
  std::map<TaskRef, std::vector<LostAttempt>> lost_attempts_;
  std::size_t foreign_rows_ = 0;
  // Told of each change of the runs and of the lost attempts of a job.
  OpenJobIndex open_jobs_;
  // Starts whose confirmation is not in the log yet.
  std::vector<RunKey> confirmed_starts_;
  bool placed_since_confirmation_ = false;
  base::Instant next_confirmation_at_{};
  // Time of the next check of running tasks.
  base::Instant next_sweep_at_{};
  std::map<std::uint64_t, Pending> pending_;
  // Runs whose return was proposed and not committed.
  std::vector<RunKey> uncommitted_returns_;
  base::Instant next_return_at_{};
  std::uint64_t last_proposal_ = 0;
  QueueMeans queue_means_;
  mutable ExpectationCache expectations_;
  RunTimeSummary run_time_summary_;
  std::size_t waiting_tasks_ = 0;
  std::map<std::string_view, std::size_t> waiting_steps_;
  std::map<std::string_view, std::size_t> unused_workers_;
  base::Instant next_explanation_at_{};
  std::map<StepRef, Claim> claims_;
  // The workers that may get tasks, in order of their incarnations, as of the
  // last UpdateCandidates. The current round holds them while it runs.
  std::vector<CandidateWorker> candidates_;
  // `worker_revision_` at that time.
  std::uint64_t candidates_revision_ = 0;
  // Earliest time of the next placement round.
  base::Instant next_placement_at_{};
  // What runs of priority 0 hold.
  Resources urgent_in_use_;
  // Current demand of urgent jobs and its decaying peak.
  ResourceAmounts urgent_demand_;
  ResourceAmounts urgent_peak_;
  base::Instant urgent_peak_at_{};
  std::vector<Action> actions_;
  std::vector<Decision> decisions_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_DISPATCHER_H_
