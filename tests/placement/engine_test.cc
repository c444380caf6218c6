#include "placement/engine.h"

#include <catch2/catch.hpp>

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;
using std::chrono::seconds;

constexpr Resources kWorker{.accelerators = 4,
                            .cores = 16,
                            .memory_megabytes = 64'000};

cluster::JobSpecification Job(const std::string& id, int accelerators) {
  cluster::JobSpecification job;
  job.id = base::JobId(id);
  job.customer = base::CustomerId("a");
  job.accelerators_per_task = accelerators;
  job.declared_run_milliseconds = 3'600'000;
  return job;
}

enum class AtStart { kServing, kRecovering };

// An engine for a domain with one rack of `workers` workers.
class EngineFixture {
 public:
  explicit EngineFixture(int workers, AtStart at_start = AtStart::kServing) {
    cluster::DomainConfiguration domain;
    domain.id = base::DomainId("enns");
    domain.racks = {{.id = base::RackId("rack"),
                     .workers = workers,
                     .cores_per_worker = kWorker.cores,
                     .memory_megabytes_per_worker = kWorker.memory_megabytes,
                     .accelerators_per_worker = kWorker.accelerators}};
    cluster::CustomerConfiguration customer;
    customer.id = base::CustomerId("a");
    auto created = base::Capture([&] {
      return Engine::create(
          {.domain = domain, .customers = {customer}, .created_at = now_});
    });
    engine_.emplace(std::move(std::get<Engine>(created)));
    for (int i = 0; i < workers; ++i) {
      Step(WorkerRegistered{.worker = base::WorkerId(std::to_string(i)),
                            .rack = base::RackId("rack"),
                            .capacity = kWorker});
    }
    if (at_start == AtStart::kServing)
      Step(RecoveryEnded{});
  }

  std::vector<Decision> Step(const Event& event, base::Duration after = {}) {
    now_ += after;
    return engine_->Step(event, now_);
  }

  // Submits the job and confirms that its tasks are prepared and started.
  // Returns their places.
  std::vector<TaskPlace> Run(const cluster::JobSpecification& job) {
    std::vector<TaskPlace> places;
    for (const Decision& decision : Step(JobSubmitted{.specification = job},
                                         std::chrono::milliseconds(50))) {
      if (const auto* prepare = std::get_if<PrepareTask>(&decision))
        places.push_back(prepare->place);
    }
    for (const TaskPlace& place : places)
      Step(TaskPrepared{place.task});
    for (const TaskPlace& place : places)
      Step(TaskStarted{place.task});
    return places;
  }

  Engine& engine() { return *engine_; }
  base::Instant now() const { return now_; }

 private:
  base::Instant now_{seconds(1000)};
  std::optional<Engine> engine_;
};

template <typename T>
int Count(const std::vector<Decision>& decisions) {
  int count = 0;
  for (const Decision& decision : decisions)
    count += std::holds_alternative<T>(decision) ? 1 : 0;
  return count;
}

}  // namespace

// Guards against a refusal that does not say why the job cannot run.
TEST_CASE("an infeasible job is refused with the rejected alternatives") {
  EngineFixture fixture(2);
  const auto decisions =
      fixture.Step(JobSubmitted{.specification = Job("huge", 5)});
  REQUIRE(Count<JobRefused>(decisions) == 1);
  const Reason& reason = ReasonOf(decisions[0]);
  CHECK(reason.code == ReasonCode::kInfeasible);
  CHECK(reason.rejected.size() == 3);
  CHECK(fixture.engine().Explain(base::JobId("huge"))->job.state ==
        JobState::kRefused);
}

// Guards against a job that runs twice: after a refusal the leader assigns it
// to another domain, while tasks started by the former authority may still run.
TEST_CASE("a job that may be running is refused only after recovery") {
  EngineFixture fixture(2, AtStart::kRecovering);
  const cluster::JobSpecification job = Job("huge", 5);
  CHECK(Count<JobRefused>(fixture.Step(JobSubmitted{.specification = job})) ==
        0);
  CHECK(fixture.engine().job(job.id)->reason.code == ReasonCode::kRecovering);
  CHECK(Count<JobRefused>(fixture.Step(
            JobSubmitted{.specification = Job("new", 5),
                         .former_run = FormerRun::kImpossible})) == 1);
  CHECK(Count<JobRefused>(fixture.Step(RecoveryEnded{})) == 1);
  CHECK(fixture.engine().job(job.id)->state == JobState::kRefused);
}

