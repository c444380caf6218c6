#include <catch2/catch.hpp>

#include "dispatch_simulation.h"
#include "jobs/job_changes.h"

namespace wigeonstair::jobs {

namespace {

class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed)
      : simulation_({.seed = seed,
                     .lost_answers = 0.05,
                     .late_starts = 0.05,
                     .late_holds = 0.05}),
        random_(simulation_.random()) {
    simulation_.fleet().fails = [this](const RunKey&) {
      return random_.Below(6) == 0;
    };
  }

  // Returns the first state that differs from a computation from scratch.
  std::string Play() {
    for (int round = 0; round < 40; ++round) {
      Submit();
      Disturb();
      for (std::uint64_t i = 0; i <= random_.Below(9); ++i) {
        simulation_.RunFor(10 + random_.Below(80));
        const std::string_view stale =
            simulation_.dispatcher().FindStaleState(simulation_.Time());
        if (!stale.empty())
          return std::string(stale);
      }
    }
    return "";
  }

 private:
  void Submit() {
    std::vector<StepSpec> steps;
    const std::uint64_t sizes[] = {0, 1, 2, 4, 8};
    for (std::uint64_t i = 0; i <= random_.Below(3); ++i) {
      const auto count = static_cast<std::uint32_t>(1 + random_.Below(9));
      const std::uint64_t size = sizes[random_.Below(5)];
      const auto run_ms = static_cast<std::uint32_t>(100 + random_.Below(2500));
      StepSpec step = Step(count, size, run_ms);
      step.gang = random_.Below(2) == 0;
      step.rack_local = random_.Below(2) == 0;
      step.max_per_worker = random_.Below(3) == 0 ? 1 : 0;
      if (i > 0)
        step.depends_on = {static_cast<std::uint32_t>(i - 1)};
      steps.push_back(step);
    }
    const std::string id = "j" + std::to_string(jobs_++);
    if (random_.Below(4) > 0) {
      simulation_.Submit(id, std::move(steps),
                         static_cast<std::uint32_t>(random_.Below(3)), 2);
      return;
    }
    const std::uint64_t now_ms = simulation_.Time().wall_ms;
    simulation_.Apply(
        SubmitJob{.job = {.id = base::JobId(id),
                          .queue = "q",
                          .pool = "p",
                          .customer = base::CustomerId("c"),
                          .policy = {.max_attempts = 2, .stretch = 3},
                          .spec = {.steps = std::move(steps),
                                   .repeat_count = 3,
                                   .start_at_ms = now_ms + random_.Below(1500),
                                   .interval_ms = 400},
                          .accepted_ms = now_ms}});
  }

  void Disturb() {
    FakeFleet& fleet = simulation_.fleet();
    const std::size_t worker = random_.Below(fleet.size());
    switch (random_.Below(10)) {
      case 0:
        simulation_.ChangeLeader();
        break;
      case 1:
        simulation_.Restart(worker);
        break;
      case 2:
      case 3:
        fleet.worker(worker).silent = true;
        break;
      case 4:
        simulation_.Apply(CancelJob{
            .job = base::JobId("j" + std::to_string(random_.Below(jobs_))),
            .now_ms = simulation_.Time().wall_ms});
        break;
      case 5:
        // Without runs, of which the fleet could list one.
        Submit();
        simulation_.Apply(CancelJob{
            .job = base::JobId("j" + std::to_string(jobs_ - 1)), .now_ms = 1});
        simulation_.Apply(ForgetJobs{.ended_before_ms = 2});
        break;
      case 6:
        simulation_.loses = [this](const Command&) {
          return random_.Below(2) == 0;
        };
        break;
      case 7:
        simulation_.SetPhase(worker, random_.Below(2) == 0
                                         ? WorkerPhase::kDraining
                                         : WorkerPhase::kReady);
        break;
      default:
        for (std::size_t i = 0; i < fleet.size(); ++i)
          fleet.worker(i).silent = false;
        simulation_.loses = [](const Command&) { return false; };
        break;
    }
  }

  DispatchSimulation simulation_;
  base::Random& random_;
  std::uint64_t jobs_ = 0;
};

}  // namespace

TEST_CASE("what the dispatcher keeps equals what it would compute anew") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    CHECK(RandomHistory(seed).Play() == "");
  }
}

TEST_CASE("a job that becomes ready by time alone is found") {
  DispatchSimulation simulation({});
  simulation.RunFor(500);
  simulation.Apply(SubmitJob{
      .job = {.id = base::JobId("later"),
              .queue = "q",
              .pool = "p",
              .customer = base::CustomerId("c"),
              .policy = {.max_attempts = 2, .stretch = 3},
              .spec = {.steps = {Step(1, 1, 100)},
                       .repeat_count = 2,
                       .start_at_ms = simulation.Time().wall_ms + 3000,
                       .interval_ms = 1000},
              .accepted_ms = simulation.Time().wall_ms}});
  simulation.RunFor(2500);
  CHECK(simulation.fleet().starts() == 0);
  simulation.RunFor(3000);
  CHECK(simulation.fleet().starts() == 2);
}

TEST_CASE("a reader of changes that is too far behind is told to read all") {
  JobChanges changes;
  CHECK_FALSE(changes.Since(0));
  const std::uint64_t start = changes.revision();
  CHECK(changes.Since(start)->empty());
  changes.Add(base::JobId("a"));
  changes.Add(base::JobId("b"));
  CHECK(*changes.Since(start) ==
        std::vector{base::JobId("a"), base::JobId("b")});
  CHECK(*changes.Since(start + 1) == std::vector{base::JobId("b")});
  for (std::size_t i = 0; i < JobChanges::kKept; ++i)
    changes.Add(base::JobId("c"));
  CHECK_FALSE(changes.Since(start));
  CHECK(changes.Since(start + 2)->size() == JobChanges::kKept);
  const std::uint64_t before = changes.revision();
  changes.AddAll();
  CHECK_FALSE(changes.Since(before));
  CHECK(changes.Since(changes.revision())->empty());
}

}  // namespace wigeonstair::jobs
