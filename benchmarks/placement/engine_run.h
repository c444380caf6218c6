#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_ENGINE_RUN_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_ENGINE_RUN_H_

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "benchmarks/placement/outcome.h"
#include "benchmarks/placement/workload.h"
#include "placement/engine.h"

namespace wigeonstair::placement {

struct EngineRunOptions {
  // Workers, by number, on which every task fails within a second.
  std::set<int> failing_workers = {};
  // First part of the job ids that fail wherever they run.
  std::string failing_prefix = "never";
};

// Feeds one engine with events on a logical clock: submissions, answers of
// workers after fixed delays, and ticks.
class EngineRun {
 public:
  EngineRun(const Deployment& deployment,
            const std::vector<WorkloadJob>& jobs,
            EngineRunOptions options = {});

  // The workload's submission times are not used; see Submit().
  void SubmitOnlyByHand() { next_job_ = jobs_.size(); }
  // Runs to the given time, or until no job is left when it is negative.
  void RunUntil(double seconds);
  void SetStatus(DomainStatus status, DrainMode mode);
  void Submit(std::size_t job, std::int64_t resume_from_milliseconds);

  // Jobs that the domain gave up for another one, with their progress.
  std::vector<std::pair<std::size_t, std::int64_t>> TakeReleased();

  // Accelerator-seconds of work done so far that are not lost.
  double useful_work() const;
  const Outcome& outcome() const { return outcome_; }
  Engine& engine() { return *engine_; }
  // Failures of tasks, and of those how many were on failing workers.
  int stops() const { return stops_; }
  int task_failures() const { return task_failures_; }
  // Wall time of each step, in microseconds, by the kind of event.
  std::vector<double>& costs(const std::string& kind) { return costs_[kind]; }
  void Step(const Event& event, const std::string& kind);

 private:
  struct Task {
    std::size_t job = 0;
    double started = -1;
    std::int64_t progress_at_start = 0;
    std::int64_t checkpoint = 0;
  };
  struct Pending {
    double at = 0;
    std::int64_t sequence = 0;
    Event event = {};
    bool operator>(const Pending& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  void Answer(double delay, Event event);
  void Execute(const Decision& decision);
  void Start(const TaskPlace& place);
  void Stop(const TaskKey& key);
  bool IsStale(const Event& event) const;
  void Deliver(const Event& event);
  void Sample(double duration);
  void NoteStarted(const TaskKey& key);
  double LongestRemaining() const;
  bool IsIdle() const;
  std::int64_t Progress(const Task& task) const;
  base::Instant Now() const;

  const std::vector<WorkloadJob>& jobs_;
  EngineRunOptions options_;
  std::map<base::JobId, std::size_t> indexes_;
  std::vector<std::size_t> large_;
  std::set<base::WorkerId> failing_;
  std::unique_ptr<Engine> engine_;
  double now_ = 0;
  double next_tick_ = 0;
  std::size_t next_job_ = 0;
  std::int64_t next_sequence_ = 0;
  std::size_t unfinished_ = 0;
  std::priority_queue<Pending, std::vector<Pending>, std::greater<>> pending_;
  std::map<TaskKey, Task> tasks_;
  // Work of each job that is finished or checkpointed, in accelerator-seconds.
  double kept_work_ = 0;
  int task_failures_ = 0;
  int stops_ = 0;
  std::vector<std::pair<std::size_t, std::int64_t>> released_;
  std::map<std::string, std::vector<double>> costs_;
  Outcome outcome_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_ENGINE_RUN_H_
