#ifndef WIGEONSTAIR_SERVICES_ENTRY_ANSWER_CHECK_H_
#define WIGEONSTAIR_SERVICES_ENTRY_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/strong_id.h"
#include "net/http.h"
#include "routing/outcome.h"

namespace wigeonstair::entry {

// Faults that tests inject to verify that a check detects them. Test use only.
enum class AnswerFault : std::uint8_t {
  kNone,
  kIgnoreRequestId,
  kIgnoreLength,
};

// The upstream reported that it has not started to process the request.
struct NotBegun {};

// The result of one send: a complete answer to this request, a proof that the
// request did not run, or an unknown outcome.
using SendOutcome = std::
    variant<routing::Answered, NotBegun, routing::NotRun, routing::Unknown>;

struct ExpectedAnswer {
  std::string request_id;
  std::string method;
  base::UpstreamId upstream;
  AnswerFault fault = AnswerFault::kNone;
};

// Accepts an upstream's answer only if it carries the id of this request and
// a complete body.
SendOutcome CheckUpstreamAnswer(const net::HttpOutcome& outcome,
                                const ExpectedAnswer& expected);

// Applies the same checks to the answer of an entry host in another domain.
SendOutcome CheckForwardedAnswer(const net::HttpOutcome& outcome,
                                 const ExpectedAnswer& expected);

// Whether the status is a server error (5xx).
bool IsFailure(int status);

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_ANSWER_CHECK_H_
