#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "services/entry/request_flow.h"

namespace wigeonstair::entry {

namespace {

using routing::ReasonCode;

struct Explanation {
  ReasonCode reason = ReasonCode::kNone;
  std::string detail;
};

Explanation Explain(const routing::RequestOutcome& outcome) {
  if (const auto* not_run = std::get_if<routing::NotRun>(&outcome))
    return {.reason = not_run->reason, .detail = not_run->detail};
  if (const auto* unknown = std::get_if<routing::Unknown>(&outcome))
    return {.reason = unknown->reason, .detail = unknown->detail};
  return {};
}

// The reason reported to the caller. For kRecorded it is the reason that the
// record gave, such as "answer_not_kept".
std::string ReasonText(const Explanation& explanation) {
  return explanation.reason == ReasonCode::kRecorded
             ? explanation.detail
             : ReasonCodeName(explanation.reason);
}

base::ErrorCode ErrorCodeOf(const routing::RequestOutcome& outcome,
                            ReasonCode reason) {
  if (std::holds_alternative<routing::Unknown>(outcome))
    return base::ErrorCode::kTimeout;
  switch (reason) {
    case ReasonCode::kCustomerLimit:
    case ReasonCode::kQueueFull:
      return base::ErrorCode::kResourceLimit;
    case ReasonCode::kUnknownCustomer:
      return base::ErrorCode::kPermissionDenied;
    case ReasonCode::kKeyConflict:
      return base::ErrorCode::kConflict;
    case ReasonCode::kInvalidIssueTime:
      return base::ErrorCode::kInvalidArgument;
    default:
      return base::ErrorCode::kUnavailable;
  }
}

}  // namespace

net::HttpResponse RequestFlow::MakeResponse(
    const routing::RequestOutcome& outcome) const {
  net::HttpResponse response;
  if (const auto* answered = std::get_if<routing::Answered>(&outcome)) {
    response.status = answered->status;
    response.body = answered->body;
    if (!answered->content_type.empty())
      response.headers["Content-Type"] = answered->content_type;
    response.headers["Wigeonstair-Upstream"] = answered->upstream.value();
  } else {
    const Explanation why = Explain(outcome);
    response = net::ErrorResponse(
        routing::OutcomeStatus(outcome),
        base::Error{.code = ErrorCodeOf(outcome, why.reason),
                    .step = "route request",
                    .peer = request_.service,
                    .detail = ReasonText(why) + ": " + why.detail});
    response.headers["Wigeonstair-Reason"] = ReasonText(why);
  }
  response.headers["Wigeonstair-Outcome"] = routing::OutcomeName(outcome);
  response.headers["Wigeonstair-Request-Id"] = request_.id;
  return response;
}

void RequestFlow::Record(const routing::RequestOutcome& outcome) {
  const Explanation why = Explain(outcome);
  const char* name = routing::OutcomeName(outcome);
  const base::Duration elapsed = blackboard_.clock.Now() - arrived_;
  blackboard_.log.Info(base::EventNumber::kRouteFinished,
                       {{"request", request_.id},
                        {"customer", request_.customer.value()},
                        {"service", request_.service},
                        {"outcome", name},
                        {"status", routing::OutcomeStatus(outcome)},
                        {"reason", ReasonText(why)},
                        {"detail", why.detail},
                        {"sends", sends_ + peer_sends_},
                        {"microseconds", elapsed.count()}});
  RequestMetrics& metrics = blackboard_.metrics;
  if (std::holds_alternative<routing::Answered>(outcome))
    metrics.answered.Add();
  else if (std::holds_alternative<routing::NotRun>(outcome))
    metrics.not_run.Add();
  else
    metrics.unknown.Add();
  metrics.duration.Record(elapsed);
  Trace("finished", ReasonText(why), {});
  trace_.outcome = name;
  blackboard_.decisions.Add(
      std::make_unique<const routing::RequestTrace>(std::move(trace_)));
}

}  // namespace wigeonstair::entry
