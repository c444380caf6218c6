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
  kReclaiming,  // Room is being made; borrowed tasks are stopping.
  kPreparing,
  kStarting,
  kRunning,
  kCheckpointing,  // Running until the checkpoint is done, then stopped.
  kStopping,
  kCheckpointed,  // Queued again with kept progress.
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
  // Why it is in this state.
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
  // Cells that no live workers can provide at the moment.
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

// Order in the queue; the smallest goes first.
struct QueueKey {
  int urgency_rank = 0;
  int priority_rank = 0;
  // Submission time plus a multiple of the estimate, in microseconds.
  std::int64_t score = 0;
  std::int64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const QueueKey&) const = default;
};

// Asks for queued jobs that hold nothing, in the order in which they are
// served.
struct WaitingQuery {
  // How long they have waited at least.
  base::Duration minimum_wait{0};
  // Only jobs behind this place in the queue.
  std::optional<QueueKey> after = {};
  // Jobs looked at, so that a look at a long queue has a bound.
  std::size_t limit = std::numeric_limits<std::size_t>::max();
};

struct WaitingPage {
  std::vector<base::JobId> jobs = {};
  // For the next query; empty when the end of the queue was reached.
  std::optional<QueueKey> next = {};
};

// What the domain publishes for the assignment of jobs.
struct CapacityView {
  DomainStatus status = DomainStatus::kIn;
  bool recovering = true;
  Resources total = {};
  Resources free = {};
  // The part of `free` that no unclaimed guarantee covers.
  int unpromised_free_accelerators = 0;
  int live_workers = 0;
  int running_tasks = 0;
  int waiting_jobs = 0;
  // The largest count of free accelerators on one worker and in one rack.
  int largest_free_worker = 0;
  int largest_free_rack = 0;
};

struct DrainPreview {
  // Jobs that would be checkpointed and then stopped.
  std::vector<base::JobId> checkpoint = {};
  // Jobs whose preparation would be aborted.
  std::vector<base::JobId> abort = {};
  // Those of both lists and of the queue that may run in another domain.
  std::vector<base::JobId> movable = {};
  // Jobs that would wait for the return of the domain.
  std::vector<base::JobId> held = {};
  int accelerators_in_use = 0;
  // The longest time until everything has stopped.
  base::Duration longest{0};
};

// What Explain() tells about one job.
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
