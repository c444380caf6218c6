#ifndef WIGEONSTAIR_LIBRARIES_JOBS_JOB_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_JOB_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/strong_id.h"

namespace wigeonstair::jobs {

// The resource demand of a task or the capacity of a worker.
struct Resources {
  // Millicores.
  std::uint64_t cpu = 0;
  std::uint64_t memory_mb = 0;
  std::uint64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;

  bool Fits(const Resources& request) const {
    return request.cpu <= cpu && request.memory_mb <= memory_mb &&
           request.accelerators <= accelerators;
  }
  Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  // Saturates at zero: the runs on a worker may exceed the capacity that it
  // reports.
  Resources& operator-=(const Resources& other) {
    cpu -= other.cpu < cpu ? other.cpu : cpu;
    memory_mb -= other.memory_mb < memory_mb ? other.memory_mb : memory_mb;
    accelerators -=
        other.accelerators < accelerators ? other.accelerators : accelerators;
    return *this;
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(cpu, memory_mb, accelerators);
  }
};

// A step of a job: `count` identical tasks.
struct StepSpec {
  std::uint32_t count = 1;
  Resources task;
  // Declared run time of a task; often off by half.
  std::uint32_t estimate_ms = 0;
  // Indices of the earlier steps whose tasks must be done before this one
  // starts.
  std::vector<std::uint32_t> depends_on;
  bool checkpointing = false;
  // All tasks run at the same time or none does, under one attempt number.
  bool gang = false;
  // Tasks that span racks take `remote_factor` times as long.
  bool rack_local = false;
  // Several copies of a task may run at the same time.
  bool speculative = false;
  // Runs until the job is cancelled.
  bool long_running = false;
  // Runs on processor time that the other tasks of a worker leave unused;
  // reserves none.
  bool fills = false;
  // Label that the worker must have; empty when any worker is suitable.
  std::string required_label;
  // Rack that stores the input data; empty when every rack has fast access to
  // it.
  std::string data_rack;
  // Maximum number of tasks of the step on one worker; 0 means no limit.
  std::uint32_t max_per_worker = 0;
  std::string image;
  // Bound on the response time of a serving task; 0 when it has none.
  std::uint32_t target_ms = 0;
  // Number of tasks of a long-running step that the scheduler may interrupt at
  // the same time.
  std::uint32_t may_miss = 0;

  bool operator==(const StepSpec&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(count, task, estimate_ms, depends_on, checkpointing, gang,
            rack_local, speculative, long_running, fills, required_label,
            data_rack, max_per_worker, image, target_ms, may_miss);
  }
};

struct JobSpec {
  // Passed to each task unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  // 0 when the steps run once, as soon as possible.
  std::uint32_t repeat_count = 0;
  // Milliseconds since the Unix epoch; used when repeat_count is above 0.
  std::uint64_t start_at_ms = 0;
  std::uint64_t interval_ms = 0;

  bool operator==(const JobSpec&) const = default;

  std::uint32_t occurrences() const {
    return repeat_count == 0 ? 1 : repeat_count;
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(payload, steps, repeat_count, start_at_ms, interval_ms);
  }
};

// One task of one occurrence of a step.
struct TaskRef {
  base::JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskRef&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, occurrence, step, index);
  }
};

// One attempt to run a task.
struct RunKey {
  TaskRef task;
  std::uint32_t attempt = 0;

  auto operator<=>(const RunKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(task, attempt);
  }
};

// One occurrence of a step.
struct StepRef {
  base::JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepRef&) const = default;
};

inline StepRef StepOf(const TaskRef& task) {
  return {.job = task.job, .occurrence = task.occurrence, .step = task.step};
}

// One incarnation of a worker. A worker that restarts under the same id has a
// higher `born`.
struct WorkerIncarnation {
  base::WorkerId id;
  // Milliseconds since the Unix epoch.
  std::uint64_t born = 0;

  auto operator<=>(const WorkerIncarnation&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, born);
  }
};

enum class WorkerPhase : std::uint8_t { kReady, kDraining };

// What a worker reports about itself.
struct WorkerDescription {
  WorkerIncarnation incarnation;
  // "ip:port" at which the worker receives calls.
  std::string address;
  // The pool of workers that it belongs to.
  std::string pool;
  base::DomainId domain;
  base::RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  WorkerPhase phase = WorkerPhase::kReady;
  // Sequence number of the report; increases with each report.
  std::uint64_t sequence = 0;

  bool operator==(const WorkerDescription&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(incarnation, address, pool, domain, rack, labels, capacity, phase,
            sequence);
  }
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_JOB_H_
