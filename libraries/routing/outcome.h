#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_OUTCOME_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_OUTCOME_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "base/strong_id.h"

namespace wigeonstair::routing {

// Why a request was not run, or why its outcome is unknown.
enum class ReasonCode : std::uint8_t {
  kNone,
  kNoUpstream,  // No upstream of the service is known.
  kNoCapacity,  // Every usable upstream is full.
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kCustomerLimit,
  kUnknownCustomer,
  kDomainOut,  // The domain is out of service and no other one can serve.
  kDraining,
  kNoQuorum,      // The claim on the request key could not be committed.
  kClaimExpired,  // The claim expired before the request was sent.
  kRecordTableFull,
  kConnectionRefused,  // No upstream could be reached.
  kUpstreamRefused,    // The upstream reported that it did not start it.
  kAnswerLost,
  kAnswerMismatch,  // The answer belongs to another request.
  kAnswerTruncated,
  kAnswerTooLarge,
  kTimeout,
  kRecorded,          // Taken from the stored record of the request key.
  kKeyConflict,       // The key was used for a different request.
  kInvalidIssueTime,  // Request-Issued lies in the future.
  kClockDiffers,      // The clock of this host differs from the leader's.
};

// The name used in headers, logs and metrics, such as "no_capacity".
const char* ReasonCodeName(ReasonCode reason);

// The complete answer of an upstream to this request.
struct Answered {
  int status = 0;
  std::string content_type;
  std::string body;
  base::UpstreamId upstream;

  bool operator==(const Answered&) const = default;
};

// The request was certainly not run: no byte of it can have reached an
// upstream, or the upstream reported that it did not start it.
struct NotRun {
  ReasonCode reason = ReasonCode::kNone;
  std::string detail;

  bool operator==(const NotRun&) const = default;
};

// It is not known whether the request was run.
struct Unknown {
  ReasonCode reason = ReasonCode::kNone;
  std::string detail;

  bool operator==(const Unknown&) const = default;
};

using RequestOutcome = std::variant<Answered, NotRun, Unknown>;

// "answered", "not-run" or "unknown".
const char* OutcomeName(const RequestOutcome& outcome);

// The HTTP status code returned to the caller.
int OutcomeStatus(const RequestOutcome& outcome);

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_OUTCOME_H_
