#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_EXIT_CODE_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_EXIT_CODE_H_

#include <cstdint>

#include "base/error.h"

namespace wigeonstair::tools {

// Exit codes of all programs. Scripts rely on them, so they never change.
enum class ExitCode : std::uint8_t {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kInvalidInput = 3,
  kConflict = 4,
  // A change is committed but not yet in force everywhere.
  kPending = 5,
  kUnreachable = 6,
};

constexpr int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

// The exit code that fits an error.
ExitCode ExitCodeOf(base::ErrorCode code);

// The exit code that fits an HTTP status of the control process. 2xx is kOk.
ExitCode ExitCodeOfStatus(int status);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_EXIT_CODE_H_
