#include "jobs/planner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "base/random.h"

namespace wigeonstair::jobs {

namespace {

std::vector<CandidateWorker> CandidateWorkers(
    const std::vector<std::uint64_t>& free,
    std::size_t per_rack) {
  std::vector<CandidateWorker> workers;
  for (std::size_t i = 0; i < free.size(); ++i) {
    const Resources capacity{
        .cpu = 64000, .memory_mb = 256000, .accelerators = 8};
    Resources left = capacity;
    left.accelerators = free[i];
    workers.push_back({.incarnation = {.id = base::WorkerId(std::to_string(i))},
                       .pool = "p",
                       .rack = base::RackId("r" + std::to_string(i / per_rack)),
                       .labels = {"a"},
                       .capacity = capacity,
                       .free = left});
  }
  NumberRacks(workers);
  return workers;
}

StepSpec GangOfSize(std::uint32_t count, std::uint64_t accelerators) {
  return {.count = count,
          .task = {.cpu = 100, .memory_mb = 10, .accelerators = accelerators},
          .gang = true};
}

// Counts room as PlanAll needs it, worker by worker.
bool FitsAnew(const std::vector<CandidateWorker>& workers,
              const std::vector<std::uint32_t>& used,
              const PlanRequest& request,
              RackRule rule) {
  const StepSpec& step = *request.step;
  std::map<base::RackId, std::uint64_t> racks;
  std::uint64_t all = 0;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const CandidateWorker& worker = workers[i];
    if ((worker.urgent_only && !request.urgent) ||
        worker.usable_ms < request.work_ms || !Accepts(worker, request))
      continue;
    const std::uint64_t fits = CountFitting(worker.Usable(), step, used[i]);
    racks[worker.rack] += fits;
    all += fits;
  }
  const auto holds = [&](const auto& rack) {
    return rack.second >= request.count;
  };
  if (!step.data_rack.empty()) {
    if (racks[base::RackId(step.data_rack)] >= request.count)
      return true;
    if (rule == RackRule::kOneRack)
      return false;
  }
  if (step.rack_local && std::any_of(racks.begin(), racks.end(), holds))
    return true;
  if (step.rack_local && rule == RackRule::kOneRack)
    return false;
  return all >= request.count;
}

}  // namespace

TEST_CASE("a task is placed by best fit, so that whole workers stay free") {
  const auto workers = CandidateWorkers({8, 3, 2}, 8);
  const StepSpec step = GangOfSize(1, 2);
  const auto plan =
      PlanAll(workers, {0, 0, 0}, {.step = &step, .pool = "p", .count = 1},
              RackRule::kAnyRack);
  REQUIRE(plan);
  CHECK(plan->workers == std::vector<std::size_t>{2});
}

TEST_CASE("a rack-local gang is placed in the rack with the best fit") {
  const auto workers = CandidateWorkers({8, 8, 8, 8, 0, 8}, 2);
  StepSpec step = GangOfSize(2, 4);
  step.rack_local = true;
  const auto plan =
      PlanAll(workers, std::vector<std::uint32_t>(6),
              {.step = &step, .pool = "p", .count = 2}, RackRule::kOneRack);
  REQUIRE(plan);
  CHECK(plan->workers == std::vector<std::size_t>{5, 5});
  CHECK_FALSE(plan->remote);
}

TEST_CASE("a gang that fits no rack spans racks only under kAnyRack") {
  const auto workers = CandidateWorkers({8, 0, 8, 0}, 2);
  StepSpec step = GangOfSize(2, 8);
  step.rack_local = true;
  const PlanRequest request{.step = &step, .pool = "p", .count = 2};
  const std::vector<std::uint32_t> used(4);
  CHECK_FALSE(PlanAll(workers, used, request, RackRule::kOneRack));
  const auto plan = PlanAll(workers, used, request, RackRule::kAnyRack);
  REQUIRE(plan);
  CHECK(plan->remote);
}

TEST_CASE("placement respects labels, pools and max_per_worker") {
  auto workers = CandidateWorkers({8, 8, 8}, 3);
  workers[0].pool = "other";
  workers[1].labels = {"b"};
  StepSpec step = GangOfSize(3, 1);
  step.gang = false;
  step.required_label = "a";
  step.max_per_worker = 2;
  const Plan plan =
      PlanSome(workers, {0, 0, 1}, {.step = &step, .pool = "p", .count = 3},
               RackRule::kAnyRack);
  CHECK(plan.workers == std::vector<std::size_t>{2});
}

TEST_CASE("tasks stay in their data rack under kOneRack") {
  const auto workers = CandidateWorkers({8, 8}, 1);
  StepSpec step = GangOfSize(12, 1);
  step.data_rack = "r1";
  const PlanRequest request{.step = &step, .pool = "p", .count = 12};
  CHECK(PlanSome(workers, {0, 0}, request, RackRule::kOneRack).workers ==
        std::vector<std::size_t>(8, 1));
  CHECK(PlanSome(workers, {0, 0}, request, RackRule::kAnyRack).workers.size() ==
        12);
}

