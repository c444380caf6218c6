#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_CLUSTER_CONFIGURATION_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_CLUSTER_CONFIGURATION_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "cluster/configuration.h"
#include "settings/fault.h"
#include "settings/object_reader.h"
#include "settings/value.h"

namespace wigeonstair::settings {

// The YAML and the JSON form have the same keys, which docs/configuration.md
// describes. Reading checks the configuration as a whole and fails with
// kInvalidArgument and all faults; `source` names the document in errors.
base::Result<cluster::ClusterConfiguration> ClusterConfigurationFromYaml(
    std::string_view text,
    const std::string& source);
base::Result<cluster::ClusterConfiguration> ClusterConfigurationFromJson(
    std::string_view text,
    const std::string& source);
base::Result<cluster::ClusterConfiguration> LoadClusterConfiguration(
    const std::string& path);

std::string ClusterConfigurationToYaml(
    const cluster::ClusterConfiguration& configuration);
std::string ClusterConfigurationToJson(
    const cluster::ClusterConfiguration& configuration);

// The tree that both forms share.
Value ClusterConfigurationToValue(
    const cluster::ClusterConfiguration& configuration);
base::Result<cluster::ClusterConfiguration> ClusterConfigurationFromValue(
    const Value& value,
    const std::string& source);

// Checks across the whole configuration: unique ids and addresses, references,
// and cell shapes that fit the hierarchy. Faults have paths but no lines.
// Whether the guarantees fit the declared workers is checked elsewhere.
Faults CheckClusterConfiguration(
    const cluster::ClusterConfiguration& configuration);

// The word for a level, such as "rack".
std::string_view CellLevelName(cluster::CellLevel level);

// Parts that other documents share.
cluster::HostConfiguration ReadHost(ObjectReader& reader);
Value HostToValue(const cluster::HostConfiguration& host);
cluster::CellLevel ReadCellLevel(ObjectReader& reader, std::string_view key);
// Checks ids and addresses of hosts. `path` is the path of the list.
void CheckHosts(const std::vector<cluster::HostConfiguration>& hosts,
                const std::string& path,
                Faults& faults);

// Sets the line of each fault from its path in the document.
void LocateFaults(const Value& root, Faults& faults);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_CLUSTER_CONFIGURATION_H_
