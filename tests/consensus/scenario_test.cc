#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "tests/consensus/simulation.h"

namespace wigeonstair::consensus {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

SimulatedHost& LeaderOf(Simulation& simulation) {
  for (int i = 0; i < 100 && simulation.Leader() == nullptr; ++i)
    simulation.RunFor(milliseconds(100));
  REQUIRE(simulation.Leader() != nullptr);
  return *simulation.Leader();
}

SimulatedHost& FollowerOf(Simulation& simulation) {
  SimulatedHost& leader = LeaderOf(simulation);
  return &leader == &simulation.host(0) ? simulation.host(1)
                                        : simulation.host(0);
}

void Write(Simulation& simulation, int count) {
  for (int i = 0; i < count; ++i) {
    SimulatedHost& leader = LeaderOf(simulation);
    const std::uint64_t id = 500000u + simulation.random().Below(1u << 30);
    simulation.Propose(leader, RegisterMachine::Command(id, 0),
                       [](const auto&) {});
    simulation.RunFor(milliseconds(20));
  }
}

void CheckClean(Simulation& simulation) {
  simulation.CheckEnd();
  for (const auto& violation : simulation.violations())
    FAIL_CHECK(violation.second);
}

}  // namespace

// Guards against a leader that answers reads after a freeze that outlasted its
// lease, while another leader has committed.
TEST_CASE("a leader frozen for longer than its lease answers no stale read") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Simulation simulation({.seed = seed});
    SimulatedHost& old_leader = LeaderOf(simulation);
    simulation.StartOperators(3, seconds(12));
    simulation.RunFor(seconds(1));
    simulation.Freeze(old_leader, seconds(4));
    simulation.RunFor(seconds(12));
    CheckClean(simulation);
  }
}

// Guards against a group that a cut in one direction leaves without a leader
// that can commit, or with two.
TEST_CASE("one-way cuts do not stop the group") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Simulation simulation({.seed = seed, .lost = 0});
    SimulatedHost& leader = LeaderOf(simulation);
    simulation.StartOperators(3, seconds(10));
    for (int i = 0; i < 3; ++i) {
      if (seed % 2 == 0) {
        simulation.Cut(leader.id, simulation.host(i).id);
      } else {
        simulation.Cut(simulation.host(i).id, leader.id);
      }
    }
    simulation.RunFor(seconds(6));
    SimulatedHost* now = simulation.Leader();
    CHECK(now != nullptr);
    CHECK(now != &leader);
    CheckClean(simulation);
  }
}

// Guards against a lost entry when the second disk goes as soon as the first
// one is replaced.
TEST_CASE("a second disk may be lost right after a repair") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Simulation simulation({.seed = seed});
    simulation.StartOperators(3, seconds(20));
    simulation.RunFor(seconds(4));
    for (int lost = 0; lost < 3; ++lost) {
      SimulatedHost& host = simulation.host(lost);
      simulation.LoseDisk(host);
      simulation.RunFor(milliseconds(50));
      simulation.Start(host);
      for (int i = 0; i < 600 && !simulation.AllVotersHealthy(); ++i)
        simulation.RunFor(milliseconds(50));
      CHECK(simulation.AllVotersHealthy());
    }
    CheckClean(simulation);
  }
}

// Guards against a log that cannot be read again, or that grows without bound.
TEST_CASE("a whole group restarts after hundreds of changes") {
  Simulation simulation({.seed = 9, .snapshot_entries = 100});
  Write(simulation, 700);
  for (int i = 0; i < 3; ++i)
    simulation.Kill(simulation.host(i));
  const Index before = simulation.host(0).machine->last_index();
  for (int i = 0; i < 3; ++i)
    simulation.Start(simulation.host(i));
  CheckClean(simulation);
  CHECK(simulation.host(0).machine->last_index() > before);
  const auto names =
      base::Capture([&] { return simulation.host(0).disk->List(); });
  CHECK(std::get<std::vector<std::string>>(names).size() < 40);
}

// Guards against a failover slower than the target of 2 s.
TEST_CASE("a new leader takes over within 2 s") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Simulation simulation(
        {.seed = seed, .lost = 0, .duplicated = 0, .late = 0});
    SimulatedHost& leader = LeaderOf(simulation);
    simulation.RunFor(seconds(2));
    simulation.Kill(leader);
    simulation.RunFor(seconds(2));
    CHECK(simulation.Leader() != nullptr);
  }
}

// Guards against a planned shutdown that costs a failover.
TEST_CASE("a transfer hands the leadership over within 100 ms") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(
        {.seed = seed, .lost = 0, .duplicated = 0, .late = 0});
    SimulatedHost& leader = LeaderOf(simulation);
    simulation.RunFor(seconds(2));
    simulation.Step(leader, TransferInput());
    simulation.RunFor(milliseconds(100));
    CHECK(simulation.Leader() != &leader);
    CheckClean(simulation);
  }
}

// Guards against a replica that goes on while its disk refuses writes, and
// against one that never comes back afterwards.
TEST_CASE("a replica stops while its disk refuses writes") {
  Simulation simulation({.seed = 3});
  SimulatedHost& leader = LeaderOf(simulation);
  leader.disk->LimitBytes(10);
  Write(simulation, 5);
  simulation.RunFor(seconds(3));
  CHECK(leader.driver->replica().role() == Role::kStopped);
  CHECK(simulation.Leader() != &leader);
  leader.disk->LimitBytes(1u << 20);
  simulation.RunFor(seconds(5));
  CHECK(leader.driver->replica().role() == Role::kFollower);
  CHECK(leader.driver->applied_index() ==
        LeaderOf(simulation).driver->applied_index());
  CheckClean(simulation);
}

