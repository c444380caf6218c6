#include "services/entry/upstream_api.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "net/address.h"
#include "services/entry/caller_request.h"
#include "services/entry/json_object.h"

namespace wigeonstair::entry {

namespace {

constexpr std::size_t kMaximumNameLength = 128;
constexpr std::int64_t kMaximumSlots = 4096;
constexpr std::int64_t kMaximumConnections = 65536;

boost::leaf::error_id Fail(base::ErrorCode code, std::string detail) {
  return base::Fail(code, "read upstream call", {}, std::move(detail));
}

// Accepts "ip:port" with an IPv4 address and a port from 1 to 65535.
bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos ||
      !ParseInteger(text.substr(colon + 1), 1, 65535))
    return false;
  std::string_view ip = text.substr(0, colon);
  for (int part = 0; part < 4; ++part) {
    const std::size_t dot = std::min(ip.find('.'), ip.size());
    if ((part == 3) != (dot == ip.size()) ||
        !ParseInteger(ip.substr(0, dot), 0, 255))
      return false;
    ip.remove_prefix(std::min(dot + 1, ip.size()));
  }
  return true;
}

base::Result<UpstreamCall> ParseAnnounce(base::UpstreamId id,
                                         const JsonObject& body) {
  routing::Announcement announcement;
  announcement.id = std::move(id);
  announcement.service = TRY(body.String("service"));
  announcement.domain = base::DomainId(TRY(body.String("domain")));
  announcement.address = TRY(body.String("address"));
  announcement.slots =
      static_cast<int>(TRY(body.Integer("slots", 1, kMaximumSlots)));
  announcement.connections = static_cast<int>(
      TRY(body.Integer("connections", 1, kMaximumConnections)));
  announcement.incarnation = static_cast<std::uint64_t>(TRY(body.Integer(
      "incarnation", 0, std::numeric_limits<std::int64_t>::max())));
  if (!IsAddress(announcement.address)) {
    return Fail(base::ErrorCode::kInvalidArgument,
                "'address' must be an IPv4 address and a port, ip:port");
  }
  return UpstreamCall(AnnounceCall{.announcement = std::move(announcement)});
}

}  // namespace

base::Result<UpstreamCall> ParseUpstreamCall(const net::HttpRequest& request) {
  const std::string_view rest =
      std::string_view(request.path).substr(kUpstreamsPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  base::UpstreamId id{std::string(rest.substr(0, slash))};
  const std::string_view action = rest.substr(slash);
  if (!action.empty() && action != "/heartbeat" && action != "/leave") {
    return Fail(base::ErrorCode::kNotFound,
                "the path must be /v1/upstreams/{id}, .../heartbeat or "
                ".../leave");
  }
  if (!IsName(id.value(), kMaximumNameLength)) {
    return Fail(base::ErrorCode::kInvalidArgument,
                "the upstream id must be 1 to 128 of A-Za-z0-9._:-");
  }
  const std::string_view method = action.empty() ? "PUT" : "POST";
  if (request.method != method) {
    return Fail(base::ErrorCode::kPermissionDenied,
                "the method must be " + std::string(method));
  }
  const JsonObject body = TRY(JsonObject::create(request.body));
  if (action.empty())
    return ParseAnnounce(std::move(id), body);
  const auto incarnation = static_cast<std::uint64_t>(TRY(body.Integer(
      "incarnation", 0, std::numeric_limits<std::int64_t>::max())));
  if (action == "/heartbeat") {
    return UpstreamCall(
        HeartbeatCall{.id = std::move(id), .incarnation = incarnation});
  }
  return UpstreamCall(
      LeaveCall{.id = std::move(id), .incarnation = incarnation});
}

}  // namespace wigeonstair::entry
