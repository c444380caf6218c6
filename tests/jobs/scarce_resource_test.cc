#include <catch2/catch.hpp>

#include <cmath>

#include "dispatch_simulation.h"
#include "jobs/planner.h"
#include "jobs/resource_share.h"

// Loads under which processors or memory run out before accelerators. Workers
// have 64 cores, 256 GB and 8 accelerators.
namespace wigeonstair::jobs {

namespace {

// Two fit on a worker.
constexpr Resources kWide{.cpu = 26'000, .memory_mb = 1000, .accelerators = 1};
// One fits on a worker.
constexpr Resources kLarge{.cpu = 1000,
                           .memory_mb = 140'000,
                           .accelerators = 1};

StepSpec StepOfShape(std::uint32_t count,
                     const Resources& task,
                     std::uint32_t ms) {
  return {.count = count, .task = task, .estimate_ms = ms};
}

CandidateWorker CandidateWithFree(const std::string& id,
                                  const Resources& free) {
  return {.incarnation = {.id = base::WorkerId(id)},
          .pool = "p",
          .rack = base::RackId("r"),
          .capacity = {.cpu = 64'000, .memory_mb = 256'000, .accelerators = 8},
          .free = free};
}

// Whether a job of two tasks is refused while many others of its shape wait.
bool IsRefusedBehindQueue(const Resources& task, std::uint32_t jobs) {
  DispatchSimulation simulation({});
  for (std::uint32_t i = 0; i < jobs; ++i) {
    simulation.Submit("l" + std::to_string(i), {StepOfShape(24, task, 2000)},
                      1);
  }
  simulation.RunFor(1000);
  const JobRecord job{.id = base::JobId("a"),
                      .pool = "p",
                      .spec = {.steps = {StepOfShape(2, task, 2000)}}};
  return simulation.dispatcher()
      .CheckAdmission(
          {.priority = 2, .stretch = 3, .completion_target_ms = 1000}, "q", job,
          simulation.Time())
      .has_value();
}

}  // namespace

TEST_CASE("the scarcest resource decides the dominant share") {
  const Resources whole{.cpu = 100, .memory_mb = 200, .accelerators = 8};
  CHECK(DominantShare({.cpu = 50, .memory_mb = 20, .accelerators = 2}, whole) ==
        Approx(0.5));
  CHECK(DominantShare(Resources{}, whole) == 0);
  CHECK(std::isinf(DominantShare(Resources{.accelerators = 1},
                                 Resources{.cpu = 100, .memory_mb = 200})));
  CHECK(TimesContained({.cpu = 26, .accelerators = 1},
                       {.cpu = 64, .accelerators = 8}) == Approx(64.0 / 26));
  CHECK(TimesContained({.cpu = 1, .accelerators = 1}, {.cpu = 64}) == 0);
}

// Guards against a fleet that counts as idle while no further task fits.
TEST_CASE("workers without free processors or memory are busy") {
  const auto is_busy = [](const Resources& free) {
    return IsBusy({.cpu = 64'000, .memory_mb = 256'000, .accelerators = 8},
                  free);
  };
  CHECK(is_busy({.cpu = 12'000, .memory_mb = 200'000, .accelerators = 6}));
  CHECK(is_busy({.cpu = 60'000, .memory_mb = 116'000, .accelerators = 7}));
  CHECK_FALSE(
      is_busy({.cpu = 40'000, .memory_mb = 200'000, .accelerators = 6}));
  CHECK_FALSE(IsBusy({}, {}));
}

// Guards against a reserve of accelerators on which no urgent task can run.
TEST_CASE("the urgent reserve counts only room that urgent tasks can use") {
  std::vector<CandidateWorker> workers{
      CandidateWithFree("a", {.memory_mb = 200'000, .accelerators = 8}),
      CandidateWithFree("b",
                        {.cpu = 8000, .memory_mb = 200'000, .accelerators = 7}),
      CandidateWithFree(
          "c", {.cpu = 32'000, .memory_mb = 200'000, .accelerators = 6})};
  ReserveForUrgent(workers,
                   {.cpu = 16'000, .memory_mb = 20'000, .accelerators = 4});
  CHECK_FALSE(workers[0].urgent_only);
  CHECK(workers[1].urgent_only);
  CHECK(workers[2].urgent_only);
}

// Load pattern: more work than the processors, or the memory, can do in time
// while most accelerators are free.
TEST_CASE("a job behind a queue for processors or memory is refused") {
  CHECK_FALSE(IsRefusedBehindQueue(kWide, 1));
  CHECK(IsRefusedBehindQueue(kWide, 30));
  CHECK_FALSE(IsRefusedBehindQueue(kLarge, 1));
  CHECK(IsRefusedBehindQueue(kLarge, 30));
}

// Guards against refusals because of work that other workers do.
TEST_CASE("a queue for one pool refuses no jobs of another") {
  DispatchSimulation simulation({});
  WorkerDescription other = simulation.fleet().worker(0).description;
  other.incarnation = {.id = base::WorkerId("other"), .born = 1};
  other.pool = "idle";
  simulation.Apply(RecordWorker{.worker = other});
  for (int i = 0; i < 30; ++i)
    simulation.Submit("l" + std::to_string(i), {StepOfShape(24, kWide, 2000)});
  simulation.RunFor(1000);
  const JobRecord job{.id = base::JobId("a"),
                      .pool = "idle",
                      .spec = {.steps = {StepOfShape(2, kWide, 2000)}}};
  CHECK_FALSE(simulation.dispatcher().CheckAdmission(
      {.priority = 2, .stretch = 3, .completion_target_ms = 1000}, "q", job,
      simulation.Time()));
}

// Guards against refusals because of a job that no usable worker can run.
TEST_CASE("a job for a resource that no worker has refuses no others") {
  DispatchSimulation simulation(
      {.capacity = {.cpu = 64'000, .memory_mb = 256'000}});
  simulation.Submit("never", {StepOfShape(1, kWide, 2000)});
  simulation.Submit(
      "busy", {StepOfShape(24, {.cpu = 26'000, .memory_mb = 1000}, 60'000)});
  simulation.RunFor(1000);
  const JobRecord job{
      .id = base::JobId("a"),
      .pool = "p",
      .spec = {
          .steps = {StepOfShape(2, {.cpu = 1000, .memory_mb = 1000}, 60'000)}}};
  CHECK_FALSE(simulation.dispatcher().CheckAdmission(
      {.priority = 2, .stretch = 3, .completion_target_ms = 1000}, "q", job,
      simulation.Time()));
}

// Load pattern: waves of urgent gangs on workers whose processors long tasks
// with few accelerators take. Without a guarantee nothing is preempted, so only
// the reserve keeps room.
TEST_CASE("waves of urgent gangs find processors that were kept for them") {
  DispatchSimulation simulation(
      {.workers = 24, .workers_per_rack = 8, .guaranteed_accelerators = 0});
  constexpr int kWaves = 6;
  constexpr std::uint64_t kWaveMs = 2500;
  for (int i = 0; i < kWaves; ++i) {
    for (int k = 0; k < 3; ++k) {
      simulation.Submit("low" + std::to_string(i) + std::to_string(k),
                        {StepOfShape(10, kWide, 6000)}, 2);
    }
    StepSpec gang = StepOfShape(8, kWide, 1000);
    gang.gang = true;
    simulation.Submit("urgent" + std::to_string(i), {gang}, 0);
    simulation.RunFor(kWaveMs);
  }
  simulation.RunFor(4000);
  for (int i = 0; i < kWaves; ++i) {
    const std::string id = "urgent" + std::to_string(i);
    CHECK(simulation.StateOf(id) == JobState::kCompleted);
    // The objective: three times the run time plus one second.
    CHECK(simulation.DurationMs(id) <= 4000);
  }
}

}  // namespace wigeonstair::jobs