// Guards against a usage report that hides resources granted after it was
// measured.
TEST_CASE("grants made after a usage report are added to it") {
  EngineFixture fixture(1);
  const base::Instant measured_at = fixture.now();
  cluster::JobSpecification job = Job("first", 0);
  job.cores_per_task = 6;
  CHECK(fixture.Run(job).size() == 1);
  // Other processes on the worker used 8 cores before 6 cores were granted.
  fixture.Step(WorkerUsageReported{.worker = base::WorkerId("0"),
                                   .cores = 8,
                                   .memory_megabytes = 100,
                                   .measured_at = measured_at});
  job.id = base::JobId("second");
  CHECK(fixture.Run(job).empty());
  CHECK(fixture.engine().job(job.id)->reason.code == ReasonCode::kNoCapacity);
}

// Guards against a worker that fails one job after another, and against the
// ejection of all workers.
TEST_CASE("workers that fail all tasks are ejected up to a limit") {
  EngineFixture fixture(4);
  int ejected = 0;
  int readmitted = 0;
  for (int i = 0; i < 60; ++i) {
    for (const TaskPlace& place : fixture.Run(Job(std::to_string(i), 4))) {
      const auto decisions = fixture.Step(TaskFailed{place.task, "exit 1"});
      ejected += Count<WorkerEjected>(decisions);
      readmitted += Count<WorkerReadmitted>(decisions);
    }
  }
  CHECK(ejected == 1);
  CHECK(readmitted > 0);
  const auto decisions = fixture.Step(Tick{}, seconds(61));
  CHECK(Count<WorkerOnProbation>(decisions) == 1);
}

// Guards against a reason that does not name the faulty worker.
TEST_CASE("the reason of a failed task names its worker") {
  EngineFixture fixture(4);
  const auto places = fixture.Run(Job("first", 4));
  REQUIRE(places.size() == 1);
  std::string text;
  for (const Decision& decision :
       fixture.Step(TaskFailed{places[0].task, ""})) {
    if (const auto* waiting = std::get_if<JobWaiting>(&decision))
      text = waiting->reason.text;
  }
  CHECK(text.find("task 0 on worker " + places[0].worker.value() + ": it") !=
        std::string::npos);
}

// Guards against fragmentation that blocks a gang although enough is free.
TEST_CASE("small jobs move when a gang gains more than the move costs") {
  EngineFixture fixture(2);
  std::vector<TaskPlace> places;
  for (int i = 0; i < 8; ++i) {
    for (const TaskPlace& place : fixture.Run(Job("s" + std::to_string(i), 1)))
      places.push_back(place);
  }
  REQUIRE(places.size() == 8);
  // Two jobs remain on each worker.
  for (const std::size_t index : {0U, 1U, 4U, 5U})
    fixture.Step(TaskFinished{places[index].task}, seconds(1));
  cluster::JobSpecification gang = Job("gang", 4);
  gang.adjacency = CellLevel::kWorker;
  fixture.Step(JobSubmitted{.specification = gang}, seconds(1));
  int moves = 0;
  for (int i = 0; i < 100; ++i)
    moves += Count<MigrateJob>(fixture.Step(Tick{}, seconds(1)));
  CHECK(moves == 2);
}

// Guards against a preview that differs from what taking the domain out of
// service does.
TEST_CASE("the drain preview lists the jobs that the drain checkpoints") {
  EngineFixture fixture(2);
  fixture.Run(Job("running", 2));
  const DrainPreview preview =
      fixture.engine().PreviewDrain(DrainMode::kHoldForReturn);
  CHECK(preview.checkpoint == std::vector{base::JobId("running")});
  CHECK(preview.accelerators_in_use == 2);
  const auto decisions =
      fixture.Step(DomainStatusChanged{.status = DomainStatus::kOut});
  CHECK(Count<CheckpointTask>(decisions) == 1);
}

// Guards against pages that omit waiting jobs, and against a query that exceeds
// its limit.
TEST_CASE("pages of waiting jobs cover the queue in order") {
  EngineFixture fixture(1);
  for (int i = 0; i < 10; ++i)
    fixture.Run(Job("j" + std::to_string(i), 4));
  fixture.Step(Tick{}, seconds(5));
  fixture.Run(Job("late", 4));
  const WaitingPage all =
      fixture.engine().waiting_jobs({.minimum_wait = seconds(5)});
  CHECK(all.jobs.size() == 9);
  CHECK_FALSE(all.next);
  std::vector<base::JobId> paged;
  int pages = 0;
  WaitingQuery query{.minimum_wait = seconds(5), .limit = 4};
  do {
    const WaitingPage page = fixture.engine().waiting_jobs(query);
    CHECK(page.jobs.size() <= 4);
    paged.insert(paged.end(), page.jobs.begin(), page.jobs.end());
    query.after = page.next;
    ++pages;
  } while (query.after && pages < 10);
  CHECK(paged == all.jobs);
  CHECK(pages == 3);
}

}  // namespace wigeonstair::placement
