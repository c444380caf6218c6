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
  // A worker was told, or is about to be told, to start it.
  kPlaced,
  kDone,
};

// The durable part of a task.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  // The number of its last start; 0 before the first.
  std::uint32_t attempt = 0;
  // Where that start went.
  WorkerIncarnation worker;
  // Attempts that ended by a failure, in order.
  std::vector<std::uint32_t> failed_attempts;
  // Empty when it starts from the beginning.
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

// A job that was accepted.
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
  // By occurrence and step; present once a task of it was placed.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<TaskProgress>>
      progress;

  bool operator==(const JobRecord&) const = default;

  bool ended() const {
    return state == JobState::kCompleted || state == JobState::kFailed ||
           state == JobState::kCancelled;
  }
  // Null before its first placement.
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
  // When an occurrence may start, in milliseconds since the Unix epoch.
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
