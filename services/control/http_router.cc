#include "services/control/http_router.h"

#include <string_view>
#include <utility>

namespace wigeonstair::control {

namespace {

constexpr std::string_view kVersionPrefix = "/v1";
constexpr std::string_view kBearer = "Bearer ";

// Takes the same time wherever the texts differ, so that a token cannot be
// guessed byte by byte.
bool EqualInConstantTime(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const char other = right.empty() ? '\0' : right[i % right.size()];
    difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^
                                        static_cast<unsigned char>(other));
  }
  return difference == 0;
}

// Whether `path` is `prefix` or below it.
bool IsBelow(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

}  // namespace

HttpRouter::HttpRouter(HttpRouterOptions options)
    : options_(std::move(options)) {}

void HttpRouter::Handle(const net::HttpRequest& request,
                        net::HttpResponder respond) {
  if (request.path == "/healthz") {
    return respond(
        net::HttpResponse{.status = draining_ ? 503 : 200,
                          .headers = {{"Content-Type", "text/plain"}},
                          .body = draining_ ? "draining\n" : "ok\n"});
  }
  if (request.path == "/metrics") {
    return respond(net::HttpResponse{
        .status = 200,
        .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
        .body = options_.counters->Render()});
  }
  if (draining_) {
    return respond(Reject(request, 503, base::ErrorCode::kUnavailable,
                          "this process is shutting down; ask another host"));
  }
  Route(request, std::move(respond));
}

void HttpRouter::Route(const net::HttpRequest& request,
                       net::HttpResponder respond) {
  std::string_view path = request.path;
  if (!path.starts_with(kVersionPrefix)) {
    return respond(Reject(request, 404, base::ErrorCode::kNotFound,
                          "there is no page " + request.path));
  }
  path.remove_prefix(kVersionPrefix.size());
  constexpr std::string_view kJobs = "/jobs";
  constexpr std::string_view kWorkers = "/workers";
  if (IsBelow(path, kJobs))
    return options_.jobs->Handle(request, path.substr(kJobs.size()),
                                 std::move(respond));
  if (IsBelow(path, kWorkers) && request.method != "GET") {
    return options_.workers->Handle(request, path.substr(kWorkers.size()),
                                    respond);
  }
  if (!IsAuthorized(request)) {
    return respond(
        Reject(request, 401, base::ErrorCode::kPermissionDenied,
               "operators' calls need the header Authorization: Bearer TOKEN"));
  }
  options_.operators->Handle(request, path, std::move(respond));
}

bool HttpRouter::IsAuthorized(const net::HttpRequest& request) const {
  std::string_view value = net::HeaderValue(request.headers, "Authorization");
  if (options_.operator_token.empty() || !value.starts_with(kBearer))
    return false;
  value.remove_prefix(kBearer.size());
  return EqualInConstantTime(value, options_.operator_token);
}

net::HttpResponse HttpRouter::Reject(const net::HttpRequest& request,
                                     int status,
                                     base::ErrorCode code,
                                     std::string detail) const {
  options_.event_log->Warning(base::EventNumber::kHttpRejected,
                              {{"method", request.method},
                               {"path", request.path},
                               {"peer", request.peer},
                               {"status", status},
                               {"reason", detail}});
  return net::ErrorResponse(status,
                            {.code = code,
                             .step = request.method + " " + request.path,
                             .peer = {},
                             .detail = std::move(detail)});
}

}  // namespace wigeonstair::control
