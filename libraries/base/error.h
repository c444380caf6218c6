#ifndef WIGEONSTAIR_LIBRARIES_BASE_ERROR_H_
#define WIGEONSTAIR_LIBRARIES_BASE_ERROR_H_

#include <compare>
#include <string>
#include <string_view>

namespace wigeonstair::base {

// What kind of failure an Error describes. Callers branch on the code; the
// texts are for people.
enum class ErrorCode {
  kInvalidArgument,  // The input is malformed or out of range.
  kNotFound,         // The named object does not exist.
  kConflict,         // Another change came first.
  kUnavailable,    // A peer, a quorum or a lease is missing; a retry may work.
  kTimeout,        // The deadline passed; the effect may have taken place.
  kResourceLimit,  // A bound on size, count or rate was reached.
  kCorruptData,    // Stored or received bytes fail their check.
  kInputOutput,    // The operating system refused a file or socket call.
  kPermissionDenied,
  kInternal,
};

std::string_view ErrorCodeName(ErrorCode code);

// A failure with the step at which it arose and the peer that was involved.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  // The operation, such as "read settings" or "append log record".
  std::string step;
  // The other side: a host, file or address. Empty when there is none.
  std::string peer;
  // What went wrong and, where it helps, what to do next.
  std::string detail;

  auto operator<=>(const Error&) const = default;

  // One line such as "read settings (/etc/x.yaml): line 3: unknown key 'a'".
  std::string ToString() const;
};

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_ERROR_H_
