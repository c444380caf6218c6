#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_GENERATOR_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_GENERATOR_H_

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "settings/questionnaire.h"

namespace wigeonstair::settings {

struct GeneratedFile {
  // Relative to the output folder, such as "linz-1/control.yaml".
  std::string name;
  std::string text;

  auto operator<=>(const GeneratedFile&) const = default;
};

// Name of the cluster configuration in the output folder.
inline constexpr const char* kClusterFile = "cluster.yaml";

// The cluster configuration and the settings of each process. Equal answers
// give equal files.
std::vector<GeneratedFile> Generate(const Questionnaire& answers);

// Writes all files below a folder, creating folders as needed. Each file is
// replaced as a whole. Fails with kInputOutput.
base::Result<std::monostate> WriteFiles(
    const std::string& folder,
    const std::vector<GeneratedFile>& files);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_GENERATOR_H_
