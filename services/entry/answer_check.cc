#include "services/entry/answer_check.h"

#include <limits>
#include <string_view>

#include "services/entry/caller_request.h"

namespace wigeonstair::entry {

namespace {

using routing::Answered;
using routing::NotRun;
using routing::ReasonCode;
using routing::Unknown;

constexpr int kServiceUnavailable = 503;

bool HasBody(const std::string& method, int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return method != "HEAD" && status != kNoContent && status != kNotModified;
}

// Without a Content-Length, a truncated answer could not be detected, so such
// an answer counts as incomplete.
bool IsComplete(const net::HttpResponse& response,
                const ExpectedAnswer& expected) {
  if (!HasBody(expected.method, response.status) ||
      expected.fault == AnswerFault::kIgnoreLength)
    return true;
  const auto length =
      ParseInteger(net::HeaderValue(response.headers, "Content-Length"), 0,
                   std::numeric_limits<std::int64_t>::max());
  return length && static_cast<std::uint64_t>(*length) == response.body.size();
}

Unknown LostOutcome(const base::Error& error) {
  ReasonCode reason = ReasonCode::kAnswerLost;
  if (error.code == base::ErrorCode::kTimeout)
    reason = ReasonCode::kTimeout;
  else if (error.code == base::ErrorCode::kResourceLimit)
    reason = ReasonCode::kAnswerTooLarge;
  else if (error.code == base::ErrorCode::kCorruptData)
    reason = ReasonCode::kAnswerTruncated;
  return Unknown{.reason = reason, .detail = error.ToString()};
}

// Keeps the reason of refusals that concern the request itself; every other
// refusal becomes kUpstreamRefused.
ReasonCode RefusalReason(std::string_view reason) {
  for (const ReasonCode code :
       {ReasonCode::kKeyConflict, ReasonCode::kInvalidIssueTime,
        ReasonCode::kCustomerLimit, ReasonCode::kUnknownCustomer,
        ReasonCode::kClockDiffers}) {
    if (reason == routing::ReasonCodeName(code))
      return code;
  }
  return ReasonCode::kUpstreamRefused;
}

// The checks that upstreams and entry hosts have in common. Returns null if a
// check failed, with the outcome in `rejected`.
const net::HttpResponse* ValidateResponse(const net::HttpOutcome& outcome,
                                          const ExpectedAnswer& expected,
                                          SendOutcome& rejected) {
  if (const auto* not_sent = std::get_if<net::HttpNotSent>(&outcome)) {
    rejected = NotRun{.reason = ReasonCode::kConnectionRefused,
                      .detail = not_sent->error.ToString()};
    return nullptr;
  }
  if (const auto* lost = std::get_if<net::HttpLost>(&outcome)) {
    rejected = LostOutcome(lost->error);
    return nullptr;
  }
  const net::HttpResponse& response =
      std::get<net::HttpAnswer>(outcome).response;
  const std::string_view id =
      net::HeaderValue(response.headers, "Wigeonstair-Request-Id");
  if (id != expected.request_id &&
      expected.fault != AnswerFault::kIgnoreRequestId) {
    rejected = Unknown{.reason = ReasonCode::kAnswerMismatch,
                       .detail = "the answer carries the request id '" +
                                 std::string(id) + "'"};
    return nullptr;
  }
  if (!IsComplete(response, expected)) {
    rejected = Unknown{.reason = ReasonCode::kAnswerTruncated,
                       .detail = "the body does not match Content-Length"};
    return nullptr;
  }
  return &response;
}

}  // namespace

SendOutcome CheckUpstreamAnswer(const net::HttpOutcome& outcome,
                                const ExpectedAnswer& expected) {
  SendOutcome rejected;
  const net::HttpResponse* response =
      ValidateResponse(outcome, expected, rejected);
  if (response == nullptr)
    return rejected;
  if (response->status == kServiceUnavailable &&
      net::HeaderValue(response->headers, "Wigeonstair-Not-Run") == "true")
    return NotBegun{};
  return Answered{.status = response->status,
                  .content_type = std::string(
                      net::HeaderValue(response->headers, "Content-Type")),
                  .body = response->body,
                  .upstream = expected.upstream};
}

SendOutcome CheckForwardedAnswer(const net::HttpOutcome& outcome,
                                 const ExpectedAnswer& expected) {
  SendOutcome rejected;
  const net::HttpResponse* response =
      ValidateResponse(outcome, expected, rejected);
  if (response == nullptr)
    return rejected;
  const std::string_view kind =
      net::HeaderValue(response->headers, "Wigeonstair-Outcome");
  const std::string reason(
      net::HeaderValue(response->headers, "Wigeonstair-Reason"));
  if (kind == "answered") {
    return Answered{.status = response->status,
                    .content_type = std::string(
                        net::HeaderValue(response->headers, "Content-Type")),
                    .body = response->body,
                    .upstream = base::UpstreamId(std::string(net::HeaderValue(
                        response->headers, "Wigeonstair-Upstream")))};
  }
  if (kind == "not-run")
    return NotRun{.reason = RefusalReason(reason), .detail = reason};
  if (kind == "unknown")
    return Unknown{.reason = ReasonCode::kAnswerLost, .detail = reason};
  return Unknown{.reason = ReasonCode::kAnswerMismatch,
                 .detail = "the other entry host reported no outcome"};
}

bool IsFailure(int status) {
  constexpr int kFirstServerError = 500;
  return status >= kFirstServerError;
}

}  // namespace wigeonstair::entry
