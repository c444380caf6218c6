#ifndef WIGEONSTAIR_SERVICES_ENTRY_CALLER_REQUEST_H_
#define WIGEONSTAIR_SERVICES_ENTRY_CALLER_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "net/http.h"
#include "routing/choose.h"

namespace wigeonstair::entry {

enum class Repetition : std::uint8_t {
  kIdempotent,
  kAtMostOnce,  // Deduplicated by its Request-Key.
};

enum class SendKind : std::uint8_t {
  kFirst,
  // An earlier send with the same Request-Key may have run.
  kPossibleResend,
};

// Whether a request may wait for a slot on this host.
enum class WaitPermission : std::uint8_t {
  kAllowed,
  kForbidden,  // The entry host that forwarded it has its own queue.
};

// A validated caller's request, as docs/api.md defines it.
struct CallerRequest {
  std::string id;
  std::string service;
  std::string method;
  // Percent-encoded path for the upstream, including the query.
  std::string path;
  std::string content_type;
  std::string body;
  base::CustomerId customer;
  base::Duration time_left{};
  Repetition repetition = Repetition::kIdempotent;
  SendKind send = SendKind::kFirst;
  std::string key;
  std::int64_t issued_milliseconds = 0;
  // Hash of the request's content, which detects that a key is used for a
  // different request; never 0.
  std::uint64_t fingerprint = 0;
  // Forbidden when an entry host of another domain sent the request.
  routing::SpillPermission spill = routing::SpillPermission::kAllowed;
  WaitPermission wait = WaitPermission::kAllowed;
};

inline constexpr std::string_view kServicesPrefix = "/v1/services/";

// Parses and validates a request whose path starts with kServicesPrefix. `id`
// becomes its id unless another entry host forwarded it with an id.
// `now_milliseconds` is the Unix time. Fails with kInvalidArgument.
base::Result<CallerRequest> ParseCallerRequest(net::HttpRequest request,
                                               std::string id,
                                               std::int64_t now_milliseconds);

// Percent-encodes a decoded path so that it can be forwarded.
std::string EncodePath(std::string_view path);

// Parses a decimal integer. Returns nullopt if the text holds anything else or
// the number is out of bounds.
std::optional<std::int64_t> ParseInteger(std::string_view text,
                                         std::int64_t minimum,
                                         std::int64_t maximum);

// Whether the text is 1 to `maximum` characters of A-Za-z0-9._:-
bool IsName(std::string_view text, std::size_t maximum);

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_CALLER_REQUEST_H_
