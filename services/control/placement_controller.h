#ifndef WIGEONSTAIR_SERVICES_CONTROL_PLACEMENT_CONTROLLER_H_
#define WIGEONSTAIR_SERVICES_CONTROL_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "authority/report_schedule.h"
#include "authority/task_lease.h"
#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "cluster/command.h"
#include "placement/engine.h"
#include "services/control/command_outbox.h"
#include "services/control/held_reports.h"
#include "services/control/known_jobs.h"
#include "services/control/replicated_cluster.h"
#include "services/control/worker_protocol.h"
#include "services/control/worker_table.h"

namespace wigeonstair::control {

struct Registered {
  std::int64_t epoch = 0;
  authority::ReportSchedule schedule;
};

using RegisterOutcome =
    std::variant<Registered, NotAuthority, StaleIncarnation>;
struct PlacementControllerOptions {
  base::DomainId domain;
  authority::ReportScheduleLimits report_limits;
  // Reports beyond this number are answered at once. Half of the requests that
  // the HTTP server takes at a time by default, so that others get in.
  std::size_t held_reports = 2048;
  // Outlives the controller.
  const ReplicatedCluster* cluster = nullptr;
  std::shared_ptr<base::EventLog> event_log;
  base::CounterRegistry* counters = nullptr;
  // The epoch of the authority's lease if this host holds it at that moment.
  std::function<std::optional<std::int64_t>(base::Instant)> held_epoch;
  // Whether tasks may start at that moment; asked immediately before each
  // directive leaves.
  std::function<StartPermission(base::Instant)> start_permission;
  // The revisions on which control hosts, this one included, are known to act.
  // Empty until this host acts on the cluster state.
  std::function<std::optional<authority::AppliedRevisions>()> applied_revisions;
  // Domains whose authority answers.
  std::function<std::set<base::DomainId>()> reachable_domains;
  // To the cluster log.
  CommandOutbox::Propose propose;
  // Makes a following read of the cluster state linearizable. `done` gets false
  // when the log cannot be reached; not within the call.
  std::function<void(std::function<void(bool)> done)> read_barrier;
};

// Runs the placement engine of this host's failure domain while the host is
// its authority: turns workers' reports and the cluster state into events, and
// decisions into directives and commands. A report takes effect when it
// arrives; its answer may be held until there is a directive. Thread-safe.
class PlacementController {
 public:
  explicit PlacementController(PlacementControllerOptions options);

  RegisterOutcome Register(const WorkerRegistration& registration,
                           base::Instant now);
  void Report(const WorkerReport& report, base::Instant now, ReportDone done);
  // Answers all held reports, and from now on every report at once.
  void StopHolding(base::Instant now);
  // Called every tick period of the engine.
  void Tick(base::Instant now);

  // Empty while this host is not the authority.
  std::optional<placement::Explanation> Explain(const base::JobId& job) const;
  std::optional<placement::CapacityView> capacity() const;
  std::vector<placement::WorkerView> workers() const;
  std::vector<placement::CustomerView> customers() const;
  std::vector<placement::JobView> jobs() const;
  std::optional<placement::DrainPreview> PreviewDrain() const;

 private:
  // Whether the report that is answered was held before.
  enum class Hold : std::uint8_t { kNone, kOver };
  // The functions below need mutex_.
  void Receive(const WorkerReport& report, base::Instant now, ReportDone done);
  bool MayHold(const WorkerReport& report, StartPermission permission) const;
  // Checks the lease and the permission immediately before the answer leaves.
  ReportOutcome AnswerNewest(const base::WorkerId& worker,
                             Hold hold,
                             base::Instant now);
  ReportOutcome AnswerReplaced(const base::WorkerId& worker, base::Instant now);
  void AddSchedule(ReportAnswer& answer, Hold hold) const;
  // Answers held reports of workers that were sent a directive.
  void ReleaseAddressed(base::Instant now);
  void ReleaseIfAddressed(const base::WorkerId& worker,
                          StartPermission permission,
                          base::Instant now);
  // Answers those whose time is over or whose directives may leave now.
  void ReleaseDue(base::Instant now);
  // Follows what bounds the leases of tasks: those that this authority grants
  // and those that a former one may have granted.
  void FollowLeases(base::Instant now);
  void RetireWorkerCounts(base::Instant now);
  RegisterOutcome TakeIn(const WorkerRegistration& registration,
                         base::Instant now);
  void Act(base::Instant now);
  bool EnsureAuthority(base::Instant now);
  void Begin(std::int64_t epoch, base::Instant now);
  void End(std::string_view why);
  void FollowCluster(base::Instant now);
  // What the changes of the log after `followed` mean for the domain's jobs.
  void FollowJobs(std::uint64_t followed, base::Instant now);
  // Finds out which jobs a former authority can have been given.
  void AskForFormerJobs(base::Instant now);
  void FinishFormerJobs(std::int64_t epoch, bool reached);
  void EndRecoveryWhenComplete(base::Instant now);
  void WithdrawJobs(base::Instant now);
  void Step(const placement::Event& event, base::Instant now);
  void CarryOut(const placement::Decision& decision);
  void Carry(const placement::PrepareTask& decision);
  void Carry(const placement::StartGang& decision);
  void Carry(const placement::AbortPreparation& decision);
  void Carry(const placement::CheckpointTask& decision);
  void Carry(const placement::StopTask& decision);
  void Carry(const placement::ThrottleTask& decision);
  void Carry(const placement::JobRefused& decision);
  void Carry(const placement::JobEnded& decision);
  void Carry(const placement::JobReleased& decision);
  template <typename Other>
  void Carry(const Other&) {}
  void SendSimple(const placement::TaskPlace& place, DirectiveKind kind);
  void KeepCheckpoint(const base::JobId& job);

  const PlacementControllerOptions options_;
  mutable std::mutex mutex_;
  std::optional<placement::Engine> engine_;
  std::optional<WorkerTable> workers_;
  std::int64_t epoch_ = 0;
  enum class Recovery : std::uint8_t { kRunning, kEnded };
  Recovery recovery_ = Recovery::kRunning;
  std::uint64_t configured_workers_ = 0;
  authority::ReportSchedule schedule_;
  std::optional<authority::TaskLeases> leases_;
  std::uint64_t retired_counts_ = 0;
  HeldReports held_;
  CommandOutbox outbox_;
  std::uint64_t seen_change_ = 0;
  std::uint64_t seen_configuration_ = 0;
  cluster::DomainState seen_domain_;
  KnownJobs known_jobs_;
  enum class FormerJobs : std::uint8_t { kUnknown, kAsked, kKnown };
  FormerJobs former_jobs_ = FormerJobs::kUnknown;
  base::Instant next_barrier_{};
  base::Instant next_withdrawal_{};
  // Where the next look at waiting jobs begins.
  std::optional<placement::QueueKey> withdrawal_turn_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_PLACEMENT_CONTROLLER_H_
