#include <catch2/catch.hpp>

#include <string>

#include "dispatch_simulation.h"
#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// The time within which a guarantee is met.
constexpr std::uint64_t kReclaimMs = 3400;

StepSpec Lasting(std::uint32_t count, std::uint64_t accelerators) {
  StepSpec step = Step(count, accelerators, 60'000);
  step.long_running = true;
  return step;
}

// Customers with guarantees, and jobs of priority 0.
class Customers {
 public:
  explicit Customers(int workers)
      : simulation({.workers = workers, .workers_per_rack = workers}) {}

  void Put(std::vector<Customer> customers) {
    Configuration configuration = simulation.store().configuration();
    ++configuration.version;
    configuration.customers = std::move(customers);
    simulation.Apply(PutConfiguration{.configuration = configuration});
  }

  void Submit(const std::string& id,
              const std::string& customer,
              StepSpec step) {
    simulation.Apply(
        SubmitJob{.job = {.id = base::JobId(id),
                          .queue = "q",
                          .pool = "p",
                          .customer = base::CustomerId(customer),
                          .policy = {.priority = 0,
                                     .max_attempts = 3,
                                     .stretch = 3,
                                     .completion_target_ms = 1000},
                          .spec = {.payload = "x", .steps = {std::move(step)}},
                          .accepted_ms = simulation.fleet().now_ms()}});
  }

  std::size_t Running(const std::string& id) {
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < 3; ++index)
      count +=
          simulation.fleet().Running({.job = base::JobId(id), .index = index});
    return count;
  }

  DispatchSimulation simulation;
};

Customer Guaranteed(const std::string& id, std::uint64_t accelerators) {
  return {.id = base::CustomerId(id),
          .keys = {id},
          .guaranteed_accelerators = accelerators};
}

}  // namespace

// Guards against a guarantee that is not met (RECLAIM): lasting work of
// priority 0 keeps the accelerators of another customer.
TEST_CASE("urgent work beyond a guarantee is taken back for another one") {
  for (const bool gangs : {false, true}) {
    Customers fleet(3);
    fleet.Put({Guaranteed("c", 8), Guaranteed("d", 8)});
    fleet.simulation.RunFor(100);
    StepSpec lasting = Lasting(gangs ? 1 : 3, 8);
    lasting.gang = gangs;
    fleet.Submit("d1", "d", lasting);
    if (gangs) {
      fleet.Submit("d2", "d", lasting);
      fleet.Submit("d3", "d", lasting);
    }
    fleet.simulation.RunFor(4000);
    REQUIRE(fleet.simulation.fleet().starts() == 3);
    fleet.Submit("c1", "c", Step(1, 8, 6000));
    fleet.simulation.RunFor(kReclaimMs);
    CHECK(fleet.Running("c1") == 1);
    CHECK(fleet.Running("d1") +
              (gangs ? fleet.Running("d2") + fleet.Running("d3") : 0) ==
          2);
    fleet.simulation.RunFor(10'000);
    CHECK(fleet.simulation.StateOf("c1") == JobState::kCompleted);
    CHECK(fleet.simulation.fleet().violations().empty());
  }
}

TEST_CASE("urgent work within a guarantee is not taken back for another one") {
  Customers fleet(3);
  fleet.Put({Guaranteed("c", 8), Guaranteed("d", 16), Guaranteed("e", 0)});
  fleet.simulation.RunFor(100);
  fleet.Submit("d1", "d", Lasting(2, 8));
  fleet.simulation.RunFor(500);
  fleet.Submit("e1", "e", Lasting(1, 8));
  fleet.simulation.RunFor(3000);
  REQUIRE(fleet.simulation.fleet().starts() == 3);
  fleet.Submit("c1", "c", Step(1, 8, 6000));
  fleet.simulation.RunFor(kReclaimMs);
  CHECK(fleet.Running("c1") == 1);
  CHECK(fleet.Running("d1") == 2);
  CHECK(fleet.Running("e1") == 0);
  // Beyond its own guarantee the customer takes nothing.
  fleet.Submit("c2", "c", Step(1, 8, 6000));
  fleet.simulation.RunFor(2000);
  CHECK(fleet.Running("d1") == 2);
}

// Guards against two customers that take the same accelerators from each other
// for ever.
TEST_CASE("customers beyond their guarantees take nothing from each other") {
  Customers fleet(3);
  fleet.Put({Guaranteed("c", 4), Guaranteed("d", 4)});
  fleet.simulation.RunFor(100);
  fleet.Submit("d1", "d", Lasting(3, 8));
  fleet.simulation.RunFor(1000);
  fleet.Submit("c1", "c", Lasting(1, 8));
  fleet.simulation.RunFor(10'000);
  CHECK(fleet.simulation.fleet().starts() == 3);
  CHECK(fleet.Running("d1") == 3);
}

}  // namespace wigeonstair::jobs
