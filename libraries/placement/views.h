#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_VIEWS_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_VIEWS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/configuration.h"
#include "placement/decisions.h"
#include "placement/reason.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

enum class JobState : std::uint8_t {
  kQueued,
  kReclaiming,  // Waits for borrowed tasks to stop.
  kPreparing,
  kStarting,
  kRunning,
  kCheckpointing,  // Still running; stopped when the checkpoint is done.
  kStopping,
  kCheckpointed,  // Queued again; resumes from its checkpoint.
  kFinished,
  kFailed,
  kCancelled,
  kRefused,
  kReleased,
};

// The stable name for the HTTP interface, such as "running".
std::string_view JobStateName(JobState state);

enum class WorkerHealthState : std::uint8_t {
  kHealthy,
  kEjected,
  kProbation,
  kLost,
};

std::string_view WorkerHealthStateName(WorkerHealthState state);

struct TaskView {
  TaskPlace place = {};
  std::vector<int> accelerators = {};

  bool operator==(const TaskView&) const = default;
};

struct JobView {
  base::JobId job = {};
  base::CustomerId customer = {};
  JobState state = JobState::kQueued;
  Coverage coverage = Coverage::kBorrowed;
  std::int64_t attempt = 0;
  std::int64_t checkpoint_milliseconds = 0;
  std::int64_t estimate_milliseconds = 0;
  // Tasks that hold resources.
  std::vector<TaskView> tasks = {};
  // Why the job is in this state.
  Reason reason = {};
};

struct WorkerView {
  base::WorkerId worker = {};
  base::RackId rack = {};
  WorkerHealthState health = WorkerHealthState::kHealthy;
  Resources capacity = {};
  Resources granted = {};
  int tasks = 0;
  int consecutive_failures = 0;
};

struct GuaranteeView {
  cluster::CellShape shape = {};
  int cells = 0;
  int claimed = 0;
  // Cells that the live workers cannot provide at present.
  int unavailable = 0;
};

struct CustomerView {
  base::CustomerId customer = {};
  std::vector<GuaranteeView> guarantees = {};
  int guaranteed_accelerators_in_use = 0;
  int borrowed_accelerators = 0;
  int waiting_jobs = 0;
  int running_jobs = 0;
};

// Queue order; the smallest key is served first.
struct QueueKey {
  int urgency_rank = 0;
  int priority_rank = 0;
  // Submission time plus a multiple of the estimate, in microseconds.
  std::int64_t score = 0;
  std::int64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const QueueKey&) const = default;
};

// Selects queued jobs that hold no resources, in queue order.
struct WaitingQuery {
  // Only jobs that have waited for at least this long.
  base::Duration minimum_wait{0};
  // Only jobs after this position in the queue.
  std::optional<QueueKey> after = {};
  // Maximum number of jobs examined, to bound the time spent on a long queue.
  std::size_t limit = std::numeric_limits<std::size_t>::max();
};

struct WaitingPage {
  std::vector<base::JobId> jobs = {};
  // `after` of the next query; empty at the end of the queue.
  std::optional<QueueKey> next = {};
};

// Published by the domain for the assignment of jobs to failure domains.
struct CapacityView {
  DomainStatus status = DomainStatus::kIn;
  bool recovering = true;
  Resources total = {};
  Resources free = {};
  // Accelerators in `free` that no unclaimed guarantee covers.
  int unpromised_free_accelerators = 0;
  int live_workers = 0;
  int running_tasks = 0;
  int waiting_jobs = 0;
  // The largest number of free accelerators on one worker and in one rack.
  int largest_free_worker = 0;
  int largest_free_rack = 0;
};

struct DrainPreview {
  // Jobs that would be checkpointed and then stopped.
  std::vector<base::JobId> checkpoint = {};
  // Jobs whose preparation would be aborted.
  std::vector<base::JobId> abort = {};
  // Jobs of both lists and of the queue that may run in another domain.
  std::vector<base::JobId> movable = {};
  // Jobs that would wait until the domain is in service again.
  std::vector<base::JobId> held = {};
  int accelerators_in_use = 0;
  // The longest time until everything has stopped.
  base::Duration longest{0};
};

// The result of Explain() for one job.
struct Explanation {
  JobView job = {};
  struct Entry {
    base::Instant at = {};
    std::string_view decision = {};  // Such as "prepare" or "waiting".
    Reason reason = {};
  };
  // The latest decisions about the job, oldest first, at most kMaximumEntries.
  std::vector<Entry> entries = {};

  static constexpr int kMaximumEntries = 32;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_VIEWS_H_
