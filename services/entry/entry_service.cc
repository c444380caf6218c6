#include "services/entry/entry_service.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/result.h"
#include "services/entry/caller_request.h"
#include "services/entry/request_flow.h"
#include "services/entry/trace_json.h"

namespace wigeonstair::entry {

namespace {

constexpr std::string_view kRequestsPrefix = "/v1/requests/";
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;

net::HttpResponse Json(std::string body) {
  return {.status = 200,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

net::HttpResponse Failure(int status, std::string detail) {
  return net::ErrorResponse(
      status, {.code = status == kNotFound ? base::ErrorCode::kNotFound
                                           : base::ErrorCode::kInvalidArgument,
               .step = "handle request",
               .peer = {},
               .detail = std::move(detail)});
}

}  // namespace

EntryService::EntryService(EntryServiceOptions options,
                           EntryDependencies dependencies)
    : decisions_(options.explained_requests),
      retries_(options.retries),
      controllers_(options.controllers,
                   dependencies.directory,
                   dependencies.peers,
                   dependencies.feed),
      snapshots_(controllers_.InitialSnapshot(dependencies.clock.Now())),
      blackboard_{.options = std::move(options.request),
                  .upstreams = dependencies.upstreams,
                  .records = dependencies.records,
                  .clock = dependencies.clock,
                  .timers = dependencies.timers,
                  .log = dependencies.log,
                  .counters = counters_,
                  .snapshots = snapshots_,
                  .decisions = decisions_,
                  .retries = retries_,
                  .run = options.run} {
  controllers_.Attach(blackboard_);
}

void EntryService::Handle(net::HttpRequest request,
                          net::HttpResponder responder) {
  if (request.path.starts_with(kServicesPrefix))
    return HandleCaller(std::move(request), std::move(responder));
  if (request.path.starts_with(kUpstreamsPrefix))
    return responder(controllers_.HandleUpstream(request));
  responder(HandleDiagnosticRequest(request));
}

void EntryService::HandleCaller(net::HttpRequest request,
                                net::HttpResponder responder) {
  const std::string peer = request.peer;
  std::string id = NextRequestId();
  auto parsed = base::Capture([&] {
    return ParseCallerRequest(std::move(request), id,
                              blackboard_.clock.WallMilliseconds());
  });
  if (const auto* error = std::get_if<base::Error>(&parsed)) {
    blackboard_.log.Info(
        base::EventNumber::kHttpRejected,
        {{"request", id}, {"peer", peer}, {"detail", error->detail}});
    net::HttpResponse response =
        net::ErrorResponse(net::StatusOf(error->code), *error);
    response.headers["Wigeonstair-Outcome"] = "not-run";
    response.headers["Wigeonstair-Reason"] = "invalid_request";
    response.headers["Wigeonstair-Request-Id"] = id;
    return responder(std::move(response));
  }
  RequestFlow::Start(blackboard_, std::move(std::get<CallerRequest>(parsed)),
                     std::move(responder));
}

net::HttpResponse EntryService::HandleDiagnosticRequest(
    const net::HttpRequest& request) {
  const bool known =
      request.path == "/healthz" || request.path == "/v1/status" ||
      request.path == "/metrics" || request.path.starts_with(kRequestsPrefix);
  if (!known)
    return Failure(kNotFound, "the path does not exist");
  if (request.method != "GET")
    return Failure(kMethodNotAllowed, "the method must be GET");
  if (request.path == "/metrics") {
    return {.status = 200,
            .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = counters_.Render()};
  }
  if (request.path == "/v1/status")
    return Json(controllers_.StatusJson());
  if (request.path.starts_with(kRequestsPrefix))
    return Explain(request.path.substr(kRequestsPrefix.size()));
  net::HttpResponse health = Json(R"({"status":"ok"})");
  if (blackboard_.draining) {
    health.status = kServiceUnavailable;
    health.body = R"({"status":"draining"})";
  }
  return health;
}

net::HttpResponse EntryService::Explain(const std::string& id) const {
  const auto trace = decisions_.Find(id);
  if (!trace) {
    return Failure(
        kNotFound,
        "the request is unknown, still in progress or no longer retained");
  }
  return Json(TraceJson(*trace));
}

std::string EntryService::NextRequestId() {
  // The id contains the process run, so that an answer to a request from before
  // a restart cannot match a new request.
  constexpr int kHexadecimal = 16;
  char run[kHexadecimal + 1] = {};
  const auto [end, error] = std::to_chars(std::begin(run), std::end(run),
                                          blackboard_.run >> 32U, kHexadecimal);
  return blackboard_.options.host.value() + "-" + std::string(run, end) + "-" +
         std::to_string(
             blackboard_.sequence.fetch_add(1, std::memory_order_relaxed));
}

}  // namespace wigeonstair::entry
