#include <catch2/catch.hpp>

#include "dispatch_simulation.h"
#include "worker_of.h"

namespace wigeonstair::jobs {

TEST_CASE("a long task that advances by less than a percent is not moved") {
  DispatchSimulation simulation({.workers = 2, .workers_per_rack = 1});
  simulation.Submit("a", {Step(1, 4, 3'600'000)});
  simulation.RunFor(60'000);
  CHECK(simulation.fleet().starts() == 1);
}

TEST_CASE("a long task that makes no progress is moved") {
  DispatchSimulation simulation({.workers = 2, .workers_per_rack = 1});
  simulation.Submit("a", {Step(1, 4, 100'000)});
  simulation.RunFor(2000);
  simulation.fleet()
      .worker(WorkerOf(simulation, {.job = base::JobId("a")}))
      .hangs = true;
  simulation.RunFor(8000);
  CHECK(simulation.fleet().starts() == 2);
}

TEST_CASE("a healthy long task is not taken for slow") {
  // Declared run times are often off by half or more.
  const double actual_ms = GENERATE(600'000.0, 1'200'000.0);
  DispatchSimulation simulation({});
  simulation.fleet().work_ms = [&](const TaskRef&) { return actual_ms; };
  simulation.Submit("a", {Step(6, 8, 600'000)});
  for (std::size_t i = 0; i < simulation.fleet().size(); ++i)
    simulation.fleet().worker(i).speed = 1 - 0.03 * static_cast<double>(i);
  simulation.RunFor(120'000);
  CHECK_FALSE(simulation.decisions().contains("stop slow_worker"));
  CHECK(simulation.fleet().starts() == 6);
}

TEST_CASE("a long task on a slow worker is moved") {
  DispatchSimulation simulation({});
  simulation.Submit("a", {Step(6, 8, 600'000)});
  simulation.RunFor(2000);
  const std::size_t holder = WorkerOf(simulation, {.job = base::JobId("a")});
  simulation.fleet().worker(holder).speed = 0.2;
  simulation.RunFor(21'000);
  CHECK(WorkerOf(simulation, {.job = base::JobId("a")}) != holder);
}

TEST_CASE("the end of progress of a long task is seen between two samples") {
  DispatchSimulation simulation({});
  simulation.Submit("a", {Step(1, 1, 600'000)});
  simulation.RunFor(2000);
  simulation.fleet()
      .worker(WorkerOf(simulation, {.job = base::JobId("a")}))
      .hangs = true;
  simulation.RunFor(21'000);
  CHECK(simulation.decisions().contains("stop hangs"));
}

// Load pattern: one task of thirty takes seven times as long, also when it is
// started again.
TEST_CASE("a task of the tail is not moved once the tail is known",
          "[!mayfail]") {
  DispatchSimulation simulation({.run_times = LearnedRunTimes{}});
  simulation.fleet().work_ms = [](const TaskRef& task) {
    return task.index % 24 == 7 ? 35'000.0 : 5000.0;
  };
  for (int i = 0; i < 8; ++i) {
    simulation.Submit("before" + std::to_string(i), {Step(96, 1, 5000)});
    simulation.RunFor(40'000);
  }
  const auto stops = [&] {
    const auto found = simulation.decisions().find("stop slow_worker");
    return found == simulation.decisions().end() ? 0 : found->second;
  };
  const int before = stops();
  simulation.Submit("after", {Step(96, 1, 5000)});
  simulation.RunFor(45'000);
  CHECK(simulation.StateOf("after") == JobState::kCompleted);
  CHECK(stops() == before);
}

TEST_CASE("a slow worker is found beside the tail") {
  DispatchSimulation simulation({.run_times = LearnedRunTimes{}});
  simulation.Submit("a", {Step(60, 1, 60'000)});
  simulation.RunFor(2000);
  const std::size_t holder = WorkerOf(simulation, {.job = base::JobId("a")});
  simulation.fleet().worker(holder).speed = 0.2;
  simulation.RunFor(15'000);
  CHECK(simulation.decisions().contains("stop slow_worker"));
  CHECK(WorkerOf(simulation, {.job = base::JobId("a")}) != holder);
}

}  // namespace wigeonstair::jobs
