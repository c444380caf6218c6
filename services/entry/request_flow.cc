#include "services/entry/request_flow.h"

#include <algorithm>
#include <utility>

#include "services/entry/gate_pump.h"

namespace wigeonstair::entry {

using routing::ReasonCode;

void RequestFlow::Start(Blackboard& blackboard,
                        CallerRequest request,
                        net::HttpResponder responder) {
  // Incremented before `draining` is checked: a drain that reads zero requests
  // in progress can then rely on this request being refused.
  blackboard.in_progress.fetch_add(1);
  std::make_shared<RequestFlow>(blackboard, std::move(request),
                                std::move(responder))
      ->Admit();
}

RequestFlow::RequestFlow(Blackboard& blackboard,
                         CallerRequest request,
                         net::HttpResponder responder)
    : blackboard_(blackboard),
      request_(std::move(request)),
      responder_(std::move(responder)),
      arrived_(blackboard.clock.Now()),
      deadline_(arrived_ + request_.time_left) {
  trace_.id = request_.id;
  trace_.customer = request_.customer.value();
  trace_.service = request_.service;
}

base::Duration RequestFlow::TimeLeft() const {
  return deadline_ - blackboard_.clock.Now();
}

void RequestFlow::Trace(std::string step,
                        std::string reason,
                        std::string target) {
  const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
      blackboard_.clock.Now() - arrived_);
  trace_.decisions.push_back({.after_milliseconds = after.count(),
                              .step = std::move(step),
                              .reason = std::move(reason),
                              .target = std::move(target),
                              .rejected = {}});
}

void RequestFlow::Admit() {
  if (blackboard_.draining.load() &&
      !blackboard_.options.faults.accept_while_draining)
    return Refuse(ReasonCode::kDraining, "this host is shutting down");
  {
    const auto snapshot = blackboard_.snapshots.Read();
    if (snapshot->revision > 0 &&
        !snapshot->customers.contains(request_.customer.value())) {
      return Refuse(ReasonCode::kUnknownCustomer,
                    "the customer is not in the configuration");
    }
    if (!CountCustomerRequest(*snapshot)) {
      return Refuse(ReasonCode::kCustomerLimit,
                    "the customer has too many requests in progress");
    }
    const auto service = snapshot->services.find(request_.service);
    if (service != snapshot->services.end())
      gate_ = service->second.gate;
  }
  if (gate_ == nullptr)
    return Refuse(ReasonCode::kNoUpstream, "no upstream offers the service");
  blackboard_.retries.RecordRequest();
  // A new request must not overtake requests that already wait.
  if (gate_->RequestsWait() || !gate_->limit().TryEnter())
    return Wait();
  counted_in_limit_ = true;
  Route();
}

bool RequestFlow::CountCustomerRequest(const routing::Snapshot& snapshot) {
  const auto found = snapshot.customers.find(request_.customer.value());
  if (found == snapshot.customers.end())
    return true;
  const routing::CustomerEntry& customer = found->second;
  customer_weight_ = customer.weight;
  if (customer.load->in_progress.fetch_add(1) >= customer.limit &&
      !blackboard_.options.faults.ignore_customer_limit) {
    customer.load->in_progress.fetch_sub(1);
    return false;
  }
  customer_ = customer.load;
  return true;
}

void RequestFlow::Wait() {
  // A request forwarded from a domain that serves the service is refused at
  // once: the host that forwarded it can choose between a third domain and its
  // own queue.
  if (request_.wait == WaitPermission::kForbidden)
    return Refuse(ReasonCode::kNoCapacity, "every upstream slot is in use");
  waited_ = true;
  if (std::exchange(counted_in_limit_, false))
    gate_->limit().Leave();
  Trace("queued", "no_capacity", {});
  gate_->Wait(
      request_.customer, customer_weight_, deadline_, blackboard_.clock.Now(),
      [self = shared_from_this()](routing::AdmissionResult turn) {
        self->OnQueueResult(std::move(turn));
      },
      request_.spill);
  // A slot may have become free after the choice failed and before the request
  // was queued.
  PumpGate(blackboard_, *gate_, request_.service);
}

void RequestFlow::OnQueueResult(routing::AdmissionResult turn) {
  std::visit([this](auto& value) { HandleQueueResult(std::move(value)); },
             turn);
}

void RequestFlow::HandleQueueResult(routing::ReservedUpstream upstream) {
  counted_in_limit_ = true;
  LogQueueResult("turn", upstream.id.value());
  UseUpstream(std::move(upstream));
}

// The other domain accepts or refuses the request at once. The request does not
// count towards this host's limit because it uses none of its upstreams.
void RequestFlow::HandleQueueResult(const routing::ForwardTarget& target) {
  LogQueueResult(routing::RouteReasonName(routing::RouteReason::kSpill),
                 target.address);
  SendToPeer(target.address, target.load);
}

void RequestFlow::HandleQueueResult(ReasonCode reason) {
  Refuse(reason, "shed from the queue");
}

void RequestFlow::LogQueueResult(const char* reason,
                                 const std::string& target) {
  Trace("chosen", reason, target);
  blackboard_.log.Info(base::EventNumber::kRouteChosen,
                       {{"request", request_.id},
                        {"customer", request_.customer.value()},
                        {"service", request_.service},
                        {"reason", reason},
                        {"target", target}});
}

// A request that was forwarded from the queue and refused by the other domain
// does not count towards the limit yet.
bool RequestFlow::TryEnterLimit() {
  if (!counted_in_limit_)
    counted_in_limit_ = gate_->limit().TryEnter();
  return counted_in_limit_;
}

