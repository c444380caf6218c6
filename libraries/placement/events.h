#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_EVENTS_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_EVENTS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/configuration.h"
#include "cluster/job.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

// Identifies one run of one task. Each new attempt of a job has a higher
// attempt number.
struct TaskKey {
  base::JobId job = {};
  int index = 0;
  std::int64_t attempt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const TaskKey&) const = default;
};

enum class ReportedState : std::uint8_t {
  kPrepared,
  kRunning,
  kCheckpointing,
  kStopped,
  kFinished,
  kFailed,
};

// A task as reported by its worker. docs/api.md lists the states on the wire.
struct ReportedTask {
  TaskKey key = {};
  ReportedState state = ReportedState::kRunning;
  // Indexes of the worker's accelerators that the task holds.
  std::vector<int> accelerators = {};
  std::int64_t progress_milliseconds = 0;
  // Progress saved by the newest complete checkpoint.
  std::int64_t checkpoint_milliseconds = 0;

  bool operator==(const ReportedTask&) const = default;
};

// A worker registered, possibly again. `tasks` lists every task on it.
struct WorkerRegistered {
  base::WorkerId worker = {};
  base::RackId rack = {};
  Resources capacity = {};
  std::vector<ReportedTask> tasks = {};
};

// The full list of a worker's tasks. The engine reconciles it with its own
// table: it applies state changes that it missed and stops unknown tasks. Only
// for full reports; incremental changes are sent as Task events.
struct WorkerReported {
  base::WorkerId worker = {};
  std::vector<ReportedTask> tasks = {};
};

// The measured use of a worker. Resources granted or released after
// `measured_at` are accounted for on top of it.
struct WorkerUsageReported {
  base::WorkerId worker = {};
  int cores = 0;
  int memory_megabytes = 0;
  base::Instant measured_at = {};
};

// The worker is lost: its lease has expired, so its tasks have stopped.
struct WorkerLost {
  base::WorkerId worker = {};
};

// Whether a former authority of the domain may have started the job.
enum class FormerRun : std::uint8_t {
  kPossible,
  // The job was assigned to a domain for the first time after the former
  // authority had stopped acting.
  kImpossible,
};

// A job was assigned to this failure domain.
struct JobSubmitted {
  cluster::JobSpecification specification = {};
  // Progress saved by a checkpoint of an earlier run, possibly in another
  // domain.
  std::int64_t resume_from_milliseconds = 0;
  FormerRun former_run = FormerRun::kPossible;
};

struct JobCancelled {
  base::JobId job = {};
};

// Another failure domain has capacity for the job. The job is released if it is
// queued and holds no resources here; otherwise the event is ignored. The event
// is also ignored during recovery.
struct JobWithdrawn {
  base::JobId job = {};
  std::string why = {};
};

struct TaskPrepared {
  TaskKey task = {};
};

struct TaskStarted {
  TaskKey task = {};
};

struct TaskFinished {
  TaskKey task = {};
};

// A task failed while it was being prepared, being started or running. The
// worker has already freed its resources.
struct TaskFailed {
  TaskKey task = {};
  std::string detail = {};
};

struct CheckpointDone {
  TaskKey task = {};
  std::int64_t progress_milliseconds = 0;
};

// A stop or abort directive was carried out.
struct TaskStopped {
  TaskKey task = {};
};

// Whether the failure domain is in service or out of service.
enum class DomainStatus : std::uint8_t { kIn, kOut };

// What happens to the jobs of a domain that is taken out of service.
enum class DrainMode : std::uint8_t {
  // Jobs are checkpointed and wait until the domain returns to service.
  kHoldForReturn,
  // Jobs that may run in another domain are released to the cluster.
  kRelease,
};

struct DomainStatusChanged {
  DomainStatus status = DomainStatus::kIn;
  DrainMode mode = DrainMode::kHoldForReturn;
};

// New configuration of the domain and of all customers.
struct GuaranteesChanged {
  cluster::DomainConfiguration domain = {};
  std::vector<cluster::CustomerConfiguration> customers = {};
};

// Ends the recovery before EngineOptions::recovery_period has passed, when the
// workers have reported. During the recovery only jobs are started that an
// earlier authority cannot have started.
struct RecoveryEnded {};

// Advances time. Expected at least once per EngineOptions::tick_period.
struct Tick {};

using Event = std::variant<WorkerRegistered,
                           WorkerReported,
                           WorkerUsageReported,
                           WorkerLost,
                           JobSubmitted,
                           JobCancelled,
                           JobWithdrawn,
                           TaskPrepared,
                           TaskStarted,
                           TaskFinished,
                           TaskFailed,
                           CheckpointDone,
                           TaskStopped,
                           DomainStatusChanged,
                           GuaranteesChanged,
                           RecoveryEnded,
                           Tick>;

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_EVENTS_H_
