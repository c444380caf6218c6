#include <catch2/catch.hpp>

#include "placement/engine.h"
#include "placement/job_record.h"
#include "placement/runtime_estimator.h"

namespace wigeonstair::placement {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Resources kWorker{.accelerators = 4,
                            .cores = 16,
                            .memory_megabytes = 64'000};

cluster::JobSpecification Gang(const std::string& id, int tasks) {
  cluster::JobSpecification job;
  job.id = base::JobId(id);
  job.customer = base::CustomerId("borrower");
  job.tasks = tasks;
  job.accelerators_per_task = 4;
  job.declared_run_milliseconds = 24 * 3'600'000;
  return job;
}

cluster::JobSpecification Single(const std::string& id, int run_seconds) {
  cluster::JobSpecification job = Gang(id, 1);
  job.accelerators_per_task = 1;
  job.declared_run_milliseconds = run_seconds * 1000;
  return job;
}

// Two workers of one rack. Customer "owner" is guaranteed one accelerator.
class TwoWorkers {
 public:
  TwoWorkers() {
    cluster::DomainConfiguration domain;
    domain.id = base::DomainId("enns");
    domain.racks = {{.id = base::RackId("rack"),
                     .workers = 2,
                     .cores_per_worker = kWorker.cores,
                     .memory_megabytes_per_worker = kWorker.memory_megabytes,
                     .accelerators_per_worker = kWorker.accelerators}};
    cluster::CustomerConfiguration borrower;
    borrower.id = base::CustomerId("borrower");
    cluster::CustomerConfiguration owner;
    owner.id = base::CustomerId("owner");
    owner.guarantees = {{.domain = domain.id,
                         .shape = {cluster::CellLevel::kWorker, 1},
                         .count = 1}};
    auto created = base::Capture([&] {
      return Engine::create({.domain = domain,
                             .customers = {borrower, owner},
                             .created_at = now_});
    });
    engine_.emplace(std::move(std::get<Engine>(created)));
    for (const char* worker : {"0", "1"}) {
      Step(WorkerRegistered{.worker = base::WorkerId(worker),
                            .rack = base::RackId("rack"),
                            .capacity = kWorker});
    }
    Step(RecoveryEnded{});
  }

  // Executes the decisions of the engine at once.
  void Step(const Event& event, base::Duration after = {}) {
    now_ += after;
    for (const Decision& decision : engine_->Step(event, now_)) {
      if (const auto* prepare = std::get_if<PrepareTask>(&decision)) {
        Step(TaskPrepared{prepare->place.task});
      } else if (const auto* start = std::get_if<StartGang>(&decision)) {
        for (const TaskPlace& place : start->members)
          Step(TaskStarted{place.task});
      } else if (const auto* save = std::get_if<CheckpointTask>(&decision)) {
        ++checkpoints_;
        Step(CheckpointDone{save->place.task, 1000});
      } else if (const auto* stop = std::get_if<StopTask>(&decision)) {
        Step(TaskStopped{stop->place.task});
      } else if (const auto* throttle = std::get_if<ThrottleTask>(&decision)) {
        throttles_.emplace_back(throttle->place.task.job.value(),
                                throttle->percent);
      }
    }
  }

  void Submit(const cluster::JobSpecification& job) {
    Step(JobSubmitted{.specification = job}, seconds(1));
  }
  void Wait(base::Duration duration) {
    for (base::Duration waited{0}; waited < duration; waited += seconds(1))
      Step(Tick{}, seconds(1));
  }
  void ReportUsage(int cores) {
    Step(WorkerUsageReported{.worker = base::WorkerId("0"),
                             .cores = cores,
                             .memory_megabytes = 100,
                             .measured_at = now_});
  }
  void Cancel(const std::string& job) {
    Step(JobCancelled{.job = base::JobId(job)}, seconds(1));
  }
  int CountRunning(const std::string& prefix, int jobs) const {
    int running = 0;
    for (int i = 0; i < jobs; ++i)
      running += Runs(prefix + std::to_string(i)) ? 1 : 0;
    return running;
  }
  bool Runs(const std::string& job) const {
    return engine_->job(base::JobId(job))->state == JobState::kRunning;
  }
  int checkpoints() const { return checkpoints_; }
  std::vector<std::pair<std::string, int>> TakeThrottles() {
    return std::exchange(throttles_, {});
  }

