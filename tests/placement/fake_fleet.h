#ifndef WIGEONSTAIR_TESTS_PLACEMENT_FAKE_FLEET_H_
#define WIGEONSTAIR_TESTS_PLACEMENT_FAKE_FLEET_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/decisions.h"
#include "placement/events.h"

namespace wigeonstair::placement {

// The property that an observation violates; the letters are those of the test
// names in engine_properties_test.cc.
enum class BrokenProperty {
  kGuarantee,    // (a)
  kGang,         // (b)
  kOutDomain,    // (c)
  kDoubleGrant,  // (d)
  kLostTask,     // (d)
  kRunTwice,     // (f)
  kUnanswered,   // (e)
};

struct Violation {
  BrokenProperty broken = BrokenProperty::kGuarantee;
  std::string text = {};
};

// A task on a fake worker.
struct FakeTask {
  base::WorkerId worker = {};
  std::vector<int> accelerators = {};
  ReportedState state = ReportedState::kPrepared;
  std::int64_t progress_at_start = 0;
  std::int64_t checkpoint = 0;
  base::Instant started_at = {};
};

// The number of next directives of each kind that are lost before they reach a
// worker.
struct DroppedDirectives {
  int prepares = 0;
  int starts = 0;
  int checkpoints = 0;
  int stops = 0;
};

// Simulated workers, which execute decisions after a fixed delay and answer
// with events after the same delay. Checks properties (b), (c), (d) and (f).
class FakeFleet {
 public:
  static constexpr base::Duration kDelay = std::chrono::milliseconds(100);

  void AddWorker(const base::WorkerId& worker,
                 const base::RackId& rack,
                 const Resources& capacity);
  // Sets the number of tasks and the run time of a job.
  void SetRun(const base::JobId& job, int tasks, std::int64_t milliseconds);

  // Queues the decisions of one engine step for execution.
  void Accept(const std::vector<Decision>& decisions, base::Instant now);
  // Executes the decisions that are due and returns the events that reach the
  // engine.
  std::vector<Event> Advance(base::Instant now);

  // The worker is lost and its tasks stop. Returns the event for the engine.
  Event Lose(const base::WorkerId& worker);
  Event Return(const base::WorkerId& worker);
  // The worker goes on running its tasks without a connection to the authority,
  // until it returns or is lost.
  void Partition(const base::WorkerId& worker);
  bool IsLive(const base::WorkerId& worker) const;
  bool IsPartitioned(const base::WorkerId& worker) const;
  Event FullReport(const base::WorkerId& worker) const;
  // Registrations for a new engine; undelivered directives are dropped.
  std::vector<Event> RegisterAll();

  void ToggleFailing(const base::WorkerId& worker);
  // Workers stop failing the tasks that they start.
  void Heal() { failing_.clear(); }
  DroppedDirectives& drops() { return drops_; }
  void SetDomainOut(bool out) { domain_out_ = out; }
  const std::vector<base::WorkerId>& workers() const { return names_; }
  const std::map<TaskKey, FakeTask>& tasks() const { return tasks_; }
  std::vector<Violation>& violations() { return violations_; }

 private:
  struct Worker {
    base::RackId rack = {};
    Resources capacity = {};
    bool live = true;
    bool partitioned = false;
  };

  void Execute(const Decision& decision, base::Instant now);
  void Prepare(const PrepareTask& prepare);
  void CheckPrepared(const StartGang& start);
  void Start(const StartGang& start, base::Instant now);
  void Checkpoint(const CheckpointTask& checkpoint, base::Instant now);
  void Stop(const TaskPlace& place, base::Instant now);
  void FinishDue(base::Instant now);
  void CheckGangs(base::Instant now);
  // Discards the events of the worker that have not arrived yet.
  void DropAnswersOf(const base::WorkerId& worker);
  void Answer(Event event, base::Instant now);
  std::vector<ReportedTask> TasksOf(const base::WorkerId& worker) const;
  std::int64_t Progress(const FakeTask& task, base::Instant now) const;

  std::vector<base::WorkerId> names_;
  std::map<base::WorkerId, Worker> workers_;
  std::set<base::WorkerId> failing_;
  std::map<base::JobId, std::pair<int, std::int64_t>> runs_;
  std::map<TaskKey, FakeTask> tasks_;
  std::vector<std::pair<base::Instant, Decision>> directives_;
  std::vector<std::pair<base::Instant, Event>> answers_;
  // The time since which only part of a gang has been running.
  std::map<std::pair<base::JobId, std::int64_t>, base::Instant> partial_since_;
  // Checkpointed progress of each task of a job.
  std::map<base::JobId, std::map<int, std::int64_t>> checkpoints_;
  DroppedDirectives drops_;
  bool domain_out_ = false;
  std::vector<Violation> violations_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_TESTS_PLACEMENT_FAKE_FLEET_H_
