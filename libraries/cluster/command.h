#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_COMMAND_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_COMMAND_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "base/strong_id.h"
#include "cluster/configuration_patch.h"
#include "cluster/job.h"

namespace wigeonstair::cluster {

enum class DomainStatus : std::uint8_t { kIn, kOut };

// What happens to the jobs of a domain that goes out.
enum class DrainMode : std::uint8_t {
  kHoldForReturn,  // They are checkpointed and wait until the domain is back.
  kRelease,        // Jobs that may run elsewhere move to other domains.
};

// Replaces the configuration. The patch is relative to the configuration of
// `expected_revision`, which the operator has read; 0 for none.
struct ApplyConfiguration {
  std::string operation;
  std::uint64_t expected_revision = 0;
  // HashConfiguration() of the resulting configuration. A retry after the
  // change has the same hash, while its patch is relative to another
  // configuration.
  std::uint64_t target_hash = 0;
  ConfigurationPatch patch;

  auto operator<=>(const ApplyConfiguration&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(operation, expected_revision, target_hash, patch);
  }
};

// Takes a failure domain out or in. `expected_revision` is the revision of the
// domain's last status change.
struct SetDomainStatus {
  std::string operation;
  std::uint64_t expected_revision = 0;
  base::DomainId domain;
  DomainStatus status = DomainStatus::kIn;
  DrainMode drain_mode = DrainMode::kRelease;

  auto operator<=>(const SetDomainStatus&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(operation, expected_revision, domain, status, drain_mode);
  }
};

struct SubmitJob {
  std::string operation;
  JobSpecification specification;
  // Unix time of the submission. For display only.
  std::int64_t time_milliseconds = 0;

  auto operator<=>(const SubmitJob&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(operation, specification, time_milliseconds);
  }
};

// Assigns a queued job to a domain. `expected_assignment` is the number of
// earlier assignments, so that a delayed command does not assign the job again.
struct AssignJob {
  base::JobId job;
  base::DomainId domain;
  std::uint32_t expected_assignment = 0;

  auto operator<=>(const AssignJob&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, domain, expected_assignment);
  }
};

// Returns an assigned job to the queue. The domain's placement authority has
// stopped it or has never started it. `refusal` is the reason why the domain
// can never run the job; empty when it could.
struct ReleaseJob {
  base::JobId job;
  base::DomainId domain;
  std::uint32_t assignment = 0;
  std::int64_t checkpoint_milliseconds = 0;
  std::string refusal;

  auto operator<=>(const ReleaseJob&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, domain, assignment, checkpoint_milliseconds, refusal);
  }
};

// Records the progress of a gang that has checkpointed, because the job table
// of the domain's placement authority is not durable.
struct KeepCheckpoint {
  base::JobId job;
  std::uint32_t assignment = 0;
  std::int64_t checkpoint_milliseconds = 0;

  auto operator<=>(const KeepCheckpoint&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, assignment, checkpoint_milliseconds);
  }
};

struct CancelJob {
  std::string operation;
  base::JobId job;

  auto operator<=>(const CancelJob&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(operation, job);
  }
};

// Ends a job. `assignment` is 0 for a job that was never assigned.
struct FinishJob {
  base::JobId job;
  std::uint32_t assignment = 0;
  JobOutcome outcome = JobOutcome::kFinished;
  std::string detail;

  auto operator<=>(const FinishJob&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, assignment, outcome, detail);
  }
};

// Removes a lost control host from its domain's member list. Rejected when the
// state is no longer at `expected_revision`, on which the decision was based.
struct SuspendHost {
  base::HostId host;
  std::uint64_t expected_revision = 0;

  auto operator<=>(const SuspendHost&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, expected_revision);
  }
};

// Adds a suspended host that is back to its domain's member list again.
struct RestoreHost {
  base::HostId host;
  std::uint64_t expected_revision = 0;

  auto operator<=>(const RestoreHost&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, expected_revision);
  }
};

// The placement authority of a domain has found that no lease can be held under
// host lists that were replaced at `revision` or before.
struct RetireHostLists {
  base::DomainId domain;
  std::uint64_t revision = 0;

  auto operator<=>(const RetireHostLists&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(domain, revision);
  }
};

// The placement authority of a domain has found that no task lease can still be
// based on worker counts that were replaced at `revision` or before.
struct RetireWorkerCounts {
  base::DomainId domain;
  std::uint64_t revision = 0;

  auto operator<=>(const RetireWorkerCounts&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(domain, revision);
  }
};

// An operator confirms that the control process of a lost host does not run.
// The system itself cannot distinguish a stopped host from a partitioned one
// that still acts under an older host list.
struct ConfirmHostStopped {
  std::string operation;
  base::HostId host;

  auto operator<=>(const ConfirmHostStopped&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(operation, host);
  }
};

using Command = std::variant<ApplyConfiguration,
                             SetDomainStatus,
                             SubmitJob,
                             AssignJob,
                             ReleaseJob,
                             KeepCheckpoint,
                             CancelJob,
                             FinishJob,
                             SuspendHost,
                             RestoreHost,
                             RetireHostLists,
                             ConfirmHostStopped,
                             RetireWorkerCounts>;

enum class CommandResult : std::uint8_t {
  kAccepted,
  // Another command was applied first; `winner_operation` is its operation id
  // if known.
  kConflict,
  // The command can never be accepted as it is.
  kInvalid,
  kNotFound,
  kTableFull,
};

// The state machine's reply to a command. A retry with the same operation id
// gets the first reply again.
struct CommandReply {
  CommandResult result = CommandResult::kAccepted;
  // The revision after the command, or the current one on a conflict.
  std::uint64_t revision = 0;
  std::string winner_operation;
  std::string detail;
  // Set for SubmitJob and CancelJob.
  base::JobId job;

  auto operator<=>(const CommandReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(result, revision, winner_operation, detail, job);
  }
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_COMMAND_H_
