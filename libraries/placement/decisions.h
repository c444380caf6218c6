#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_DECISIONS_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_DECISIONS_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "placement/events.h"
#include "placement/reason.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

// Whether a task runs on guaranteed cells of its customer or on borrowed
// resources.
enum class Coverage : std::uint8_t {
  kGuaranteed,
  kBorrowed,  // Preempted when a guaranteed job needs the resources.
};

// A task and the worker that it is placed on.
struct TaskPlace {
  TaskKey task = {};
  base::WorkerId worker = {};

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const TaskPlace&) const = default;
};

// Directive "prepare": the worker reserves the resources without running the
// task.
struct PrepareTask {
  TaskPlace place = {};
  std::vector<int> accelerators = {};
  Resources resources = {};
  Coverage coverage = Coverage::kBorrowed;
  // Progress of the checkpoint to resume from; 0 starts from the beginning.
  std::int64_t resume_from_milliseconds = 0;
  Reason reason = {};
};

// Directive "start" to every member, sent once all members are prepared.
struct StartGang {
  base::JobId job = {};
  std::vector<TaskPlace> members = {};
  Reason reason = {};
};

// Directive "abort": the worker frees the prepared resources. Answered by
// TaskStopped.
struct AbortPreparation {
  TaskPlace place = {};
  Reason reason = {};
};

// Directive "checkpoint". Answered by CheckpointDone. The task keeps running
// until a StopTask follows.
struct CheckpointTask {
  TaskPlace place = {};
  Reason reason = {};
};

// Directive "stop". Answered by TaskStopped.
struct StopTask {
  TaskPlace place = {};
  Reason reason = {};
};

// Directive "throttle". 100 percent removes the throttle.
struct ThrottleTask {
  TaskPlace place = {};
  int percent = 100;
  Reason reason = {};
};

// The job can never run in this domain and was removed from the job table.
struct JobRefused {
  base::JobId job = {};
  Reason reason = {};
};

// The job waits. Emitted when the code of the reason changes.
struct JobWaiting {
  base::JobId job = {};
  // Time until the predicted start of its reservation; zero without one.
  base::Duration expected_wait{0};
  Reason reason = {};
};

enum class JobEnd : std::uint8_t { kFinished, kFailed, kCancelled };

// The job has ended. For a cancelled job this is emitted immediately, while its
// tasks may still be stopping.
struct JobEnded {
  base::JobId job = {};
  JobEnd end = JobEnd::kFinished;
  Reason reason = {};
};

// The job has stopped and was removed from the job table, so that it can be
// assigned to another domain.
struct JobReleased {
  base::JobId job = {};
  std::int64_t checkpoint_milliseconds = 0;
  Reason reason = {};
};

// The domain was taken out of service and none of its tasks holds resources any
// more.
struct DomainDrained {
  int checkpointed_jobs = 0;
  Reason reason = {};
};

struct WorkerEjected {
  base::WorkerId worker = {};
  // Time until probation starts.
  base::Duration period{0};
  Reason reason = {};
};

struct WorkerOnProbation {
  base::WorkerId worker = {};
  Reason reason = {};
};

struct WorkerReadmitted {
  base::WorkerId worker = {};
  Reason reason = {};
};

// The job is checkpointed, stopped and queued again to free resources for
// `beneficiary`. The checkpoint and stop directives are separate decisions.
struct MigrateJob {
  base::JobId job = {};
  base::JobId beneficiary = {};
  Reason reason = {};
};

using Decision = std::variant<PrepareTask,
                              StartGang,
                              AbortPreparation,
                              CheckpointTask,
                              StopTask,
                              ThrottleTask,
                              JobRefused,
                              JobWaiting,
                              JobEnded,
                              JobReleased,
                              DomainDrained,
                              WorkerEjected,
                              WorkerOnProbation,
                              WorkerReadmitted,
                              MigrateJob>;

// Returns the reason of any kind of decision.
inline const Reason& ReasonOf(const Decision& decision) {
  return std::visit(
      [](const auto& value) -> const Reason& { return value.reason; },
      decision);
}

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_DECISIONS_H_
