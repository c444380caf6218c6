#include "cluster/configuration_patch.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace wigeonstair::cluster {

namespace {

ClusterConfiguration RandomConfiguration(base::Random& random) {
  ClusterConfiguration configuration{.cluster = "test"};
  for (int i = 0; i < 5; ++i) {
    const std::string id = "n" + std::to_string(i);
    if (random.Below(2) == 0) {
      configuration.domains.push_back(
          {.id = base::DomainId(id),
           .region = std::to_string(random.Below(2))});
    }
    if (random.Below(2) == 0) {
      configuration.customers.push_back(
          {.id = base::CustomerId(id),
           .priority = static_cast<int>(random.Below(2))});
    }
    if (random.Below(2) == 0) {
      configuration.hosts.push_back(
          {.id = base::HostId(id),
           .control_http = std::to_string(random.Below(2))});
    }
  }
  return Normalize(std::move(configuration));
}

}  // namespace

// Guards against a host that applies a patch and ends up with a configuration
// that the operator did not write.
TEST_CASE("a patch turns one configuration exactly into the other") {
  base::Random random(1);
  for (int round = 0; round < 2000; ++round) {
    const ClusterConfiguration from = RandomConfiguration(random);
    const ClusterConfiguration to = RandomConfiguration(random);
    CHECK(ApplyPatch(from, DiffConfigurations(from, to)) == to);
  }
}

// Guards against patches whose size grows with the configuration instead of the
// change.
TEST_CASE("a patch holds only what changed") {
  ClusterConfiguration from{.cluster = "test"};
  for (int i = 0; i < 100; ++i)
    from.customers.push_back({.id = base::CustomerId(std::to_string(i))});
  from = Normalize(std::move(from));
  ClusterConfiguration to = from;
  to.customers[3].priority = 99;
  const ConfigurationPatch patch = DiffConfigurations(from, to);
  CHECK(patch.changed_customers.size() == 1);
  CHECK(patch.removed_customers.empty());
}

}  // namespace wigeonstair::cluster
