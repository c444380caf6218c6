#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_MODEL_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "settings/value.h"
#include "standin/worker_messages.h"

namespace wigeonstair::standin {

enum class TaskFault : std::uint8_t {
  kNone,
  // Every task fails when it is started.
  kFailEverything,
};

struct WorkerOptions {
  std::string id;
  std::string domain;
  std::string rack;
  int cores = 64;
  int memory_megabytes = 262'144;
  int accelerators = 8;
  std::int64_t incarnation = 1;
  // True run time divided by the run time of the directive.
  double run_factor = 1.0;
  base::Duration checkpoint_time = std::chrono::milliseconds(500);
  // Usage is measured once in this time and reported with its age.
  base::Duration usage_lag = std::chrono::seconds(2);
  TaskFault fault = TaskFault::kNone;
};

struct WorkerCounts {
  int started = 0;
  int finished = 0;
  int failed = 0;
  // Directives with an epoch below the highest seen, which were not executed.
  int refused_epochs = 0;
  // Directives that came again, which were not executed again.
  int repeated_directives = 0;
  int expired_leases = 0;

  auto operator<=>(const WorkerCounts&) const = default;
};

// A worker as docs/api.md describes it: carries out directives once, refuses
// lower epochs, and checkpoints and stops tasks when their lease has run out.
// Pure; time is an argument.
class WorkerModel {
 public:
  explicit WorkerModel(WorkerOptions options) : options_(std::move(options)) {}

  // Body of PUT /v1/workers/{id}.
  settings::Value Registration() const;
  void OnRegistered(const RegistrationAnswer& answer);

  // Body of POST /v1/workers/{id}/report with a new sequence number. It holds
  // what changed since the last acknowledged report. The answer may be held for
  // `wait`.
  settings::Value NextReport(base::Instant now,
                             base::Duration wait = base::Duration::zero());
  // `sent_at` is when the report that is answered was sent: a lease counts
  // from then, so that it ends here before it ends at the authority.
  void OnReportAnswer(const ReportAnswer& answer,
                      base::Instant sent_at,
                      base::Instant now);
  // The answer to the report with this number has arrived; the next report
  // says so.
  void MarkAnswered(std::int64_t sequence);

  // Lets running tasks progress, ends checkpoints and leases.
  void Advance(base::Instant now);

  // Whether something changed that should be reported at once.
  bool HasNews() const { return change_ > reported_change_; }

  void set_fault(TaskFault fault) { options_.fault = fault; }
  void set_usage_lag(base::Duration lag) { options_.usage_lag = lag; }
  const WorkerOptions& options() const { return options_; }
  const WorkerCounts& counts() const { return counts_; }
  std::int64_t epoch() const { return epoch_; }
  // Number of the last report.
  std::int64_t sequence() const { return sequence_; }
  std::size_t running_tasks() const;

 private:
  struct Task {
    TaskState state = TaskState::kPrepared;
    std::vector<int> accelerators;
    int cores = 0;
    int memory_megabytes = 0;
    base::Duration run{0};
    base::Duration progress{0};
    base::Duration checkpoint{0};
    int speed_percent = 100;
    base::Instant advanced_to{};
    base::Instant lease_end{};
    // Set while the state is kCheckpointing.
    base::Instant checkpoint_end{};
    bool stop_after_checkpoint = false;
    std::vector<std::int64_t> directives_after_checkpoint;
    std::string result;
    // Number of the change that made the task what it is.
    std::int64_t change = 0;
  };
  struct Completion {
    std::int64_t id = 0;
    std::int64_t change = 0;
  };
  struct Usage {
    base::Instant measured_at{};
    int cores = 0;
    int memory_megabytes = 0;
  };

  void Execute(const Directive& directive,
               base::Instant lease_end,
               base::Instant now);
  void Prepare(const Directive& directive, base::Instant lease_end);
  void Start(const Directive& directive,
             base::Instant lease_end,
             base::Instant now);
  void Checkpoint(const Directive& directive, base::Instant now);
  void Stop(const Directive& directive);
  void Throttle(const Directive& directive);
  void Renew(base::Instant lease_end);

  void AdvanceTask(Task& task, base::Instant now);
  void EndLease(Task& task, base::Instant now);
  void EndCheckpoint(Task& task);
  void BeginCheckpoint(Task& task, base::Instant now);
  void SetState(Task& task, TaskState state, std::string result = {});
  void Complete(std::int64_t directive);
  bool IsFree(const std::vector<int>& accelerators) const;
  // Remembers a directive id. False when it was known already.
  bool Remember(std::int64_t directive);
  void MeasureUsage(base::Instant now);
  settings::Value TaskToValue(const TaskName& name, const Task& task) const;

  WorkerOptions options_;
  WorkerCounts counts_;
  std::int64_t epoch_ = 0;
  std::map<TaskName, Task> tasks_;
  std::vector<Completion> completions_;
  std::set<std::int64_t> known_directives_;
  std::deque<std::int64_t> directive_order_;
  // Changes are numbered; a report holds the changes after the acknowledged.
  std::int64_t change_ = 0;
  std::int64_t reported_change_ = 0;
  std::int64_t acknowledged_change_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t answered_sequence_ = 0;
  std::map<std::int64_t, std::int64_t> change_of_sequence_;
  bool full_report_ = false;
  std::optional<Usage> usage_;
};

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_MODEL_H_