TEST_CASE("a blocked gang reserves the rack that is free soonest") {
  const auto workers = CandidateWorkers({0, 0, 4, 0}, 2);
  const StepSpec step = GangOfSize(2, 8);
  const std::vector<Allocation> allocations{
      {.candidate = 0, .resources = {.accelerators = 8}, .remaining_ms = 900},
      {.candidate = 1, .resources = {.accelerators = 8}, .remaining_ms = 400},
      {.candidate = 2, .resources = {.accelerators = 4}, .remaining_ms = 300},
      {.candidate = 3, .resources = {.accelerators = 8}, .remaining_ms = 500}};
  const auto reservation = ReserveRack(
      workers, allocations, {.step = &step, .pool = "p", .count = 2});
  REQUIRE(reservation);
  CHECK(reservation->workers == std::vector<std::size_t>{2, 3});
  CHECK(reservation->wait_ms == 500);
}

TEST_CASE("a gang larger than any rack reserves workers that free soonest") {
  const auto workers = CandidateWorkers({0, 8, 4, 0}, 2);
  const StepSpec step = GangOfSize(3, 8);
  const std::vector<Allocation> allocations{
      {.candidate = 0, .resources = {.accelerators = 8}, .remaining_ms = 900},
      {.candidate = 2, .resources = {.accelerators = 4}, .remaining_ms = 300},
      {.candidate = 3, .resources = {.accelerators = 8}, .remaining_ms = 500}};
  const PlanRequest request{.step = &step, .pool = "p", .count = 3};
  CHECK_FALSE(ReserveRack(workers, allocations, request));
  const auto reservation = ReserveWorkers(workers, allocations, request);
  REQUIRE(reservation);
  CHECK(reservation->workers == std::vector<std::size_t>{1, 2, 3});
  CHECK(reservation->wait_ms == 500);
}

TEST_CASE("reserved workers take only tasks that end before the gang starts") {
  auto workers = CandidateWorkers({8}, 1);
  workers[0].usable_ms = 1000;
  const StepSpec step = GangOfSize(1, 1);
  PlanRequest request{.step = &step, .pool = "p", .count = 1, .work_ms = 2000};
  CHECK_FALSE(PlanAll(workers, {0}, request, RackRule::kAnyRack));
  request.work_ms = 500;
  CHECK(PlanAll(workers, {0}, request, RackRule::kAnyRack));
}

TEST_CASE("the urgent reserve consists of whole workers in few racks") {
  auto workers = CandidateWorkers({8, 8, 2, 8, 1, 0}, 2);
  ReserveForUrgent(workers, {.accelerators = 12});
  std::set<std::size_t> kept;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (workers[i].urgent_only)
      kept.insert(i);
  }
  CHECK(kept == std::set<std::size_t>{0, 1});
}

TEST_CASE("room that is counted while victims end equals room counted anew") {
  base::Random random(7);
  for (int trial = 0; trial < 300; ++trial) {
    std::vector<std::uint64_t> free;
    for (int i = 0; i < 12; ++i)
      free.push_back(random.Below(5));
    std::vector<CandidateWorker> workers = CandidateWorkers(free, 3);
    for (CandidateWorker& worker : workers) {
      worker.claimed.accelerators = random.Below(3);
      worker.usable_ms = random.Below(4) == 0 ? 10 : worker.usable_ms;
      worker.urgent_only = random.Below(4) == 0;
    }
    const auto count = static_cast<std::uint32_t>(1 + random.Below(12));
    const std::uint64_t accelerators = 1 + random.Below(3);
    StepSpec step = GangOfSize(count, accelerators);
    step.rack_local = random.Below(2) == 0;
    step.data_rack = random.Below(3) == 0 ? "r1" : "";
    step.max_per_worker = static_cast<std::uint32_t>(random.Below(3));
    const RackRule rule =
        random.Below(2) == 0 ? RackRule::kOneRack : RackRule::kAnyRack;
    const PlanRequest request{.step = &step,
                              .pool = "p",
                              .count = step.count,
                              .work_ms = 20,
                              .urgent = random.Below(2) == 0};
    std::vector<std::uint32_t> used;
    for (std::size_t i = 0; i < workers.size(); ++i)
      used.push_back(static_cast<std::uint32_t>(random.Below(2)));
    std::vector<CandidateWorker> freed = workers;
    GangRoom room(workers, used, request, rule);
    for (int victim = 0; victim < 20; ++victim) {
      REQUIRE(room.IsEnough() == FitsAnew(freed, used, request, rule));
      REQUIRE(PlanAll(freed, used, request, rule).has_value() ==
              room.IsEnough());
      const std::size_t i = random.Below(workers.size());
      freed[i].free.accelerators += 1;
      room.Free(i, {.accelerators = 1});
    }
  }
}

TEST_CASE("the capacity of racks does not depend on the size of the gang") {
  std::vector<CandidateWorker> workers = CandidateWorkers({0, 0, 0, 0, 0}, 3);
  StepSpec step = GangOfSize(2, 3);
  const PlanRequest request{.step = &step, .pool = "p"};
  CHECK(RackCapacity(workers, request) == 6);
  step.data_rack = "r1";
  CHECK(RackCapacity(workers, request) == 4);
  step.max_per_worker = 1;
  CHECK(RackCapacity(workers, request) == 2);
  step.data_rack = "elsewhere";
  CHECK(RackCapacity(workers, request) == 0);
}

}  // namespace wigeonstair::jobs
