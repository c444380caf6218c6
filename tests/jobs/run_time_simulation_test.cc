#include <catch2/catch.hpp>

#include "dispatch_simulation.h"

namespace wigeonstair::jobs {

// Guards against a leader that begins without experience.
TEST_CASE("the next leader expects what the former one had learned") {
  DispatchSimulation simulation({.run_times = LearnedRunTimes{}});
  simulation.fleet().work_ms = [](const TaskRef&) { return 2000.0; };
  for (int i = 0; i < 10; ++i)
    simulation.Submit("j" + std::to_string(i), {Step(8, 1, 500)});
  simulation.RunFor(8000);
  const RunTimeKey key{.queue = "q",
                       .shape = TaskShape{.task = Step(1, 1, 1).task},
                       .customer = base::CustomerId("c")};
  CHECK(simulation.store().run_times().Expect(key, 500).median_ms ==
        Approx(2000).epsilon(0.15));
  JobStore next;
  REQUIRE(next.Restore(simulation.store().Snapshot()));
  CHECK(next.run_times() == simulation.store().run_times());
}

TEST_CASE("no samples are written while run times are not learned") {
  DispatchSimulation simulation({});
  simulation.Submit("a", {Step(20, 1, 500)});
  simulation.RunFor(8000);
  CHECK(simulation.StateOf("a") == JobState::kCompleted);
  CHECK(simulation.store().run_times().samples() == 0);
}

// Guards against an election that loses what a summary held.
TEST_CASE("lost summaries change no outcome") {
  DispatchSimulation simulation({.run_times = LearnedRunTimes{}});
  simulation.loses = [](const Command& command) {
    return std::holds_alternative<RecordRunTimes>(command);
  };
  simulation.Submit("a", {Step(40, 1, 500)});
  simulation.RunFor(8000);
  CHECK(simulation.StateOf("a") == JobState::kCompleted);
  CHECK(simulation.store().run_times().samples() == 0);
}

}  // namespace wigeonstair::jobs
