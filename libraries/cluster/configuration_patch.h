#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_CONFIGURATION_PATCH_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_CONFIGURATION_PATCH_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::cluster {

// The difference between two configurations. Changes are sent and logged as
// patches, because at 11,000 changes a day full configurations would exceed the
// 3 KB/s of control traffic that a host may use.
struct ConfigurationPatch {
  std::string cluster;
  std::vector<DomainConfiguration> changed_domains;
  std::vector<base::DomainId> removed_domains;
  std::vector<CustomerConfiguration> changed_customers;
  std::vector<base::CustomerId> removed_customers;
  std::vector<HostConfiguration> changed_hosts;
  std::vector<base::HostId> removed_hosts;

  auto operator<=>(const ConfigurationPatch&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(cluster, changed_domains, removed_domains, changed_customers,
            removed_customers, changed_hosts, removed_hosts);
  }
};

// Sorts domains, customers and hosts by their ids, so that equal
// configurations compare equal.
ClusterConfiguration Normalize(ClusterConfiguration configuration);

// The patch that turns `from` into `to`; both are normalized.
ConfigurationPatch DiffConfigurations(const ClusterConfiguration& from,
                                      const ClusterConfiguration& to);

// The normalized result of a patch. `base` is normalized.
ClusterConfiguration ApplyPatch(ClusterConfiguration base,
                                const ConfigurationPatch& patch);

// A hash of the normalized configuration that is the same on every host.
std::uint64_t HashConfiguration(const ClusterConfiguration& configuration);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_CONFIGURATION_PATCH_H_
