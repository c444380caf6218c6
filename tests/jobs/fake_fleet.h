#ifndef WIGEONSTAIR_TESTS_JOBS_FAKE_FLEET_H_
#define WIGEONSTAIR_TESTS_JOBS_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/actions.h"
#include "jobs/job_store.h"

namespace wigeonstair::jobs {

// Workers with a logical clock in milliseconds. They follow the promises that
// real workers give: attempts and fencing tokens only rise, everything runs
// under a lease, gangs work and end together, ends stay listed until they are
// acknowledged.
class FakeFleet {
 public:
  struct Run {
    std::uint64_t started_ms = 0;
    double remaining_work_ms = 0;
    double total_work_ms = 0;
    bool gang = false;
    // When a stop takes effect; 0 when it was not told to stop.
    std::uint64_t stops_at_ms = 0;
  };
  struct Worker {
    WorkerDescription description;
    bool up = true;
    // Calls get no answer, and the worker runs on.
    bool silent = false;
    // Its tasks stand still.
    bool hangs = false;
    double speed = 1;
    std::uint64_t fence = 0;
    std::uint64_t lease_until_ms = 0;
    std::map<RunKey, Run> runs;
    std::map<TaskRef, std::uint32_t> closed_attempts;
    std::vector<ListedEnd> ended;
    std::uint64_t last_end = 0;
  };

  // The store tells what the jobs are and what is done.
  FakeFleet(const JobStore& store, int workers, int workers_per_rack);

  void Advance(std::uint64_t to_ms);
  CallAnswer Start(const StartAction& call);
  CallAnswer Stop(const StopAction& call);
  // The answer once there is an end to tell or the wait is over.
  std::optional<HoldAnswer> Hold(const HoldAction& call, std::uint64_t sent_ms);
  // Ends all runs and begins a new life.
  void Restart(std::size_t worker);

  Worker& worker(std::size_t index) { return workers_[index]; }
  std::size_t size() const { return workers_.size(); }
  Worker* Find(const WorkerIncarnation& incarnation);
  std::uint64_t now_ms() const { return now_ms_; }
  std::uint64_t ClockOf(const Worker& worker) const;

  // Broken promises, in words.
  const std::vector<std::string>& faults() const { return faults_; }
  std::size_t starts() const { return starts_; }
  std::size_t Running(const TaskRef& task) const;

  // How long a task works; the declared time by default.
  std::function<double(const TaskRef&)> work_ms;
  // Whether a run fails when its work is over.
  std::function<bool(const RunKey&)> fails = [](const RunKey&) {
    return false;
  };

 private:
  void End(Worker& worker, const RunKey& key, ListedOutcome outcome);
  void Work(std::uint64_t step_ms);
  void EndGang(const StepRef& step,
               std::uint32_t attempt,
               ListedOutcome outcome);
  bool GangHangs(const StepRef& step) const;
  bool GangPresent(const StepRef& step, std::uint32_t attempt) const;
  void CheckStart(const Worker& worker, const StartAction& call);

  const JobStore& store_;
  std::vector<Worker> workers_;
  std::uint64_t now_ms_ = 1'000'000;
  std::size_t starts_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_TESTS_JOBS_FAKE_FLEET_H_