 private:
  base::Instant now_{seconds(1000)};
  std::optional<Engine> engine_;
  int checkpoints_ = 0;
  std::vector<std::pair<std::string, int>> throttles_;
};

}  // namespace

// Guards against starvation of a gang by gangs that were submitted later and
// run for days, and against stopping those before gang_preemption_delay has
// passed.
TEST_CASE("a gang stops later borrowed gangs once it has waited too long") {
  TwoWorkers domain;
  domain.Submit(Single("early", 24 * 3600));
  domain.Submit(Gang("old", 2));
  cluster::JobSpecification young = Gang("young", 2);
  young.accelerators_per_task = 2;
  domain.Submit(young);
  REQUIRE(domain.Runs("early"));
  REQUIRE(domain.Runs("young"));
  domain.Wait(minutes(29));
  CHECK_FALSE(domain.Runs("old"));
  domain.Wait(minutes(2));
  CHECK(domain.Runs("old"));
  CHECK_FALSE(domain.Runs("young"));
}

// Guards against two gangs that stop each other in turn.
TEST_CASE("a gang never stops gangs that were submitted before it") {
  TwoWorkers domain;
  cluster::JobSpecification first = Gang("first", 2);
  domain.Submit(first);
  domain.Submit(Gang("second", 2));
  domain.Wait(minutes(65));
  CHECK(domain.Runs("first"));
  CHECK_FALSE(domain.Runs("second"));
}

// Guards against accelerators that stay idle until a reservation starts, and
// against jobs that delay the reserved gang for long.
TEST_CASE("reserved accelerators run jobs that end soon after the start") {
  TwoWorkers domain;
  domain.Submit(Single("running", 60));
  domain.Submit(Gang("gang", 2));
  domain.Wait(seconds(2));
  domain.Submit(Single("long", 3600));
  // Its upper estimate is 3.2 times as long.
  domain.Submit(Single("short", 40));
  domain.Wait(seconds(2));
  CHECK(domain.Runs("short"));
  CHECK_FALSE(domain.Runs("long"));
}

// Guards against many short jobs that wait until one borrowed gang ends, and
// against stopping the gang for only a few jobs or soon after its start.
TEST_CASE("a borrowed gang yields to several short jobs") {
  TwoWorkers domain;
  domain.Submit(Gang("gang", 2));
  for (int i = 0; i < 6; ++i)
    domain.Submit(Single("short-" + std::to_string(i), 60));
  domain.Submit(Single("cancelled", 60));
  domain.Wait(minutes(4));
  CHECK(domain.Runs("gang"));
  domain.Cancel("cancelled");
  domain.Cancel("short-5");
  domain.Wait(minutes(2));
  CHECK(domain.Runs("gang"));
  domain.Submit(Single("sixth", 60));
  domain.Wait(seconds(3));
  CHECK_FALSE(domain.Runs("gang"));
  CHECK(domain.CountRunning("short-", 5) == 5);
  CHECK(domain.Runs("sixth"));
}

// Guards against a gang that yields again and again, and against one that
// yields to jobs that run for more than half of its remaining time.
TEST_CASE("a gang yields neither to long jobs nor after a long wait") {
  TwoWorkers domain;
  domain.Submit(Gang("first", 2));
  domain.Submit(Gang("second", 2));
  domain.Wait(minutes(10));
  for (int i = 0; i < 8; ++i)
    domain.Submit(Single("long-" + std::to_string(i), 13 * 3600));
  domain.Wait(minutes(110));
  CHECK(domain.checkpoints() == 0);
  for (int i = 0; i < 8; ++i)
    domain.Cancel("long-" + std::to_string(i));
  domain.Cancel("first");
  domain.Wait(minutes(6));
  REQUIRE(domain.Runs("second"));
  for (int i = 0; i < 8; ++i)
    domain.Submit(Single("short-" + std::to_string(i), 60));
  domain.Wait(minutes(1));
  CHECK(domain.Runs("second"));
}

// Guards against a job that is taken for nearly finished, and moves to the head
// of the queue, because it has run for longer than its estimate.
TEST_CASE("a job past its estimate is expected to run half as long again") {
  Job job;
  job.estimate = seconds(100);
  job.checkpoint_milliseconds = 60'000;
  CHECK(job.Remaining() == seconds(40));
  job.checkpoint_milliseconds = 300'000;
  CHECK(job.Remaining() == seconds(150));
}

// Guards against a migration cost that stays at its initial 30 s after
// migrations were observed to take no time.
TEST_CASE("short jobs are migrated for a gang once migrations are cheap") {
  TwoWorkers domain;
  const auto runs_after_move = [&](const std::string& name) {
    cluster::JobSpecification filler = Single(name + "-filler", 24 * 3600);
    filler.accelerators_per_task = 3;
    domain.Submit(filler);
    cluster::JobSpecification other = Single(name + "-other", 24 * 3600);
    other.accelerators_per_task = 2;
    domain.Submit(other);
    domain.Submit(Single(name + "-moved", 50));
    domain.Cancel(name + "-filler");
    domain.Submit(Gang(name, 1));
    domain.Wait(seconds(8));
    const bool runs = domain.Runs(name);
    for (const char* part : {"-other", "-moved", ""})
      domain.Cancel(name + part);
    return runs;
  };
  CHECK_FALSE(runs_after_move("before"));
  for (int i = 0; i < 8; ++i)
    domain.Submit(Single("borrowed-" + std::to_string(i), 24 * 3600));
  for (int i = 0; i < 8; ++i) {
    cluster::JobSpecification claim = Single("claim", 60);
    claim.id = base::JobId("claim-" + std::to_string(i));
    claim.customer = base::CustomerId("owner");
    domain.Submit(claim);
    domain.Cancel("claim-" + std::to_string(i));
  }
  for (int i = 0; i < 8; ++i)
    domain.Cancel("borrowed-" + std::to_string(i));
  CHECK(runs_after_move("after"));
}

// Guards against estimates that keep following the declared time, and against
// observations of one class that affect another.
TEST_CASE("run times are estimated by customer and job class") {
  RuntimeEstimator estimator;
  cluster::JobSpecification job = Single("job", 3600);
  job.job_class = "short";
  CHECK(std::chrono::round<seconds>(estimator.Estimate(job).typical) ==
        seconds(3600));
  for (int i = 0; i < 30; ++i)
    estimator.Observe(job, seconds(60));
  const RuntimeEstimate learned = estimator.Estimate(job);
  CHECK(learned.typical < seconds(80));
  CHECK(learned.typical >= seconds(60));
  CHECK(learned.upper > learned.typical);
  CHECK(learned.upper < seconds(160));
  job.job_class = "other";
  CHECK(std::chrono::round<seconds>(estimator.Estimate(job).typical) ==
        seconds(3600));
}

// Guards against borrowed tasks that overload a worker, against throttled
// guaranteed tasks, and against throttling that oscillates around the limit.
TEST_CASE("an overloaded worker throttles its borrowed tasks only") {
  TwoWorkers domain;
  domain.Submit(Single("borrowed", 3600));
  cluster::JobSpecification own = Single("own", 3600);
  own.customer = base::CustomerId("owner");
  domain.Submit(own);
  using Throttles = std::vector<std::pair<std::string, int>>;
  domain.ReportUsage(16);
  CHECK(domain.TakeThrottles().empty());
  domain.ReportUsage(17);
  CHECK(domain.TakeThrottles() == Throttles{{"borrowed", 50}});
  domain.ReportUsage(14);
  CHECK(domain.TakeThrottles().empty());
  domain.ReportUsage(12);
  CHECK(domain.TakeThrottles() == Throttles{{"borrowed", 100}});
}

}  // namespace wigeonstair::placement
