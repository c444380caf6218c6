#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "services/entry/gate_pump.h"
#include "services/entry/request_flow.h"

namespace wigeonstair::entry {

using routing::ReasonCode;

namespace {

// Whether a refusal by another entry host applies to every host, so that trying
// another one is pointless.
bool IsFinal(ReasonCode reason) {
  return reason != ReasonCode::kUpstreamRefused &&
         reason != ReasonCode::kConnectionRefused;
}

std::int64_t Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

net::HttpCall RequestFlow::MakeCall(const std::string& address) const {
  net::HttpCall call{.method = request_.method,
                     .address = address,
                     .path = request_.path,
                     .headers = {},
                     .body = request_.body,
                     .timeout = blackboard_.options.faults.send_full_deadline
                                    ? request_.time_left
                                    : TimeLeft()};
  call.headers["Wigeonstair-Request-Id"] = request_.id;
  call.headers["Wigeonstair-Attempt"] = std::to_string(sends_ + 1);
  call.headers["Wigeonstair-Customer"] = request_.customer.value();
  call.headers["Wigeonstair-Deadline-Ms"] =
      std::to_string(std::max<std::int64_t>(1, Milliseconds(call.timeout)));
  if (!request_.content_type.empty())
    call.headers["Content-Type"] = request_.content_type;
  if (!request_.key.empty())
    call.headers["Request-Key"] = request_.key;
  // The HTTP client repeats a call if a reused connection turns out to be
  // closed, which could run the request twice.
  if (request_.repetition == Repetition::kAtMostOnce)
    call.reuse = net::ConnectionReuse::kFresh;
  return call;
}

// An upstream that usually answers quickly gets half of the time left, so that
// there is time for a retry if it hangs.
base::Duration RequestFlow::SendTimeout() const {
  const base::Duration left = TimeLeft();
  const bool may_retry = request_.repetition == Repetition::kIdempotent &&
                         sends_ < blackboard_.options.maximum_sends;
  const base::Duration usual{
      upstream_->load->latency_microseconds.load(std::memory_order_relaxed)};
  constexpr int kFastLatencyDivisor = 4;
  const bool usually_fast =
      usual.count() > 0 && usual * kFastLatencyDivisor < left;
  return may_retry && usually_fast ? left / 2 : left;
}

void RequestFlow::SendToUpstream() {
  if (TimeLeft() <= base::Duration::zero()) {
    return RetryOrFinish(
        routing::NotRun{.reason = ReasonCode::kDeadlinePassed,
                        .detail = "before the request was sent"},
        "");
  }
  net::HttpCall call = MakeCall(upstream_->address);
  ++sends_;
  call.timeout = SendTimeout();
  if (claim_ && !claim_->BeginSend(blackboard_.clock.Now())) {
    return Finish(routing::NotRun{.reason = ReasonCode::kClaimExpired,
                                  .detail = "the claim is too old to be used"});
  }
  // From here on, the HedgedSend owns the reserved slot.
  routing::ReservedUpstream upstream = std::move(*upstream_);
  upstream_.reset();
  HedgedSend::Start(blackboard_,
                    {.call = std::move(call),
                     .request_id = request_.id,
                     .service = request_.service,
                     .deadline = deadline_,
                     .safety = request_.repetition == Repetition::kIdempotent
                                   ? routing::HedgeSafety::kIdempotent
                                   : routing::HedgeSafety::kNotIdempotent,
                     .copies = sends_,
                     .attempt = sends_,
                     .avoided = avoided_,
                     .gate = gate_,
                     .upstream = std::move(upstream)},
                    [self = shared_from_this()](UpstreamSendResult result) {
                      self->OnUpstreamOutcome(std::move(result));
                    });
}

void RequestFlow::OnUpstreamOutcome(UpstreamSendResult result) {
  for (const base::UpstreamId& upstream : result.upstreams)
    avoided_.push_back(upstream.value());
  if (result.upstreams.size() > 1) {
    ++sends_;
    Trace("hedged", routing::HedgeReasonName(routing::HedgeReason::kSlowAnswer),
          result.upstreams.back().value());
  }
  HandleUpstreamOutcome(std::move(result.outcome));
}

void RequestFlow::HandleUpstreamOutcome(SendOutcome outcome) {
  if (auto* answered = std::get_if<routing::Answered>(&outcome)) {
    if (!IsFailure(answered->status))
      return Finish(std::move(*answered));
    return RetryOrFinish(std::move(*answered), "server_error");
  }
  if (auto* unknown = std::get_if<routing::Unknown>(&outcome)) {
    if (blackboard_.options.faults.report_lost_as_not_run)
      return Finish(routing::NotRun{.reason = unknown->reason});
    return RetryOrFinish(std::move(*unknown), ReasonCodeName(unknown->reason));
  }
  if (claim_)
    claim_->SendFailedUnsent();
  if (auto* not_run = std::get_if<routing::NotRun>(&outcome))
    return RetryOrFinish(std::move(*not_run), "connection_refused");
  RetryOrFinish(routing::NotRun{.reason = ReasonCode::kUpstreamRefused,
                                .detail = "the upstream's slots are taken"},
                "upstream_refused");
}

bool RequestFlow::MayRetry() const {
  return sends_ < blackboard_.options.maximum_sends &&
         TimeLeft() > base::Duration::zero();
}

// Sends the request again if that is safe, otherwise finishes with the outcome.
// After a send that may have run, only an idempotent request is sent again, and
// its final outcome can no longer be "not-run".
void RequestFlow::RetryOrFinish(routing::RequestOutcome outcome,
                                const char* reason) {
  const bool may_have_run = !std::holds_alternative<routing::NotRun>(outcome);
  const bool earlier_answer_preferred =
      earlier_outcome_ &&
      std::holds_alternative<routing::Answered>(*earlier_outcome_) &&
      !std::holds_alternative<routing::Answered>(outcome);
  if (may_have_run && !earlier_answer_preferred)
    earlier_outcome_ = outcome;
  else if (earlier_outcome_)
    outcome = *earlier_outcome_;
  const bool safe =
      !may_have_run || request_.repetition == Repetition::kIdempotent;
  if (!safe || !MayRetry() ||
      (!blackboard_.retries.TryWithdraw() &&
       !blackboard_.options.faults.ignore_retry_budget))
    return Finish(std::move(outcome));
  blackboard_.log.Info(
      base::EventNumber::kRouteRetried,
      {{"request", request_.id}, {"send", sends_ + 1}, {"reason", reason}});
  blackboard_.metrics.retried.Add();
  Trace("retried", reason, {});
  // Reported if no other upstream can take the request.
  if (!earlier_outcome_)
    earlier_outcome_ = std::move(outcome);
  Route();
}

void RequestFlow::SendToPeer(const std::string& address,
                             const std::shared_ptr<routing::RemoteLoad>& load) {
  ++peer_sends_;
  net::HttpCall call = MakeCall(address);
  call.scheme = blackboard_.options.peer_scheme;
  call.path = std::string(kServicesPrefix) + request_.service + request_.path;
  call.headers["Wigeonstair-Forwarded"] = blackboard_.options.domain.value();
  call.headers["Wigeonstair-Idempotent"] =
      request_.repetition == Repetition::kIdempotent ? "true" : "false";
  if (request_.repetition == Repetition::kAtMostOnce) {
    call.headers["Request-Issued"] =
        std::to_string(request_.issued_milliseconds);
  }
  // No upstream of this domain serves the service, so the peer may queue the
  // request: waiting on this host could not lead to a slot of its own domain.
  if (!blackboard_.snapshots.Read()->OwnDomainServes(request_.service))
    call.headers["Wigeonstair-May-Wait"] = "true";
  // While the request waited, its caller may have sent it through another host.
  if (request_.send == SendKind::kPossibleResend || waited_)
    call.headers["Wigeonstair-Resend"] = "true";
  blackboard_.upstreams.Send(std::move(call),
                             [self = shared_from_this(), address,
                              load](const net::HttpOutcome& outcome) {
                               self->OnPeerOutcome(outcome, address, *load);
                             });
}

void RequestFlow::OnPeerOutcome(const net::HttpOutcome& outcome,
                                const std::string& address,
                                routing::RemoteLoad& load) {
  SendOutcome checked = CheckForwardedAnswer(
      outcome, {.request_id = request_.id,
                .method = request_.method,
                .upstream = {},
                .fault = blackboard_.options.faults.answer});
  // A queued request can be refused by the same host several times.
  if (std::find(avoided_.begin(), avoided_.end(), address) == avoided_.end())
    avoided_.push_back(address);
  if (auto* answered = std::get_if<routing::Answered>(&checked)) {
    load.RecordServed();
    // The answer freed capacity for a request that waits.
    PumpGate(blackboard_, *gate_, request_.service);
    return Finish(std::move(*answered));
  }
  if (auto* unknown = std::get_if<routing::Unknown>(&checked)) {
    load.Release();
    if (request_.repetition == Repetition::kAtMostOnce)
      return Finish(std::move(*unknown));
    ++sends_;
    return RetryOrFinish(std::move(*unknown), "peer_lost");
  }
  const auto* not_run = std::get_if<routing::NotRun>(&checked);
  if (not_run != nullptr && IsFinal(not_run->reason)) {
    load.Release();
    return Finish(*not_run);
  }
  // The request did not run there; another domain or this host's queue may
  // still serve it.
  load.RecordRefused(blackboard_.clock.Now());
  Trace("retried", "peer_refused", address);
  Route();
}

}  // namespace wigeonstair::entry