void RequestFlow::Route() {
  if (TimeLeft() <= base::Duration::zero())
    return RetryOrFinish(routing::NotRun{.reason = ReasonCode::kDeadlinePassed},
                         "");
  const bool may_wait = sends_ == 0 && !claim_;
  if (!TryEnterLimit()) {
    return may_wait ? Wait()
                    : Refuse(ReasonCode::kNoCapacity,
                             "too many requests are in progress");
  }
  std::optional<routing::ReservedUpstream> reserved;
  std::string peer;
  std::shared_ptr<routing::RemoteLoad> peer_load;
  ReasonCode refusal = ReasonCode::kNone;
  {
    const auto snapshot = blackboard_.snapshots.Read();
    // A record that this host claimed must not be claimed again on another
    // host. The bound on peer sends does not apply to a request that may wait:
    // it is queued when all domains are full, and a domain that refused a
    // request is not tried again until its back-off ends.
    constexpr int kMaximumPeerSends = 3;
    const bool spill = !claim_ && (may_wait || peer_sends_ < kMaximumPeerSends);
    const routing::RouteRequest route{
        .service = request_.service,
        .spill = spill ? request_.spill : routing::SpillPermission::kForbidden,
        .avoided = avoided_,
        .now = blackboard_.clock.Now()};
    const routing::RouteDecision decision =
        routing::Choose(*snapshot, route, NextSeed(blackboard_));
    reserved = routing::CopyReservedUpstream(decision);
    refusal = decision.refusal;
    if (decision.remote != nullptr) {
      peer = *decision.remote_host;
      peer_load = decision.remote->load;
    }
    LogDecision(decision, reserved ? reserved->id.value() : peer);
  }
  if (reserved)
    return UseUpstream(std::move(*reserved));
  if (peer_load != nullptr)
    return SendToPeer(peer, peer_load);
  if (refusal == ReasonCode::kNoCapacity && may_wait)
    return Wait();
  Refuse(refusal, "no upstream can take the request");
}

void RequestFlow::LogDecision(const routing::RouteDecision& decision,
                              const std::string& target) {
  std::string rejected;
  const bool refused = target.empty();
  Trace(refused ? "refused" : "chosen",
        refused ? routing::ReasonCodeName(decision.refusal)
                : routing::RouteReasonName(decision.reason),
        target);
  for (const routing::Rejection& rejection : decision.KeptRejections()) {
    const std::string& id = rejection.upstream->announcement.id.value();
    const char* reason = routing::RejectionReasonName(rejection.reason);
    trace_.decisions.back().rejected.push_back(
        {.upstream = id, .reason = reason});
    rejected += (rejected.empty() ? "" : ",") + id + ":" + reason;
  }
  blackboard_.log.Info(refused ? base::EventNumber::kRouteRefused
                               : base::EventNumber::kRouteChosen,
                       {{"request", request_.id},
                        {"customer", request_.customer.value()},
                        {"service", request_.service},
                        {"send", sends_ + 1},
                        {"reason", trace_.decisions.back().reason},
                        {"target", target},
                        {"rejected", rejected}});
}

void RequestFlow::UseUpstream(routing::ReservedUpstream upstream) {
  upstream_ = std::move(upstream);
  if (request_.repetition == Repetition::kAtMostOnce && !claim_)
    return ProposeClaim();
  SendToUpstream();
}

void RequestFlow::ReleaseSlot() {
  if (!upstream_)
    return;
  upstream_->load->Release();
  upstream_.reset();
  PumpGate(blackboard_, *gate_, request_.service);
}

void RequestFlow::ReleaseAdmission() {
  ReleaseSlot();
  if (std::exchange(counted_in_limit_, false)) {
    gate_->limit().Leave();
    PumpGate(blackboard_, *gate_, request_.service);
  }
  if (customer_ != nullptr && !blackboard_.options.faults.leak_customer_count)
    customer_->in_progress.fetch_sub(1);
  customer_.reset();
}

// Whether a send of the same key through another host may have run. A resend
// through another host can overtake a request that waits in the queue.
bool RequestFlow::MayHaveRunElsewhere() const {
  return request_.repetition == Repetition::kAtMostOnce && !record_known_ &&
         (request_.send == SendKind::kPossibleResend || waited_);
}

void RequestFlow::Refuse(ReasonCode reason, std::string detail) {
  if (earlier_outcome_)
    return Finish(std::move(*earlier_outcome_));
  if (MayHaveRunElsewhere())
    return LookUpRecord(reason, detail);
  Finish(routing::NotRun{.reason = reason, .detail = std::move(detail)});
}

void RequestFlow::Finish(routing::RequestOutcome outcome) {
  if (claim_) {
    const auto* answered = std::get_if<routing::Answered>(&outcome);
    if (answered != nullptr) {
      ReportResult(records::SentAndAnswered{
          .answer = {.status = answered->status,
                     .content_type = answered->content_type,
                     .body = answered->body,
                     .upstream = answered->upstream}});
    } else if (std::holds_alternative<routing::Unknown>(outcome)) {
      ReportResult(records::SentAndLost{});
    } else {
      ReportResult(records::NeverSent{});
    }
  }
  ReleaseAdmission();
  Record(outcome);
  responder_(MakeResponse(outcome));
  blackboard_.in_progress.fetch_sub(1);
}

}  // namespace wigeonstair::entry
