#include "records/claim_session.h"

#include <utility>

namespace wigeonstair::records {

ClaimSession::ClaimSession(ClaimSessionOptions options)
    : options_(std::move(options)) {}

Claim ClaimSession::Propose(std::int64_t time_milliseconds, base::Instant now) {
  state_ = State::kProposed;
  proposed_ = now;
  return Claim{.key = options_.key,
               .fingerprint = options_.fingerprint,
               .attempt = options_.attempt,
               .time_milliseconds = time_milliseconds,
               .issued_milliseconds = options_.issued_milliseconds};
}

ClaimDecision ClaimSession::Evaluate(
    const std::variant<RecordReply, base::Error>& reply) {
  if (options_.fault == ClaimFault::kSendWithoutClaim) {
    state_ = State::kGranted;
    return SendRequest{};
  }
  if (const auto* error = std::get_if<base::Error>(&reply)) {
    if (error->code == base::ErrorCode::kUnavailable)
      state_ = State::kOver;
    return ReturnNoQuorum{.detail = error->ToString()};
  }
  const RecordReply& committed = std::get<RecordReply>(reply);
  if (committed.status != ReplyStatus::kCommitted) {
    if (committed.status == ReplyStatus::kNotProposed)
      state_ = State::kOver;
    const auto* refused = std::get_if<ClaimRefused>(&committed.answer);
    if (state_ == State::kOver && refused != nullptr &&
        refused->reason == ClaimRefusalReason::kClockDiffers)
      return ReturnClockDiffers{.detail = committed.detail};
    return ReturnNoQuorum{.detail = committed.detail};
  }
  if (std::holds_alternative<ClaimGranted>(committed.answer)) {
    state_ = State::kGranted;
    return SendRequest{};
  }
  state_ = State::kOver;
  if (const auto* known = std::get_if<AlreadyAnswered>(&committed.answer))
    return ReturnStored{.answer = known->answer};
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&committed.answer))
    return ReturnUnknown{.reason = unknown->reason};
  if (const auto* refused = std::get_if<ClaimRefused>(&committed.answer))
    return ReturnRefused{.reason = refused->reason};
  return ReturnNoQuorum{.detail = "the reply does not answer a claim"};
}

bool ClaimSession::BeginSend(base::Instant now) {
  if (state_ == State::kSending && options_.fault == ClaimFault::kSendTwice)
    return true;
  if (state_ != State::kGranted)
    return false;
  if (now - proposed_ >= options_.validity &&
      options_.fault != ClaimFault::kIgnoreValidity)
    return false;
  state_ = State::kSending;
  return true;
}

void ClaimSession::SendFailedUnsent() {
  if (state_ == State::kSending)
    state_ = State::kGranted;
}

std::optional<RecordCommand> ClaimSession::Report(
    const SendResult& result,
    std::int64_t time_milliseconds) const {
  if (state_ == State::kNew || state_ == State::kOver)
    return std::nullopt;
  // A request that was sent is never reported as not run unless the client
  // proved it through SendFailedUnsent().
  const bool sent = state_ == State::kSending;
  if (const auto* answered = std::get_if<SentAndAnswered>(&result);
      answered != nullptr && sent) {
    return Complete{.key = options_.key,
                    .attempt = options_.attempt,
                    .time_milliseconds = time_milliseconds,
                    .answer = answered->answer};
  }
  if (sent && options_.fault != ClaimFault::kDenyAfterSend) {
    return MarkUnknown{.key = options_.key,
                       .attempt = options_.attempt,
                       .time_milliseconds = time_milliseconds};
  }
  return MarkNotRun{.key = options_.key,
                    .attempt = options_.attempt,
                    .time_milliseconds = time_milliseconds};
}

}  // namespace wigeonstair::records
