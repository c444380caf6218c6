#include "cluster/job_feasibility.h"

#include <catch2/catch.hpp>

namespace wigeonstair::cluster {

namespace {

ClusterConfiguration MakeConfiguration() {
  return {.cluster = "test",
          .domains = {{.id = base::DomainId("linz"),
                       .racks = {{.id = base::RackId("r1"),
                                  .workers = 6,
                                  .cores_per_worker = 64,
                                  .memory_megabytes_per_worker = 256'000,
                                  .accelerators_per_worker = 8},
                                 {.id = base::RackId("r2"),
                                  .workers = 6,
                                  .cores_per_worker = 64,
                                  .memory_megabytes_per_worker = 256'000,
                                  .accelerators_per_worker = 8}}}},
          .customers = {{.id = base::CustomerId("c")}}};
}

JobSpecification Job(int tasks, int accelerators, CellLevel adjacency) {
  return {.id = base::JobId("j"),
          .customer = base::CustomerId("c"),
          .tasks = tasks,
          .accelerators_per_task = accelerators,
          .adjacency = adjacency};
}

}  // namespace

// Guards against jobs that can never run but wait in the queue, and against
// the rejection of jobs that just fit.
TEST_CASE("a job is rejected exactly when its largest cell is too small") {
  const ClusterConfiguration configuration = MakeConfiguration();
  const auto feasible = [&](const JobSpecification& job) {
    return FindInfeasibility(configuration, job).empty();
  };
  CHECK(feasible(Job(8, 1, CellLevel::kWorker)));
  CHECK_FALSE(feasible(Job(9, 1, CellLevel::kWorker)));
  CHECK(feasible(Job(6, 8, CellLevel::kRack)));
  CHECK_FALSE(feasible(Job(7, 8, CellLevel::kRack)));
  CHECK(feasible(Job(12, 8, CellLevel::kDomain)));
  CHECK_FALSE(feasible(Job(13, 8, CellLevel::kDomain)));
  CHECK_FALSE(feasible(Job(1, 9, CellLevel::kDomain)));
  CHECK_FALSE(feasible(Job(0, 1, CellLevel::kDomain)));
  JobSpecification anywhere = Job(12, 8, CellLevel::kRack);
  anywhere.fallback = AdjacencyFallback::kAnywhere;
  CHECK(feasible(anywhere));
  JobSpecification elsewhere = Job(1, 1, CellLevel::kDomain);
  elsewhere.allowed_domains = {base::DomainId("graz")};
  CHECK_FALSE(feasible(elsewhere));
  JobSpecification stranger = Job(1, 1, CellLevel::kDomain);
  stranger.customer = base::CustomerId("nobody");
  CHECK_FALSE(feasible(stranger));
}

}  // namespace wigeonstair::cluster
