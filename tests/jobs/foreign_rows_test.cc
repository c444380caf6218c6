#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch_simulation.h"
#include "jobs/dispatcher.h"
#include "net/codec.h"
#include "worker_of.h"

namespace wigeonstair::jobs {

namespace {

constexpr std::uint32_t kFar = 4'000'000'000;

// Runs that were never placed: of an unknown job, and of the job "a" with a
// step, an occurrence, an index or an attempt that it does not have.
std::vector<RunKey> ForeignRuns() {
  const base::JobId a("a");
  return {{.task = {.job = base::JobId("unknown")}, .attempt = 1},
          {.task = {.job = a, .step = kFar}, .attempt = 1},
          {.task = {.job = a, .step = 2}, .attempt = 1},
          {.task = {.job = a, .occurrence = kFar}, .attempt = 1},
          {.task = {.job = a, .index = kFar}, .attempt = 1},
          {.task = {.job = a, .index = 1}, .attempt = kFar},
          {.task = {.job = a}, .attempt = 0}};
}

// What a snapshot of a JobStore holds.
struct StoreContent {
  std::uint64_t term = 1;
  Configuration configuration;
  std::string document;
  std::set<base::DomainId> out_of_service;
  std::map<base::JobId, JobRecord> jobs;
  std::set<base::JobId> open_jobs;
  std::map<base::WorkerId, WorkerDescription> workers;
  std::map<WorkerIncarnation, std::uint64_t> deregistered;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term, configuration, document, out_of_service, jobs, open_jobs,
            workers, deregistered);
  }
};

}  // namespace

// Guards against a leader that is ended by one row of a worker (review/4): the
// steps of the job were indexed by the row.
TEST_CASE("a listed run that was never placed has no effect") {
  for (const RunKey& foreign : ForeignRuns()) {
    INFO(foreign.task.step << " " << foreign.task.occurrence << " "
                           << foreign.task.index << " " << foreign.attempt);
    DispatchSimulation simulation({});
    simulation.Submit("a", {Step(8, 1, 5000)});
    simulation.RunFor(1000);
    const std::size_t holder = WorkerOf(simulation, {.job = base::JobId("a")});
    simulation.fleet().worker(holder).foreign_runs = {
        {.run = foreign, .percent = 10}};
    simulation.RunFor(2000);
    CHECK(simulation.dispatcher().run_count() == 8);
    CHECK(simulation.dispatcher().TakeForeignRows() > 0);
    simulation.RunFor(6000);
    CHECK(simulation.StateOf("a") == JobState::kCompleted);
    CHECK(simulation.fleet().starts() == 8);
    CHECK(simulation.dispatcher().run_count() == 0);
  }
}

// Guards against a task that is never started as long as a worker lists an
// attempt that nobody placed.
TEST_CASE("a listed attempt that was never placed holds no waiting task") {
  DispatchSimulation simulation({.workers = 2, .workers_per_rack = 1});
  simulation.fleet().worker(0).foreign_runs = {
      {.run = {.task = {.job = base::JobId("a")}, .attempt = 7}}};
  simulation.Submit("a", {Step(1, 1, 500)});
  simulation.RunFor(4000);
  CHECK(simulation.StateOf("a") == JobState::kCompleted);
}

TEST_CASE("a worker is told to stop a run of a job that is forgotten") {
  DispatchSimulation simulation({.workers = 1, .workers_per_rack = 1});
  simulation.Submit("a", {Step(1, 1, 60'000)});
  simulation.RunFor(1000);
  REQUIRE(simulation.fleet().worker(0).runs.size() == 1);
  simulation.Apply(CancelJob{.job = base::JobId("a"), .now_ms = 1});
  simulation.Apply(ForgetJobs{.ended_before_ms = 2});
  simulation.ChangeLeader();
  simulation.RunFor(1500);
  CHECK(simulation.fleet().worker(0).runs.empty());
}

// Guards against finished tasks that start again without end (review/standin,
// foreign-end): the end of another writer was acknowledged, and the worker
// forgot the ends with lower numbers before the leader had read them.
TEST_CASE("an end of a run that was never placed hides no later end") {
  for (const RunKey& foreign : ForeignRuns()) {
    DispatchSimulation simulation({.workers = 2, .workers_per_rack = 1});
    simulation.Submit("a", {Step(8, 1, 2000), Step(4, 1, 1000)});
    simulation.RunFor(1000);
    for (std::size_t i = 0; i < 2; ++i) {
      FakeFleet::Worker& worker = simulation.fleet().worker(i);
      worker.foreign_ends = {{.number = worker.last_end + 500,
                              .run = foreign,
                              .outcome = ListedOutcome::kDone}};
    }
    simulation.RunFor(6000);
    CHECK(simulation.StateOf("a") == JobState::kCompleted);
    CHECK(simulation.fleet().starts() == 12);
    CHECK(simulation.fleet().violations().empty());
  }
}

TEST_CASE("a run that is listed as active has not ended") {
  DispatchSimulation simulation({.workers = 1, .workers_per_rack = 1});
  simulation.Submit("a", {Step(1, 1, 3000)});
  simulation.RunFor(1000);
  simulation.fleet().worker(0).foreign_ends = {
      {.number = 900,
       .run = {.task = {.job = base::JobId("a")}, .attempt = 1},
       .outcome = ListedOutcome::kDone}};
  simulation.RunFor(1000);
  CHECK(simulation.StateOf("a") == JobState::kRunning);
  CHECK(simulation.fleet().worker(0).foreign_ends.size() == 1);
}

// Guards against an index beyond the steps of a job that a peer sent.
TEST_CASE("a job with progress of steps that it does not have is refused") {
  JobRecord job{.id = base::JobId("a"), .spec = {.steps = {{.count = 2}}}};
  const auto restores = [](const JobRecord& record, const std::string& open) {
    StoreContent content;
    content.jobs = {{base::JobId("a"), record}};
    content.open_jobs = {base::JobId(open)};
    JobStore store;
    return std::holds_alternative<std::monostate>(
        base::Capture([&] { return store.Restore(net::Encode(content)); }));
  };
  REQUIRE(restores(job, "a"));
  CHECK_FALSE(restores(job, "b"));
  const std::pair<std::uint32_t, std::uint32_t> places[] = {
      {0, kFar}, {0, 1}, {1, 0}, {0, 0}};
  for (const auto& place : places) {
    job.progress = {{place, std::vector<TaskProgress>(3)}};
    JobStore store;
    CHECK(store.Apply(SubmitJob{.job = job}) == CommandReply::kConflict);
    CHECK(store.jobs().empty());
    CHECK_FALSE(restores(job, "a"));
  }
  job.progress = {{{0, 0}, std::vector<TaskProgress>(2)}};
  CHECK(restores(job, "a"));
}

}  // namespace wigeonstair::jobs
