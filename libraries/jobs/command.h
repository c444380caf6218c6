#ifndef WIGEONSTAIR_LIBRARIES_JOBS_COMMAND_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_COMMAND_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "jobs/job_record.h"
#include "jobs/run_time_model.h"

namespace wigeonstair::jobs {

// Takes effect when its version is higher than the current one.
struct PutConfiguration {
  Configuration configuration;
  // The document as the operator sent it, returned by reads.
  std::string document;

  // The limits come last in the body of the command and of its call.
  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(configuration, document);
    SaveLimits(archive, configuration);
  }
  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    archive(configuration, document);
    LoadLimits(archive, configuration);
  }
};

// Takes a failure domain out of service or back in.
struct SetDomainService {
  base::DomainId domain;
  bool in_service = true;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(domain, in_service);
  }
};

struct SubmitJob {
  JobRecord job;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job);
  }
};

struct CancelJob {
  base::JobId job;
  std::uint64_t now_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, now_ms);
  }
};

struct Placement {
  TaskRef task;
  std::uint32_t attempt = 0;
  WorkerIncarnation worker;

  bool operator==(const Placement&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(task, attempt, worker);
  }
};

// Starts the term of a new leader. Later PlaceTasks and EndTasks commands of
// earlier terms have no effect.
struct TakeOver {
  std::uint64_t term = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term);
  }
};

// Committed before the first start call is sent, so that a new leader knows on
// which worker and under which attempt number a task may run.
struct PlaceTasks {
  // The term of the leader that proposed it.
  std::uint64_t term = 0;
  std::vector<Placement> placements;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term, placements);
  }
};

enum class RunOutcome : std::uint8_t {
  kDone,
  // Counts towards `max_attempts` of the queue.
  kFailed,
  // Stopped, never started or lost with its worker; the task waits for another
  // placement.
  kReturned,
};

struct TaskEnd {
  TaskRef task;
  std::uint32_t attempt = 0;
  RunOutcome outcome = RunOutcome::kReturned;
  // The newest known checkpoint; empty when there is none.
  std::string checkpoint;

  bool operator==(const TaskEnd&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(task, attempt, outcome, checkpoint);
  }
};

// Committed before the ends are acknowledged to the workers, which then drop
// them.
struct EndTasks {
  // The term of the leader that proposed it.
  std::uint64_t term = 0;
  std::vector<TaskEnd> ends;
  std::uint64_t now_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term, ends, now_ms);
  }
};

// A worker registered, or its description changed, such as when it starts to
// drain.
struct RecordWorker {
  WorkerDescription worker;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(worker);
  }
};

// A worker was not heard from for long. It may register again.
struct RemoveWorker {
  WorkerIncarnation incarnation;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(incarnation);
  }
};

// Deletes jobs and deregistrations that ended before this time (milliseconds
// since the Unix epoch).
struct ForgetJobs {
  std::uint64_t ended_before_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(ended_before_ms);
  }
};

// A worker announced its end. Its later reports, which may be delayed, have no
// effect.
struct DeregisterWorker {
  WorkerIncarnation incarnation;
  std::uint64_t now_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(incarnation, now_ms);
  }
};

// Runs whose only start call is known to have been executed. Changes no
// replicated state; each host keeps it in its PlacementHistory.
struct ConfirmStarts {
  // The term of the leader that proposed it.
  std::uint64_t term = 0;
  // The monotonic clock of that leader, so that a host which replays its log
  // knows how much time passed between the commands of a term.
  std::uint64_t leader_ms = 0;
  std::vector<RunKey> runs;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term, leader_ms, runs);
  }
};

// Runs that ended, at a bounded rate. A lost command costs its samples. No
// rule rests on them: they change only what is expected of later runs.
struct RecordRunTimes {
  std::vector<RunTimeSample> samples;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(samples);
  }
};

// Cancels a job that may still be handed in, by a process that held it back.
struct CancelUnknownJob {
  base::JobId job;
  // Those of the call, to which the job belongs when it comes.
  std::string queue;
  base::CustomerId customer;
  std::uint64_t now_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(job, queue, customer, now_ms);
  }
};

// The order is part of the format of the log.
using Command = std::variant<PutConfiguration,
                             SetDomainService,
                             SubmitJob,
                             CancelJob,
                             TakeOver,
                             PlaceTasks,
                             EndTasks,
                             RecordWorker,
                             RemoveWorker,
                             ForgetJobs,
                             DeregisterWorker,
                             ConfirmStarts,
                             RecordRunTimes,
                             CancelUnknownJob>;

// The result of applying a command.
enum class CommandReply : std::uint8_t {
  kApplied,
  // The command was applied before, or a newer change superseded it.
  kNoChange,
  kNotFound,
  // The job id is in use for another job.
  kConflict,
};

// Fails with kCorruptData.
std::string EncodeCommand(const Command& command);
base::Result<Command> DecodeCommand(std::string_view bytes);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_COMMAND_H_
