#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_CLAIM_SESSION_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_CLAIM_SESSION_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "records/messages.h"
#include "records/record_command.h"

namespace wigeonstair::records {

// Faults planted by tests to show that a check detects them. For tests only.
enum class ClaimFault : std::uint8_t {
  kNone,
  kSendWithoutClaim,  // Sends although the claim was not answered.
  kIgnoreValidity,    // Sends under a claim that is too old.
  kSendTwice,         // Allows a second send under one claim.
  kDenyAfterSend,     // Says "not run" for a request that was sent.
};

struct ClaimSessionOptions {
  RecordKey key;
  std::uint64_t fingerprint = 0;
  ClaimAttempt attempt;
  std::int64_t issued_milliseconds = 0;
  // The request is sent only within this time after the claim was proposed.
  base::Duration validity = std::chrono::seconds(5);
  ClaimFault fault = ClaimFault::kNone;
};

// The request may be sent now.
struct SendRequest {};
// The caller gets the stored answer.
struct ReturnStored {
  StoredAnswer answer;
};
// The caller is told that the outcome is unknown.
struct ReturnUnknown {
  UnknownReason reason = UnknownReason::kInProgress;
};
// The leader refused the claim because of this host's clock, without a look at
// the record; nothing was sent.
struct ReturnClockDiffers {
  std::string detail;
};
// The claim could not be committed in time; nothing was sent.
struct ReturnNoQuorum {
  std::string detail;
};
// The claim was refused; nothing was sent under it.
struct ReturnRefused {
  ClaimRefusalReason reason = ClaimRefusalReason::kTableFull;
};

using ClaimDecision = std::variant<SendRequest,
                                   ReturnStored,
                                   ReturnUnknown,
                                   ReturnClockDiffers,
                                   ReturnNoQuorum,
                                   ReturnRefused>;

// How the send ended, as far as the claimer knows.
struct SentAndAnswered {
  StoredAnswer answer;
};
struct SentAndLost {};
struct NeverSent {};
using SendResult = std::variant<SentAndAnswered, SentAndLost, NeverSent>;

// One attempt of an entry host to run one non-idempotent request: claim, at
// most one send, and the report of its result. Pure; used by one request.
class ClaimSession {
 public:
  explicit ClaimSession(ClaimSessionOptions options);

  // The claim to propose. Called once.
  Claim Propose(std::int64_t time_milliseconds, base::Instant now);
  // Evaluates the reply to the claim. An error of kUnavailable means that the
  // claim was not proposed, any other one that it may be committed later.
  ClaimDecision Evaluate(const std::variant<RecordReply, base::Error>& reply);
  // True at most once, immediately before the request is sent. `now` is read
  // after everything else that could take time.
  bool BeginSend(base::Instant now);
  // The client proved that no byte left this host; BeginSend() may succeed
  // again under the same claim.
  void SendFailedUnsent();

  // The command that reports the result, if one is needed.
  std::optional<RecordCommand> Report(const SendResult& result,
                                      std::int64_t time_milliseconds) const;

 private:
  enum class State : std::uint8_t {
    kNew,
    kProposed,
    kGranted,
    kSending,
    kOver,  // The record belongs to another attempt, or there is none.
  };

  ClaimSessionOptions options_;
  State state_ = State::kNew;
  base::Instant proposed_{};
};

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_CLAIM_SESSION_H_
