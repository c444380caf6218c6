#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_CLUSTER_STATE_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_CLUSTER_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/strong_id.h"
#include "cluster/command.h"
#include "cluster/configuration.h"
#include "cluster/domain_load.h"
#include "cluster/host_lists.h"
#include "cluster/job.h"
#include "cluster/queued_jobs.h"
#include "cluster/worker_counts.h"

namespace wigeonstair::cluster {

struct DomainState {
  DomainStatus status = DomainStatus::kIn;
  DrainMode drain_mode = DrainMode::kRelease;
  // Revision of the last status change; 0 when there was none.
  std::uint64_t revision = 0;
  std::string last_operation;

  auto operator<=>(const DomainState&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(status, drain_mode, revision, last_operation);
  }
};

enum class JobPhase : std::uint8_t { kQueued, kAssigned, kEnded };

struct JobRecord {
  JobSpecification specification;
  JobPhase phase = JobPhase::kQueued;
  // The domain that the job is assigned to; empty in the other phases.
  base::DomainId domain;
  // Number of assignments so far.
  std::uint32_t assignments = 0;
  // Domains that can never run the job, with the reason.
  std::map<base::DomainId, std::string> refusals;
  std::int64_t checkpoint_milliseconds = 0;
  std::int64_t submitted_milliseconds = 0;
  JobOutcome outcome = JobOutcome::kNone;
  std::string detail;

  auto operator<=>(const JobRecord&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(specification, phase, domain, assignments, refusals,
            checkpoint_milliseconds, submitted_milliseconds, outcome, detail);
  }
};

// Faults that tests inject to show that a check detects them.
enum class ClusterFault : std::uint8_t {
  kNone,
  kIgnoreExpectedRevision,  // The second of two racing changes is accepted.
  kForgetOperations,        // A retry is treated as a new command.
};

struct ClusterStateOptions {
  // Operation ids kept to recognize retries: more than five days of changes at
  // 11,000 a day.
  std::size_t maximum_operations = 65'536;
  // Jobs that have not ended. A few hundred are expected at 1,900 jobs a day
  // that each run for hours.
  std::size_t maximum_live_jobs = 50'000;
  // Ended jobs kept for status queries: ten days at 1,900 a day.
  std::size_t maximum_ended_jobs = 20'000;
  ClusterFault fault = ClusterFault::kNone;
};

// The state machine of the replicated group `cluster`. Deterministic: replicas
// that apply the same commands in the same order hold the same state.
class ClusterState {
 public:
  explicit ClusterState(ClusterStateOptions options = {});

  CommandReply Apply(const Command& command);
  // Apply() on encoded commands and replies.
  std::string ApplyEncoded(std::string_view command);

  // Increases with each accepted change of the configuration, of a domain's
  // status or of the suspended or stopped hosts, and never decreases.
  std::uint64_t revision() const { return revision_; }
  std::uint64_t configuration_revision() const {
    return configuration_revision_;
  }
  const ClusterConfiguration& configuration() const { return configuration_; }
  // The state of a configured domain. An unknown domain counts as out.
  DomainState domain(const base::DomainId& id) const;
  const std::map<base::DomainId, DomainState>& domains() const {
    return domains_;
  }
  const std::map<base::JobId, JobRecord>& jobs() const { return jobs_; }
  // Control hosts that were lost and do not vote for their domain's placement
  // authority until they are back.
  const std::set<base::HostId>& suspended_hosts() const {
    return suspended_hosts_;
  }
  const HostListHistory& host_lists() const { return host_lists_; }
  const WorkerCountHistory& worker_counts() const { return worker_counts_; }
  // Lost hosts that an operator has confirmed to be stopped, with the revision
  // of the confirmation.
  const std::map<base::HostId, std::uint64_t>& stopped_hosts() const {
    return stopped_hosts_;
  }
  // Jobs in phase kQueued, in the order in which they are considered for
  // assignment.
  const QueuedJobs& queued_jobs() const { return queued_; }
  // Jobs that are assigned to the domain.
  const std::set<base::JobId>& assigned_jobs(const base::DomainId& id) const;
  // Resources that the jobs of each domain request, including domains that were
  // removed from the configuration. Computed from the replicated log alone, so
  // it does not lag behind the assignments.
  const DomainLoads& loads() const { return loads_; }
  std::size_t live_jobs() const { return live_jobs_; }

  // Serializes the state. Equal states give equal bytes.
  std::string Snapshot() const;
  // Replaces the state. On kCorruptData the state is unchanged.
  base::Result<std::monostate> Restore(std::string_view bytes);

 private:
  struct Operation {
    // Hash of the command without the fields that may differ in a retry. The
    // same operation id with another hash is a caller error.
    std::uint64_t fingerprint = 0;
    CommandReply reply;

    template <typename Archive>
    void serialize(Archive& archive) {  // NOLINT: cereal's name.
      archive(fingerprint, reply);
    }
  };
  struct Image;
  struct ImageView;

  CommandReply ApplyOne(const ApplyConfiguration& command);
  CommandReply ApplyOne(const SetDomainStatus& command);
  CommandReply ApplyOne(const SubmitJob& command);
  CommandReply ApplyOne(const AssignJob& command);
  CommandReply ApplyOne(const ReleaseJob& command);
  CommandReply ApplyOne(const KeepCheckpoint& command);
  CommandReply ApplyOne(const CancelJob& command);
  CommandReply ApplyOne(const FinishJob& command);
  CommandReply ApplyOne(const SuspendHost& command);
  CommandReply ApplyOne(const RestoreHost& command);
  CommandReply ApplyOne(const RetireHostLists& command);
  CommandReply ApplyOne(const ConfirmHostStopped& command);
  CommandReply ApplyOne(const RetireWorkerCounts& command);

  bool IsLastMember(const HostConfiguration& host) const;
  bool IsMember(const base::HostId& host) const;
  void RecordHostLists();

  CommandReply Invalid(std::string detail) const;
  CommandReply Conflict(const std::string& winner, std::string detail) const;
  CommandReply NotFound(const base::JobId& job) const;
  void RecordOperation(const std::string& operation,
                       std::uint64_t fingerprint,
                       const CommandReply& reply);
  void EndJob(const base::JobId& id,
              JobRecord& record,
              JobOutcome outcome,
              std::string detail);
  void RemoveFromDomain(const base::JobId& id, JobRecord& record);
  void QueueJob(const base::JobId& id, JobRecord& record);
  void RebuildIndexes();

  ClusterStateOptions options_;
  std::uint64_t revision_ = 0;
  std::uint64_t configuration_revision_ = 0;
  std::string configuration_operation_;
  ClusterConfiguration configuration_;
  std::map<base::DomainId, DomainState> domains_;
  std::set<base::HostId> suspended_hosts_;
  HostListHistory host_lists_;
  WorkerCountHistory worker_counts_;
  std::map<base::HostId, std::uint64_t> stopped_hosts_;
  std::map<base::JobId, JobRecord> jobs_;
  QueuedJobs queued_;
  std::deque<base::JobId> ended_;
  std::map<std::string, Operation> operations_;
  std::deque<std::string> operation_order_;

  // Indexes derived from jobs_ and updated with each change of a job.
  std::map<base::DomainId, std::set<base::JobId>> assigned_;
  DomainLoads loads_;
  std::size_t live_jobs_ = 0;
};

// The operation id of a command; empty for commands that the leader issues
// itself.
std::string_view OperationOf(const Command& command);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_CLUSTER_STATE_H_
