#include "tools/exit_code.h"

namespace wigeonstair::tools {

ExitCode ExitCodeOf(base::ErrorCode code) {
  switch (code) {
    case base::ErrorCode::kInvalidArgument:
    case base::ErrorCode::kNotFound:
    case base::ErrorCode::kCorruptData:
      return ExitCode::kInvalidInput;
    case base::ErrorCode::kConflict:
      return ExitCode::kConflict;
    case base::ErrorCode::kUnavailable:
    case base::ErrorCode::kTimeout:
      return ExitCode::kUnreachable;
    case base::ErrorCode::kResourceLimit:
    case base::ErrorCode::kInputOutput:
    case base::ErrorCode::kPermissionDenied:
    case base::ErrorCode::kInternal:
      return ExitCode::kFailure;
  }
  return ExitCode::kFailure;
}

ExitCode ExitCodeOfStatus(int status) {
  if (status >= 200 && status < 300)
    return ExitCode::kOk;
  switch (status) {
    case 400:
    case 404:
    case 413:
    case 422:
      return ExitCode::kInvalidInput;
    case 409:
      return ExitCode::kConflict;
    case 421:
    case 502:
    case 503:
    case 504:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kFailure;
  }
}

}  // namespace wigeonstair::tools
