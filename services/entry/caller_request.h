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
  kAtMostOnce,  // Runs at most once, under its Request-Key.
};

enum class SendKind : std::uint8_t {
  kFirst,
  // An earlier send of the key may have run.
  kPossibleResend,
};

// A caller's request as docs/api.md defines it, checked.
// Whether a request may wait for a slot on this host.
enum class WaitPermission : std::uint8_t {
  kAllowed,
  kForbidden,  // The entry host that forwarded it has a queue of its own.
};

struct CallerRequest {
  std::string id;
  std::string service;
  std::string method;
  // Encoded path for the upstream, with the query.
  std::string path;
  std::string content_type;
  std::string body;
  base::CustomerId customer;
  base::Duration time_left{};
  Repetition repetition = Repetition::kIdempotent;
  SendKind send = SendKind::kFirst;
  std::string key;
  std::int64_t issued_milliseconds = 0;
  // Identifies the work that the key stands for; never 0.
  std::uint64_t fingerprint = 0;
  // Forbidden when an entry host of another domain sent the request.
  routing::SpillPermission spill = routing::SpillPermission::kAllowed;
  WaitPermission wait = WaitPermission::kAllowed;
};

inline constexpr std::string_view kServicesPrefix = "/v1/services/";

// Checks a request below kServicesPrefix. `id` names it unless another entry
// host forwarded it under its own id. `now` is the Unix time in milliseconds.
// Fails with kInvalidArgument.
base::Result<CallerRequest> ParseCallerRequest(net::HttpRequest request,
                                               std::string id,
                                               std::int64_t now_milliseconds);

// Encodes a decoded path so that it can be sent again.
std::string EncodePath(std::string_view path);

// A whole decimal number within the bounds, or nothing.
std::optional<std::int64_t> ParseInteger(std::string_view text,
                                         std::int64_t minimum,
                                         std::int64_t maximum);

// 1 to `maximum` characters of A-Za-z0-9._:-
bool IsName(std::string_view text, std::size_t maximum);

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_CALLER_REQUEST_H_
