#include <catch2/catch.hpp>

#include <string>

#include "tests/authority/simulation.h"

namespace wigeonstair::authority {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::DomainId kLinz("linz");
const base::Instant kStart(seconds(100));

struct Fixture {
  explicit Fixture(int hosts) {
    configuration.domains.push_back({.id = kLinz});
    for (int i = 0; i < hosts; ++i) {
      const base::HostId host("host-" + std::to_string(i));
      configuration.hosts.push_back({.id = host,
                                     .domain = kLinz,
                                     .control_http = "127.0.0.1:1",
                                     .entry_http = "127.0.0.1:2"});
      for (const ProcessRole role :
           {ProcessRole::kControl, ProcessRole::kEntry})
        At(i, role) = {.liveness = Liveness::kAlive, .last_heard = kStart};
    }
  }
  ProcessObservation& At(int host, ProcessRole role) {
    return observed[{base::HostId("host-" + std::to_string(host)), role}];
  }
  void Apply(int host) {
    At(host, ProcessRole::kControl).applied.Note(9, kStart);
    At(host, ProcessRole::kEntry).applied.Note(9, kStart);
  }
  void MarkDead(int host) {
    At(host, ProcessRole::kControl).liveness = Liveness::kDead;
    At(host, ProcessRole::kEntry).liveness = Liveness::kDead;
  }
  TakeOutQuery Query() const {
    return {.configuration = &configuration,
            .observed = &observed,
            .revision = 9,
            .applied_here = kStart,
            .observed_since = kStart};
  }
  std::vector<MissingConfirmation> Missing(base::Duration after) const {
    return TakeOutTracker().Missing(Query(), kStart + after);
  }

  cluster::ClusterConfiguration configuration;
  ObservationMap observed;
};

}  // namespace

