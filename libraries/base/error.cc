#include "base/error.h"

namespace wigeonstair::base {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kResourceLimit:
      return "resource_limit";
    case ErrorCode::kCorruptData:
      return "corrupt_data";
    case ErrorCode::kInputOutput:
      return "input_output";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Error::ToString() const {
  std::string text = step;
  if (!peer.empty())
    text += " (" + peer + ")";
  return text + ": " + detail;
}

}  // namespace wigeonstair::base
