#include "jobs/customer_cap.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace wigeonstair::jobs {

namespace {

constexpr Resources kTask{.cpu = 2000, .memory_mb = 100, .accelerators = 2};

std::uint32_t Single(const Resources& cap, const Resources& in_use) {
  return TasksWithinCap(cap, in_use, {.task = kTask, .count = 10});
}

JobSpec SpecOf(std::uint32_t count, bool gang) {
  return {.steps = {{.count = count, .task = kTask, .gang = gang}}};
}

}  // namespace

TEST_CASE("each dimension of a cap limits the tasks, and 0 limits nothing") {
  CHECK(Single({}, {.cpu = 1'000'000'000'000}) == 10);
  CHECK(Single({.cpu = 9000}, {.accelerators = 99}) == 4);
  CHECK(Single({.cpu = 9000, .accelerators = 5}, {}) == 2);
  CHECK(Single({.memory_mb = 350}, {.memory_mb = 50}) == 3);
  CHECK(Single({.accelerators = 20}, {.accelerators = 20}) == 0);
}

TEST_CASE("all tasks of a gang are within the cap or none") {
  const CapRequest gang{.task = kTask, .count = 4, .gang = true};
  CHECK(TasksWithinCap({.accelerators = 8}, {}, gang) == 4);
  CHECK(TasksWithinCap({.accelerators = 8}, {.accelerators = 1}, gang) == 0);
}

// Guards against a start that brings a customer further above a cap that was
// lowered, in a dimension that the task itself does not need.
TEST_CASE("nothing is within a cap that is exceeded in another dimension") {
  const CapRequest request{.task = {.cpu = 1}, .count = 1};
  const Resources cap{.cpu = 10, .accelerators = 8};
  CHECK(TasksWithinCap(cap, {.accelerators = 8}, request) == 1);
  CHECK(TasksWithinCap(cap, {.accelerators = 9}, request) == 0);
}

TEST_CASE("tasks within the cap never bring the use above it") {
  base::Random random(7);
  const auto draw = [&](std::uint64_t most) {
    return Resources{.cpu = random.Below(most),
                     .memory_mb = random.Below(most),
                     .accelerators = random.Below(most)};
  };
  for (int i = 0; i < 20'000; ++i) {
    const Resources cap = draw(40);
    const Resources in_use = draw(40);
    const CapRequest request{
        .task = draw(8),
        .count = static_cast<std::uint32_t>(random.Below(9)),
        .gang = random.Below(2) == 0};
    const std::uint32_t allowed = TasksWithinCap(cap, in_use, request);
    REQUIRE(allowed <= request.count);
    Resources after = in_use;
    for (std::uint32_t k = 0; k < allowed; ++k)
      after += request.task;
    if (allowed > 0)
      REQUIRE_FALSE(ExceedsCap(cap, after));
    after += request.task;
    if (!request.gang && allowed < request.count)
      REQUIRE(ExceedsCap(cap, after));
  }
}

TEST_CASE("a job that can never run under the cap is told so, with the need") {
  CHECK_FALSE(FindCapFault({}, SpecOf(100, true)));
  CHECK_FALSE(FindCapFault({.accelerators = 2}, SpecOf(100, false)));
  CHECK_FALSE(FindCapFault({.accelerators = 8}, SpecOf(4, true)));
  CHECK(FindCapFault({.accelerators = 7}, SpecOf(4, true)) ==
        "the gang of step 0 needs 8 accelerators, and the cap of the customer "
        "is 7");
  CHECK(FindCapFault({.cpu = 1999}, SpecOf(1, false)));
}

TEST_CASE("room is held for a step that fits once other runs have ended") {
  CustomerCaps caps;
  const base::CustomerId customer("c");
  caps.Sync({.version = 1,
             .customers = {{.id = customer, .cap = {.accelerators = 20}}}});
  const StepSpec gang = SpecOf(4, true).steps[0];
  CustomerAccounts accounts;
  accounts.Add(customer, {.accelerators = 10});
  CHECK_FALSE(caps.ShouldHoldRoom(customer, gang, accounts));
  accounts.Add(customer, {.accelerators = 5});
  CHECK(caps.ShouldHoldRoom(customer, gang, accounts));
  CHECK_FALSE(
      caps.ShouldHoldRoom(customer, SpecOf(11, true).steps[0], accounts));
  CHECK_FALSE(caps.ShouldHoldRoom(base::CustomerId("d"), gang, accounts));
}

TEST_CASE("the caps of the newest configuration are found by customer") {
  CustomerCaps caps;
  Configuration configuration{
      .version = 1,
      .customers = {{.id = base::CustomerId("free")},
                    {.id = base::CustomerId("c"), .cap = {.cpu = 5}}}};
  caps.Sync(configuration);
  CHECK(caps.Find(base::CustomerId("free")) == nullptr);
  CHECK(caps.Find(base::CustomerId("unknown")) == nullptr);
  REQUIRE(caps.Find(base::CustomerId("c")) != nullptr);
  CHECK(caps.Find(base::CustomerId("c"))->cpu == 5);
  configuration.version = 2;
  configuration.customers[1].cap = {};
  caps.Sync(configuration);
  CHECK(caps.empty());
}

}  // namespace wigeonstair::jobs