// Guards against a group that stops for good after two of its disks were full,
// one after the other.
TEST_CASE("a group goes on after its disks were full in turn") {
  for (const int voters : {3, 5}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Simulation simulation({.seed = seed, .voters = voters});
      simulation.StartOperators(3, seconds(20));
      simulation.RunFor(seconds(3));
      for (int i = 0; i < voters; ++i) {
        simulation.FillDisk(simulation.host(i), seconds(2));
        simulation.RunFor(seconds(3));
      }
      const int before = simulation.applied_commands();
      simulation.RunFor(seconds(3));
      INFO("seed " << seed << "\n" << simulation.Describe());
      CHECK(simulation.applied_commands() > before);
      CheckClean(simulation);
    }
  }
}

TEST_CASE("a group goes on after all of its disks were full at once") {
  for (const int voters : {3, 5}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Simulation simulation({.seed = seed, .voters = voters});
      simulation.StartOperators(3, seconds(15));
      simulation.RunFor(seconds(3));
      for (int i = 0; i < voters; ++i)
        simulation.FillDisk(simulation.host(i), seconds(4));
      simulation.RunFor(seconds(7));
      const int before = simulation.applied_commands();
      simulation.RunFor(seconds(4));
      INFO("seed " << seed << "\n" << simulation.Describe());
      CHECK(simulation.applied_commands() > before);
      CheckClean(simulation);
    }
  }
}

// Guards against a vote from a host whose folder is empty, also when it starts
// before it can reach anybody.
TEST_CASE("a host with an empty folder does not vote or lead") {
  Simulation simulation({.seed = 4});
  Write(simulation, 20);
  SimulatedHost& host = FollowerOf(simulation);
  SimulatedHost& leader = LeaderOf(simulation);
  simulation.LoseDisk(host);
  simulation.Isolate(host);
  simulation.Start(host);
  simulation.RunFor(seconds(10));
  CHECK(host.driver->replica().role() == Role::kForming);
  simulation.Kill(leader);
  simulation.Heal();
  simulation.RunFor(seconds(10));
  CHECK(simulation.Leader() == nullptr);
  CheckClean(simulation);
}

// Guards against a group that is never formed (Acks): a host that had lost its
// folder and knew of no group said that one exists, so the others waited for
// it.
TEST_CASE("a group forms although a host loses its folder at any step") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (int step_ms = 0; step_ms <= 1200; step_ms += 30) {
      Simulation simulation(
          {.seed = seed, .lost = 0, .duplicated = 0, .late = 0});
      SimulatedHost& host =
          simulation.host(static_cast<int>(simulation.random().Below(3)));
      simulation.RunFor(milliseconds(step_ms));
      simulation.LoseDisk(host);
      host.lost_folder = true;
      simulation.RunFor(milliseconds(simulation.random().Below(3000)));
      simulation.Start(host);
      simulation.RunFor(seconds(12));
      INFO("seed " << seed << " step " << step_ms << "\n"
                   << simulation.Describe());
      REQUIRE(simulation.Leader() != nullptr);
      CheckClean(simulation);
      CHECK(simulation.AllVotersHealthy());
    }
  }
}

// The other hosts start after the loss, as machines that are turned on one
// after the other.
TEST_CASE("a host that loses its folder before the others start is replaced") {
  Simulation simulation({.seed = 5});
  SimulatedHost& host = simulation.host(2);
  simulation.Kill(simulation.host(0));
  simulation.Kill(simulation.host(1));
  simulation.RunFor(milliseconds(200));
  simulation.LoseDisk(host);
  host.lost_folder = true;
  simulation.Start(simulation.host(0));
  simulation.Start(simulation.host(1));
  simulation.RunFor(seconds(3));
  CHECK(simulation.Leader() == nullptr);
  simulation.Start(host);
  simulation.RunFor(seconds(12));
  CHECK(simulation.Leader() != nullptr);
  CheckClean(simulation);
  CHECK(simulation.AllVotersHealthy());
}

// Guards against histories that differ between two runs of a seed.
TEST_CASE("a seed gives the same history again") {
  std::string first;
  for (int run = 0; run < 2; ++run) {
    Simulation simulation({.seed = 77, .voters = 5, .learners = 2});
    simulation.StartOperators(3, seconds(8));
    simulation.StartFaults(seconds(7));
    simulation.RunFor(seconds(8));
    simulation.CheckEnd();
    const std::string state =
        simulation.Describe() +
        std::to_string(simulation.host(0).machine->digest());
    if (run == 0)
      first = state;
    CHECK(state == first);
  }
}

// Guards against a restarted voter that keeps the snapshot of its start, and
// the one before the newest, in memory.
TEST_CASE("a replica holds only the state of its newest snapshot") {
  const Member self{.host = base::HostId("h1"), .incarnation = 1};
  const auto stored = std::make_shared<const Snapshot>(Snapshot{
      .index = 5, .term = 1, .members = {self}, .state = "stored state"});
  ReplicaOptions options{.host = self.host};
  options.stored = {.hard_state = HardState{.term = 1, .incarnation = 1},
                    .snapshot = stored,
                    .entries = {Entry{.term = 1}}};
  Replica replica(std::move(options), base::Instant());
  // This one and the one of the log.
  CHECK(stored.use_count() == 2);
  CHECK(replica.log().snapshot() == stored);
}

}  // namespace wigeonstair::consensus
