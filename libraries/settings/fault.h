#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_FAULT_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_FAULT_H_

#include <compare>
#include <string>
#include <vector>

#include "base/error.h"

namespace wigeonstair::settings {

// One thing that is wrong with a document.
struct Fault {
  // First line is 1. 0 when the line is not known, as in a JSON document.
  int line = 0;
  // The place in the document, such as "customers[1].priority".
  std::string path;
  std::string message;

  auto operator<=>(const Fault&) const = default;

  // "line 3: customers[1].priority: must be 0 to 100".
  std::string ToString() const;
};

using Faults = std::vector<Fault>;

// All faults in the order of their lines, one per line of text.
std::string FormatFaults(const Faults& faults);

// An error of code kInvalidArgument that lists all faults.
base::Error FaultsError(std::string step,
                        std::string source,
                        const Faults& faults);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_FAULT_H_
