#include "routing/outcome.h"

namespace wigeonstair::routing {

const char* ReasonCodeName(ReasonCode reason) {
  switch (reason) {
    case ReasonCode::kNone:
      return "none";
    case ReasonCode::kNoUpstream:
      return "no_upstream";
    case ReasonCode::kNoCapacity:
      return "no_capacity";
    case ReasonCode::kQueueFull:
      return "queue_full";
    case ReasonCode::kDeadlineUnreachable:
      return "deadline_unreachable";
    case ReasonCode::kDeadlinePassed:
      return "deadline_passed";
    case ReasonCode::kCustomerLimit:
      return "customer_limit";
    case ReasonCode::kUnknownCustomer:
      return "unknown_customer";
    case ReasonCode::kDomainOut:
      return "domain_out";
    case ReasonCode::kDraining:
      return "draining";
    case ReasonCode::kNoQuorum:
      return "no_quorum";
    case ReasonCode::kClaimExpired:
      return "claim_expired";
    case ReasonCode::kRecordTableFull:
      return "record_table_full";
    case ReasonCode::kConnectionRefused:
      return "connection_refused";
    case ReasonCode::kUpstreamRefused:
      return "upstream_refused";
    case ReasonCode::kAnswerLost:
      return "answer_lost";
    case ReasonCode::kAnswerMismatch:
      return "answer_mismatch";
    case ReasonCode::kAnswerTruncated:
      return "answer_truncated";
    case ReasonCode::kAnswerTooLarge:
      return "answer_too_large";
    case ReasonCode::kTimeout:
      return "timeout";
    case ReasonCode::kRecorded:
      return "recorded";
    case ReasonCode::kKeyConflict:
      return "key_conflict";
    case ReasonCode::kInvalidIssueTime:
      return "invalid_issue_time";
    case ReasonCode::kClockDiffers:
      return "clock_differs";
  }
  return "unknown";
}

const char* OutcomeName(const RequestOutcome& outcome) {
  if (std::holds_alternative<Answered>(outcome))
    return "answered";
  return std::holds_alternative<NotRun>(outcome) ? "not-run" : "unknown";
}

namespace {

int NotRunStatus(ReasonCode reason) {
  constexpr int kBadRequest = 400;
  constexpr int kForbidden = 403;
  constexpr int kUnprocessable = 422;
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  switch (reason) {
    case ReasonCode::kCustomerLimit:
      return kTooManyRequests;
    case ReasonCode::kUnknownCustomer:
      return kForbidden;
    case ReasonCode::kKeyConflict:
      return kUnprocessable;
    case ReasonCode::kInvalidIssueTime:
      return kBadRequest;
    default:
      return kServiceUnavailable;
  }
}

}  // namespace

int OutcomeStatus(const RequestOutcome& outcome) {
  if (const auto* answered = std::get_if<Answered>(&outcome))
    return answered->status;
  if (const auto* not_run = std::get_if<NotRun>(&outcome))
    return NotRunStatus(not_run->reason);
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  return std::get<Unknown>(outcome).reason == ReasonCode::kTimeout
             ? kGatewayTimeout
             : kBadGateway;
}

}  // namespace wigeonstair::routing