// Guards against a change that is reported as in force while a live or suspect
// process still uses the former view.
TEST_CASE("every live control and entry process must apply the change") {
  Fixture fixture(2);
  CHECK(fixture.Missing(seconds(0)).size() == 2);
  fixture.Apply(0);
  const auto missing = fixture.Missing(seconds(1'000));
  REQUIRE(missing.size() == 1);
  CHECK(missing[0].id == "host-1");
  CHECK(missing[0].kind == MissingKind::kHost);
  fixture.At(1, ProcessRole::kControl).applied.Note(9, kStart);
  CHECK(fixture.Missing(seconds(0)).size() == 1);
  fixture.At(1, ProcessRole::kEntry).liveness = Liveness::kSuspect;
  CHECK(fixture.Missing(seconds(1'000)).size() == 1);
  fixture.At(1, ProcessRole::kEntry).applied.Note(10, kStart);
  CHECK(fixture.Missing(seconds(0)).empty());
}

// Guards against a lost holder that still acts after a change is in force, and
// against a dead host that keeps changes pending for ever.
TEST_CASE("a lost host counts as stopped when its leases have run out") {
  Fixture fixture(3);
  fixture.Apply(0);
  fixture.Apply(1);
  fixture.MarkDead(2);
  CHECK(fixture.Missing(milliseconds(2'010)).size() == 1);
  CHECK(fixture.Missing(seconds(6)).empty());
  // Two lost hosts of three can elect an authority between them.
  fixture.At(1, ProcessRole::kControl) = {.liveness = Liveness::kDead,
                                          .last_heard = kStart};
  CHECK(fixture.Missing(seconds(1'000)).size() == 2);
}

// Guards against a take-out that is reported as in force while a domain that is
// cut off still starts tasks.
TEST_CASE("a domain that cannot be reached stops when its autonomy runs out") {
  Fixture fixture(2);
  fixture.MarkDead(0);
  fixture.MarkDead(1);
  auto missing = fixture.Missing(seconds(100'000));
  REQUIRE(missing.size() == 1);
  CHECK(missing[0].kind == MissingKind::kDomain);
  CHECK(missing[0].id == "linz");
  fixture.configuration.domains[0].autonomy_seconds = 60;
  CHECK(fixture.Missing(seconds(62)).size() == 1);
  CHECK(fixture.Missing(seconds(63)).empty());
}

// Guards against jobs that are moved to another domain while their tasks may
// still run.
TEST_CASE("a domain has stopped when it is out and its task leases are over") {
  Fixture fixture(2);
  fixture.Apply(0);
  fixture.Apply(1);
  const TakeOutTracker tracker;
  const auto stopped = [&](cluster::DomainStatus status, base::Duration after) {
    return tracker
        .StoppedDomains(fixture.Query(),
                        {{kLinz, {.status = status, .revision = 9}}},
                        kStart + after)
        .contains(kLinz);
  };
  CHECK_FALSE(stopped(cluster::DomainStatus::kIn, seconds(100)));
  CHECK_FALSE(stopped(cluster::DomainStatus::kOut, seconds(15)));
  CHECK(stopped(cluster::DomainStatus::kOut, seconds(16)));
  fixture.At(0, ProcessRole::kControl).holds_authority = true;
  CHECK_FALSE(stopped(cluster::DomainStatus::kOut, seconds(100)));
}

// Guards against a burst of later changes that makes the observer forget since
// when an older one has been applied.
TEST_CASE("an applied revision keeps its time after many later ones") {
  AppliedHistory history;
  CHECK_FALSE(history.Since(1));
  for (int i = 0; i < 200; ++i)
    history.Note(10 + static_cast<std::uint64_t>(i), kStart + seconds(i));
  CHECK(history.revision() == 209);
  CHECK(history.Since(208) == kStart + seconds(198));
  // A revision older than those kept counts from the oldest one kept.
  CHECK(history.Since(10) == kStart + seconds(136));
  history.Note(150, kStart + seconds(999));
  CHECK(history.Since(150) == kStart + seconds(140));
  CHECK_FALSE(history.Since(210));
}

namespace {

// Takes the domain out of service while hosts are cut off or frozen.
Simulation RunTakeOut(std::uint64_t seed, PlantedFault fault) {
  SimulationOptions options{
      .seed = seed, .hosts = 1 + static_cast<int>(seed % 4), .fault = fault};
  if (seed % 3 != 0)
    options.autonomy_seconds = 3;
  Simulation simulation(options);
  simulation.RunFor(seconds(4));
  base::Random random(seed);
  for (int i = 0; i < options.hosts; ++i) {
    if (random.Below(2) == 0)
      simulation.CutFromLog(i);
    if (random.Below(4) == 0)
      simulation.Freeze(i, seconds(random.Below(12)));
  }
  simulation.RunFor(milliseconds(random.Below(3'000)));
  simulation.TakeOut();
  simulation.RunFor(seconds(12));
  return simulation;
}

}  // namespace

// Guards against a task that starts in a domain after its take-out is reported
// as in force (invariant I3).
TEST_CASE("nothing starts after a take-out is in force") {
  int in_force = 0;
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    INFO("seed " << seed);
    const Simulation simulation = RunTakeOut(seed, PlantedFault::kNone);
    REQUIRE_FALSE(simulation.Has(Violation::kStartAfterTakeOut));
    in_force += simulation.InForce() ? 1 : 0;
  }
  // Runs in which the take-out does not come into force would prove nothing.
  CHECK(in_force > 300);
}

// Guards against a check that passes although tasks start after a take-out.
TEST_CASE("the check of starts after a take-out finds planted faults") {
  for (const PlantedFault fault :
       {PlantedFault::kAssumeStopped, PlantedFault::kIgnoreAutonomy,
        PlantedFault::kIgnoreTakeOut, PlantedFault::kVoteUnderOldList}) {
    // 1,000 seeds leave a margin: seed 15 is the latest that a fault needs.
    std::uint64_t seed = 1;
    while (seed <= 1'000 &&
           !RunTakeOut(seed, fault).Has(Violation::kStartAfterTakeOut))
      ++seed;
    INFO("fault " << static_cast<int>(fault));
    CHECK(seed <= 1'000);
  }
}

}  // namespace wigeonstair::authority
