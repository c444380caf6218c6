#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "services/entry/gate_pump.h"
#include "services/entry/request_flow.h"

namespace wigeonstair::entry {

using routing::ReasonCode;

namespace {

constexpr int kMaximumReportAttempts = 5;
constexpr base::Duration kReportTimeout = std::chrono::seconds(2);

// Repeats the report of a send's result until it is committed or no attempts
// are left. If the report is lost, the record stays claimed and a resend gets
// "unknown", which is still correct.
void ReportUntilCommitted(
    Blackboard& blackboard,
    const std::shared_ptr<records::RecordCommand>& command,
    int tries) {
  blackboard.records.Propose(
      *command, kReportTimeout,
      [&blackboard, command, tries](const RecordClient::Reply& reply) {
        const auto* answer = std::get_if<records::RecordReply>(&reply);
        const bool committed =
            answer != nullptr &&
            answer->status == records::ReplyStatus::kCommitted;
        if (!committed && tries > 1)
          return ReportUntilCommitted(blackboard, command, tries - 1);
        if (!committed) {
          blackboard.log.Warning(
              base::EventNumber::kRecordReportLost,
              {{"result", command->index() == 1 ? "answered" : "not_answered"},
               {"tries", kMaximumReportAttempts}});
        }
        blackboard.in_progress.fetch_sub(1);
      });
}

routing::Answered Restore(const records::StoredAnswer& stored) {
  return {.status = stored.status,
          .content_type = stored.content_type,
          .body = stored.body,
          .upstream = stored.upstream};
}

}  // namespace

void RequestFlow::ProposeClaim() {
  claim_.emplace(records::ClaimSessionOptions{
      .key = {.customer = request_.customer, .key = request_.key},
      .fingerprint = request_.fingerprint,
      .attempt = {.host = blackboard_.options.host,
                  .number = NextSeed(blackboard_)},
      .issued_milliseconds = request_.issued_milliseconds,
      .validity = blackboard_.options.claim_validity,
      .fault = blackboard_.options.faults.claim});
  const base::Duration timeout =
      std::min(TimeLeft(), blackboard_.options.claim_validity);
  blackboard_.records.Propose(
      claim_->Propose(blackboard_.clock.WallMilliseconds(),
                      blackboard_.clock.Now()),
      timeout, [self = shared_from_this()](const RecordClient::Reply& reply) {
        self->OnClaimReply(reply);
      });
}

void RequestFlow::OnClaimReply(const RecordClient::Reply& reply) {
  const records::ClaimDecision decision = claim_->Evaluate(reply);
  const bool granted = std::holds_alternative<records::SendRequest>(decision);
  blackboard_.log.Info(base::EventNumber::kRecordClaimed,
                       {{"request", request_.id},
                        {"key", request_.key},
                        {"granted", granted ? "yes" : "no"}});
  Trace("claimed", granted ? "granted" : "not_granted", {});
  if (!granted)
    return RefuseUnclaimed(decision);
  record_known_ = true;
  SendToUpstream();
}

void RequestFlow::RefuseUnclaimed(const records::ClaimDecision& decision) {
  if (const auto* stored = std::get_if<records::ReturnStored>(&decision))
    return Finish(Restore(stored->answer));
  if (const auto* unknown = std::get_if<records::ReturnUnknown>(&decision)) {
    return Finish(routing::Unknown{
        .reason = ReasonCode::kRecorded,
        .detail = records::UnknownReasonName(unknown->reason)});
  }
  if (const auto* clock = std::get_if<records::ReturnClockDiffers>(&decision))
    return Refuse(ReasonCode::kClockDiffers, clock->detail);
  if (const auto* none = std::get_if<records::ReturnNoQuorum>(&decision)) {
    // Without access to the record, "not-run" is certain only for a first send
    // that no resend can have overtaken.
    if (MayHaveRunElsewhere()) {
      return Finish(routing::Unknown{.reason = ReasonCode::kNoQuorum,
                                     .detail = none->detail});
    }
    return Finish(routing::NotRun{.reason = ReasonCode::kNoQuorum,
                                  .detail = none->detail});
  }
  const auto& refused = std::get<records::ReturnRefused>(decision);
  ReasonCode reason = ReasonCode::kRecordTableFull;
  if (refused.reason == records::ClaimRefusalReason::kOtherFingerprint)
    reason = ReasonCode::kKeyConflict;
  else if (refused.reason == records::ClaimRefusalReason::kIssuedInFuture)
    reason = ReasonCode::kInvalidIssueTime;
  Finish(routing::NotRun{
      .reason = reason,
      .detail = records::ClaimRefusalReasonName(refused.reason)});
}

// Handles a request that is refused before its claim although another send of
// the key may have run: only the record shows whether one did.
void RequestFlow::LookUpRecord(ReasonCode reason, const std::string& detail) {
  record_known_ = true;
  const base::Duration timeout = std::clamp<base::Duration>(
      TimeLeft(), std::chrono::milliseconds(100), std::chrono::seconds(1));
  blackboard_.records.Query(
      {.key = {.customer = request_.customer, .key = request_.key}}, timeout,
      [self = shared_from_this(), reason,
       detail](const RecordClient::Reply& reply) {
        const auto* known = std::get_if<records::RecordReply>(&reply);
        if (known == nullptr ||
            known->status != records::ReplyStatus::kCommitted) {
          return self->Finish(routing::Unknown{
              .reason = reason,
              .detail = "an earlier send of this key may have run, and its "
                        "record cannot be read: " +
                        detail});
        }
        const records::RecordAnswer& answer = known->answer;
        if (const auto* stored = std::get_if<records::AlreadyAnswered>(&answer))
          return self->Finish(Restore(stored->answer));
        if (const auto* open = std::get_if<records::OutcomeUnknown>(&answer)) {
          return self->Finish(routing::Unknown{
              .reason = ReasonCode::kRecorded,
              .detail = records::UnknownReasonName(open->reason)});
        }
        self->Finish(routing::NotRun{.reason = reason, .detail = detail});
      });
}

void RequestFlow::ReportResult(const records::SendResult& result) {
  const auto command =
      claim_->Report(result, blackboard_.clock.WallMilliseconds());
  if (!command)
    return;
  blackboard_.in_progress.fetch_add(1);
  ReportUntilCommitted(blackboard_,
                       std::make_shared<records::RecordCommand>(*command),
                       kMaximumReportAttempts);
}

}  // namespace wigeonstair::entry
