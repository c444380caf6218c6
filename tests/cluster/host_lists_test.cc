#include "cluster/host_lists.h"

#include <catch2/catch.hpp>

#include "cluster/cluster_state.h"

namespace wigeonstair::cluster {

namespace {

const base::DomainId kGent("gent");
const base::HostId kFirst("gent-1");
const base::HostId kSecond("gent-2");

ClusterConfiguration Configuration(const std::vector<base::HostId>& hosts) {
  ClusterConfiguration configuration{.cluster = "test",
                                     .domains = {{.id = kGent}}};
  for (const base::HostId& host : hosts)
    configuration.hosts.push_back({.id = host, .domain = kGent});
  return configuration;
}

CommandReply Configure(ClusterState& state,
                       const std::string& operation,
                       const std::vector<base::HostId>& hosts) {
  const ClusterConfiguration wanted = Configuration(hosts);
  return state.Apply(ApplyConfiguration{
      .operation = operation,
      .expected_revision = state.configuration_revision(),
      .target_hash = HashConfiguration(wanted),
      .patch = DiffConfigurations(state.configuration(), wanted)});
}

std::vector<std::uint64_t> Revisions(const ClusterState& state) {
  std::vector<std::uint64_t> revisions;
  for (const HostList& list : state.host_lists().lists(kGent))
    revisions.push_back(list.revision);
  return revisions;
}

CommandReply Suspend(ClusterState& state, const base::HostId& host) {
  return state.Apply(
      SuspendHost{.host = host, .expected_revision = state.revision()});
}

CommandReply Restore(ClusterState& state, const base::HostId& host) {
  return state.Apply(
      RestoreHost{.host = host, .expected_revision = state.revision()});
}

}  // namespace

// Guards against a host that applies two changes at once or starts from a
// snapshot and misses the list between them, under which another host may still
// hold a lease.
TEST_CASE("every host list is kept until it is retired") {
  ClusterState state;
  Configure(state, "one", {kFirst, kSecond});
  Suspend(state, kSecond);
  Restore(state, kSecond);
  Suspend(state, kFirst);
  CHECK(Revisions(state) == std::vector<std::uint64_t>{1, 2, 3, 4});
  ClusterState restarted;
  REQUIRE(restarted.Restore(state.Snapshot()));
  CHECK(Revisions(restarted) == Revisions(state));
  CHECK(restarted.Snapshot() == state.Snapshot());
  // The list of revision 2 was replaced at revision 3.
  state.Apply(RetireHostLists{.domain = kGent, .revision = 2});
  CHECK(Revisions(state) == std::vector<std::uint64_t>{2, 3, 4});
  state.Apply(RetireHostLists{.domain = kGent, .revision = 99});
  CHECK(Revisions(state) == std::vector<std::uint64_t>{4});
}

// Guards against a history that grows with changes that leave the hosts as they
// are.
TEST_CASE("only a change of hosts adds a host list") {
  ClusterState state;
  Configure(state, "one", {kFirst, kSecond});
  state.Apply(SetDomainStatus{
      .operation = "out", .domain = kGent, .status = DomainStatus::kOut});
  CHECK(Revisions(state) == std::vector<std::uint64_t>{1});
  for (int i = 0; i < 100; ++i) {
    Suspend(state, kSecond);
    Restore(state, kSecond);
  }
  CHECK(state.host_lists().lists(kGent).size() ==
        HostListHistory::kMaximumLists);
}

// Guards against a confirmation for a host that may still act, and against one
// that outlives the host's return.
TEST_CASE("only a host that is off the list can be confirmed as stopped") {
  ClusterState state;
  Configure(state, "one", {kFirst, kSecond});
  const auto confirm = [&](const char* operation, const base::HostId& host) {
    return state.Apply(ConfirmHostStopped{.operation = operation, .host = host})
        .result;
  };
  CHECK(confirm("a", kFirst) == CommandResult::kInvalid);
  CHECK(confirm("b", base::HostId("nobody")) == CommandResult::kNotFound);
  Suspend(state, kSecond);
  CHECK(confirm("c", kSecond) == CommandResult::kAccepted);
  CHECK(state.stopped_hosts().at(kSecond) == state.revision());
  Restore(state, kSecond);
  CHECK(state.stopped_hosts().empty());
  // An older list contains the removed host until that list is retired.
  Configure(state, "two", {kFirst});
  CHECK(confirm("d", kSecond) == CommandResult::kAccepted);
  state.Apply(RetireHostLists{.domain = kGent, .revision = 99});
  CHECK(state.stopped_hosts().empty());
  CHECK(confirm("e", kSecond) == CommandResult::kNotFound);
}

}  // namespace wigeonstair::cluster
