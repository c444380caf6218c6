#include "cluster/host_supervision.h"

#include <catch2/catch.hpp>

namespace wigeonstair::cluster {

namespace {

const base::DomainId kGent("gent");
const base::HostId kFirst("gent-1");
const base::HostId kSecond("gent-2");

// One domain with the given number of hosts.
ClusterState MakeState(int hosts) {
  ConfigurationPatch patch{.cluster = "test"};
  patch.changed_domains = {{.id = kGent}};
  for (int i = 1; i <= hosts; ++i) {
    patch.changed_hosts.push_back(
        {.id = base::HostId("gent-" + std::to_string(i)), .domain = kGent});
  }
  ClusterState state;
  state.Apply(ApplyConfiguration{
      .operation = "configure",
      .target_hash = HashConfiguration(ApplyPatch({}, patch)),
      .patch = patch});
  return state;
}

HostObservation Observe(HostCondition first, HostCondition second) {
  return {.hosts = {{kFirst, first}, {kSecond, second}}};
}

}  // namespace

// Guards against a domain of two hosts that stays without a placement authority
// after the loss of one until an operator intervenes.
TEST_CASE("the lost host of two is suspended and restored on its return") {
  ClusterState state = MakeState(2);
  const HostObservation lost =
      Observe(HostCondition::kAlive, HostCondition::kDead);
  const auto suspend = PlanHostChange(state, lost);
  REQUIRE(suspend.has_value());
  CHECK(std::get<SuspendHost>(*suspend).host == kSecond);
  CHECK(state.Apply(*suspend).result == CommandResult::kAccepted);
  CHECK(state.suspended_hosts().contains(kSecond));
  // A second leader with the same observation changes nothing.
  CHECK(state.Apply(*suspend).result == CommandResult::kConflict);
  CHECK_FALSE(PlanHostChange(state, lost).has_value());
  const auto restore = PlanHostChange(
      state, Observe(HostCondition::kAlive, HostCondition::kAlive));
  REQUIRE(restore.has_value());
  CHECK(state.Apply(*restore).result == CommandResult::kAccepted);
  CHECK(state.suspended_hosts().empty());
}

// Guards against suspending hosts of a domain that is cut off as a whole, that
// still has a placement authority or a majority, or whose host may be alive.
TEST_CASE("no host is suspended unless its domain needs it") {
  const ClusterState two = MakeState(2);
  CHECK_FALSE(
      PlanHostChange(two, Observe(HostCondition::kDead, HostCondition::kDead)));
  CHECK_FALSE(PlanHostChange(
      two, Observe(HostCondition::kAlive, HostCondition::kUncertain)));
  HostObservation held = Observe(HostCondition::kAlive, HostCondition::kDead);
  held.domains_with_authority = {kGent};
  CHECK_FALSE(PlanHostChange(two, held));
  const ClusterState three = MakeState(3);
  HostObservation majority =
      Observe(HostCondition::kAlive, HostCondition::kDead);
  majority.hosts[base::HostId("gent-3")] = HostCondition::kAlive;
  CHECK_FALSE(PlanHostChange(three, majority));
}

// Guards against an empty member list, and against a suspended host that is a
// member again after a restart from a snapshot.
TEST_CASE("the last host stays and suspensions are part of the snapshot") {
  ClusterState state = MakeState(2);
  state.Apply(SuspendHost{.host = kSecond, .expected_revision = 1});
  CHECK(
      state.Apply(SuspendHost{.host = kFirst, .expected_revision = 2}).result ==
      CommandResult::kInvalid);
  ClusterState restored;
  const auto outcome =
      base::Capture([&] { return restored.Restore(state.Snapshot()); });
  REQUIRE(std::holds_alternative<std::monostate>(outcome));
  CHECK(restored.suspended_hosts() == state.suspended_hosts());
}

}  // namespace wigeonstair::cluster
