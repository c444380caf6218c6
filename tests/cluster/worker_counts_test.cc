#include "cluster/worker_counts.h"

#include <catch2/catch.hpp>

#include "cluster/cluster_state.h"

namespace wigeonstair::cluster {

namespace {

const base::DomainId kGent("gent");

void Configure(ClusterState& state, std::optional<int> workers) {
  ClusterConfiguration wanted{.cluster = "test"};
  if (workers) {
    wanted.domains = {
        {.id = kGent,
         .racks = {{.id = base::RackId("r1"), .workers = *workers}}}};
  }
  state.Apply(ApplyConfiguration{
      .operation = "to revision " + std::to_string(state.revision() + 1),
      .expected_revision = state.configuration_revision(),
      .target_hash = HashConfiguration(wanted),
      .patch = DiffConfigurations(state.configuration(), wanted)});
}

}  // namespace

// Guards against a new placement authority that does not know of a longer task
// lease, after a start from a snapshot or when the domain was removed and added
// again.
TEST_CASE("every worker count is kept until it is retired") {
  ClusterState state;
  for (const auto workers : {std::optional(400), std::optional(400),
                             std::optional<int>(), std::optional(13)})
    Configure(state, workers);
  const std::vector<WorkerCount> expected = {
      {.revision = 1, .fewest = 400, .most = 400},
      {.revision = 4, .fewest = 13, .most = 13}};
  CHECK(state.worker_counts().counts(kGent) == expected);
  ClusterState restarted;
  REQUIRE(restarted.Restore(state.Snapshot()));
  CHECK(restarted.worker_counts() == state.worker_counts());
  state.Apply(RetireWorkerCounts{.domain = kGent, .revision = 3});
  CHECK(state.worker_counts().counts(kGent).size() == 2);
  state.Apply(RetireWorkerCounts{.domain = kGent, .revision = 4});
  CHECK(state.worker_counts().counts(kGent).size() == 1);
}

// Guards against a bounded table that loses the count with the longest lease.
TEST_CASE("the oldest worker counts are merged") {
  ClusterState state;
  Configure(state, 400);
  for (int i = 1; i <= 40; ++i)
    Configure(state, 10 + i);
  const std::vector<WorkerCount>& counts = state.worker_counts().counts(kGent);
  CHECK(counts.size() == WorkerCountHistory::kMaximumCounts);
  CHECK(counts.front() ==
        WorkerCount{.revision = 1, .fewest = 11, .most = 400});
  CHECK(counts.back().most == 50);
}

}  // namespace wigeonstair::cluster
