#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_CHANGE_PREVIEW_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_CHANGE_PREVIEW_H_

#include <compare>
#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "settings/generator.h"

namespace wigeonstair::settings {

// What a new configuration changes against an old one, in sentences.
struct ChangePreview {
  // "customer 'a': priority 50 -> 70".
  std::vector<std::string> changes;
  // Guarantees that shrink, or that no longer fit when one rack of their
  // failure domain is lost.
  std::vector<std::string> guarantees_at_risk;
  // Generated settings files that differ; their processes need a restart.
  std::vector<std::string> changed_files;

  auto operator<=>(const ChangePreview&) const = default;
};

// Compares two configurations; fills all but `changed_files`.
ChangePreview PreviewChange(const cluster::ClusterConfiguration& before,
                            const cluster::ClusterConfiguration& after);

// Names of files whose text below `folder` differs from the generated one,
// that are new, or that are no longer generated. cluster.yaml is left out,
// because it is applied without a restart.
std::vector<std::string> ChangedFiles(const std::string& folder,
                                      const std::vector<GeneratedFile>& files);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_CHANGE_PREVIEW_H_
