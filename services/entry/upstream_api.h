#ifndef WIGEONSTAIR_SERVICES_ENTRY_UPSTREAM_API_H_
#define WIGEONSTAIR_SERVICES_ENTRY_UPSTREAM_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/strong_id.h"
#include "net/http.h"
#include "routing/upstream.h"

namespace wigeonstair::entry {

inline constexpr std::string_view kUpstreamsPrefix = "/v1/upstreams/";

struct AnnounceCall {
  routing::Announcement announcement;
};
struct HeartbeatCall {
  base::UpstreamId id;
  std::uint64_t incarnation = 0;
};
struct LeaveCall {
  base::UpstreamId id;
  std::uint64_t incarnation = 0;
};
using UpstreamCall = std::variant<AnnounceCall, HeartbeatCall, LeaveCall>;

// Parses a request from an upstream whose path starts with kUpstreamsPrefix.
// Fails with kInvalidArgument for malformed input, kNotFound for an unknown
// path and kPermissionDenied for a wrong method.
base::Result<UpstreamCall> ParseUpstreamCall(const net::HttpRequest& request);

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_UPSTREAM_API_H_
