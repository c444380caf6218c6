#include "settings/fault.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::settings {

std::string Fault::ToString() const {
  std::string text;
  if (line > 0)
    text += "line " + std::to_string(line) + ": ";
  if (!path.empty())
    text += path + ": ";
  return text + message;
}

std::string FormatFaults(const Faults& faults) {
  Faults sorted = faults;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Fault& left, const Fault& right) {
                     return left.line < right.line;
                   });
  std::string text;
  for (const Fault& fault : sorted) {
    if (!text.empty())
      text += "\n";
    text += fault.ToString();
  }
  return text;
}

base::Error FaultsError(std::string step,
                        std::string source,
                        const Faults& faults) {
  return base::Error{.code = base::ErrorCode::kInvalidArgument,
                     .step = std::move(step),
                     .peer = std::move(source),
                     .detail = FormatFaults(faults)};
}

}  // namespace wigeonstair::settings
