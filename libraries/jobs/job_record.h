#ifndef WIGEONSTAIR_LIBRARIES_JOBS_JOB_RECORD_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_JOB_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs/configuration.h"
#include "jobs/job.h"

namespace wigeonstair::jobs {

enum class TaskPhase : std::uint8_t {
  kWaiting,
  // Assigned to a worker; the start call was sent or is about to be sent.
  kPlaced,
  kDone,
};

// The replicated state of a task.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  // The number of the last attempt; 0 before the first placement.
  std::uint32_t attempt = 0;
  // The worker of the last attempt.
  WorkerIncarnation worker;
  // Numbers of the failed attempts in the order in which they were recorded.
  std::vector<std::uint32_t> failed_attempts;
  // The checkpoint that the next run resumes from; empty to start from the
  // beginning.
  std::string checkpoint;

  bool operator==(const TaskProgress&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(phase, attempt, worker, failed_attempts, checkpoint);
  }
};

enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

// The replicated state of an accepted job.
struct JobRecord {
  base::JobId id;
  std::string queue;
  std::string pool;
  base::CustomerId customer;
  QueuePolicy policy;
  JobSpec spec;
  // Milliseconds since the Unix epoch.
  std::uint64_t accepted_ms = 0;
  std::uint64_t ended_ms = 0;
  JobState state = JobState::kQueued;
  // Keyed by occurrence and step; an entry exists once a task of the step was
  // placed.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<TaskProgress>>
      progress;

  bool operator==(const JobRecord&) const = default;

  // Whether it only keeps the id of a job that was cancelled before it was
  // handed in.
  bool IsPlaceholder() const { return spec.steps.empty(); }
  bool ended() const {
    return state == JobState::kCompleted || state == JobState::kFailed ||
           state == JobState::kCancelled;
  }
  // Whether the specification has this task.
  bool HasTask(const TaskRef& task) const {
    return task.job == id && task.step < spec.steps.size() &&
           task.occurrence < spec.occurrences() &&
           task.index < spec.steps[task.step].count;
  }
  // Returns null before the first placement of the step.
  const std::vector<TaskProgress>* FindProgress(std::uint32_t occurrence,
                                                std::uint32_t step) const {
    const auto found = progress.find({occurrence, step});
    return found == progress.end() ? nullptr : &found->second;
  }
  bool StepDone(std::uint32_t occurrence, std::uint32_t step) const {
    const std::vector<TaskProgress>* tasks = FindProgress(occurrence, step);
    return tasks != nullptr &&
           std::all_of(tasks->begin(), tasks->end(),
                       [](const TaskProgress& task) {
                         return task.phase == TaskPhase::kDone;
                       });
  }
  bool DependenciesDone(std::uint32_t occurrence, std::uint32_t step) const {
    const std::vector<std::uint32_t>& needed = spec.steps[step].depends_on;
    return std::all_of(
        needed.begin(), needed.end(),
        [&](std::uint32_t earlier) { return StepDone(occurrence, earlier); });
  }
  // The earliest start of an occurrence, in milliseconds since the Unix epoch.
  std::uint64_t DueMs(std::uint32_t occurrence) const {
    return spec.repeat_count == 0
               ? accepted_ms
               : spec.start_at_ms + occurrence * spec.interval_ms;
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, queue, pool, customer, policy, spec, accepted_ms, ended_ms,
            state, progress);
  }
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_JOB_RECORD_H_
