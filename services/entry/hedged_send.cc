#include "services/entry/hedged_send.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "routing/choose.h"
#include "services/entry/gate_pump.h"

namespace wigeonstair::entry {

namespace {

using routing::ReasonCode;

// Of two outcomes, the one with the higher rank is reported. A copy that may
// have run outranks one that certainly did not, so that a request is never
// reported as "not-run" although a copy of it may have run.
int Rank(const SendOutcome& outcome) {
  if (const auto* answered = std::get_if<routing::Answered>(&outcome))
    return IsFailure(answered->status) ? 2 : 3;
  return std::holds_alternative<routing::Unknown>(outcome) ? 1 : 0;
}

bool Wins(const SendOutcome& outcome) {
  const auto* answered = std::get_if<routing::Answered>(&outcome);
  return answered != nullptr && !IsFailure(answered->status);
}

}  // namespace

void HedgedSend::Start(Blackboard& blackboard, UpstreamSend send, Done done) {
  const auto hedged = std::make_shared<HedgedSend>(blackboard, std::move(send),
                                                   std::move(done));
  hedged->ScheduleSecondCopy();
  net::HttpCall call = hedged->send_.call;
  hedged->Dispatch(0, std::move(call));
}

HedgedSend::HedgedSend(Blackboard& blackboard, UpstreamSend send, Done done)
    : blackboard_(blackboard),
      send_(std::move(send)),
      done_(std::move(done)),
      copies_{{.upstream = send_.upstream, .sent = blackboard.clock.Now()}},
      pending_copies_(1) {}

void HedgedSend::ScheduleSecondCopy() {
  const auto delay = blackboard_.hedges.Delay(
      send_.safety, send_.gate->answer_times().percentile_90(),
      send_.deadline - blackboard_.clock.Now());
  if (!delay || send_.copies >= blackboard_.options.maximum_sends)
    return;
  std::function<void()> cancel = blackboard_.timers.After(
      *delay, [self = shared_from_this()] { self->OnHedgeDelayElapsed(); });
  // The timer may already have fired and the request have ended: on a busy host
  // the second copy can be sent and answered before this line runs.
  const std::lock_guard lock(mutex_);
  if (!ended_)
    cancel_timer_ = std::move(cancel);
}

std::optional<routing::ReservedUpstream> HedgedSend::ReserveSecond() const {
  std::vector<std::string> avoided = send_.avoided;
  avoided.push_back(send_.upstream.id.value());
  const auto snapshot = blackboard_.snapshots.Read();
  return routing::CopyReservedUpstream(
      routing::Choose(*snapshot,
                      {.service = send_.service,
                       .spill = routing::SpillPermission::kForbidden,
                       .avoided = avoided,
                       .now = blackboard_.clock.Now()},
                      NextSeed(blackboard_)));
}

routing::HedgeDecision HedgedSend::Decide(
    const std::optional<routing::ReservedUpstream>& second) const {
  routing::HedgeState state{
      .safety = send_.safety,
      .copies = static_cast<int>(copies_.size()),
      .time_left = send_.deadline - blackboard_.clock.Now(),
      .queue = send_.gate->RequestsWait() ? routing::HedgeQueue::kRequestsWait
                                          : routing::HedgeQueue::kEmpty,
      .slot = second ? routing::HedgeSlot::kFree : routing::HedgeSlot::kNone,
      .budget = routing::HedgeBudget::kAvailable};
  // Spends from the retry budget only if every other condition allows the copy.
  if (blackboard_.hedges.Decide(state).send() &&
      !blackboard_.retries.TryWithdraw())
    state.budget = routing::HedgeBudget::kEmpty;
  return blackboard_.hedges.Decide(state);
}

void HedgedSend::OnHedgeDelayElapsed() {
  std::optional<routing::ReservedUpstream> second;
  routing::HedgeDecision decision;
  {
    const std::lock_guard lock(mutex_);
    // The blackboard may be destroyed once the request has ended, because a
    // drain no longer waits for it.
    if (ended_)
      return;
    second = ReserveSecond();
    decision = Decide(second);
    if (decision.send()) {
      copies_.push_back({.upstream = *second, .sent = blackboard_.clock.Now()});
      ++pending_copies_;
      // Counted on its own so that a drain waits for the second copy, which may
      // end after the request.
      blackboard_.in_progress.fetch_add(1);
    } else if (second) {
      second->load->Release();
    }
  }
  const char* reason = routing::HedgeReasonName(decision.reason);
  if (!decision.send()) {
    blackboard_.counters
        .counter("wigeonstair_hedges_refused_total{reason=\"" +
                 std::string(reason) + "\"}")
        .Add();
    return;
  }
  blackboard_.metrics.hedges_sent.Add();
  blackboard_.log.Info(base::EventNumber::kRouteHedged,
                       {{"request", send_.request_id},
                        {"service", send_.service},
                        {"reason", reason},
                        {"first", send_.upstream.id.value()},
                        {"target", second->id.value()}});
  net::HttpCall call = send_.call;
  call.address = second->address;
  call.timeout = send_.deadline - blackboard_.clock.Now();
  call.headers["Wigeonstair-Attempt"] = std::to_string(send_.attempt + 1);
  call.headers["Wigeonstair-Deadline-Ms"] =
      std::to_string(std::max<std::int64_t>(
          1, std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout)
                 .count()));
  Dispatch(1, std::move(call));
}

void HedgedSend::Dispatch(std::size_t index, net::HttpCall call) {
  blackboard_.upstreams.Send(
      std::move(call),
      [self = shared_from_this(), index](const net::HttpOutcome& outcome) {
        self->OnOutcome(index, outcome);
      });
}

void HedgedSend::OnOutcome(std::size_t index, const net::HttpOutcome& outcome) {
  Copy copy;
  {
    const std::lock_guard lock(mutex_);
    copy = copies_[index];
  }
  SendOutcome checked = CheckUpstreamAnswer(
      outcome, {.request_id = send_.request_id,
                .method = send_.call.method,
                .upstream = copy.upstream.id,
                .fault = blackboard_.options.faults.answer});
  RecordLoad(copy, checked);
  copy.upstream.load->Release();
  PumpGate(blackboard_, *send_.gate, send_.service);
  UpstreamSendResult result;
  std::function<void()> cancel_timer;
  bool report = false;
  bool last_hedged_copy = false;
  {
    const std::lock_guard lock(mutex_);
    --pending_copies_;
    last_hedged_copy = pending_copies_ == 0 && copies_.size() > 1;
    const bool wins = Wins(checked);
    if (!ended_) {
      if (!best_outcome_ || Rank(checked) >= Rank(*best_outcome_))
        best_outcome_ = std::move(checked);
      report = wins || pending_copies_ == 0;
    }
    if (report) {
      ended_ = true;
      cancel_timer = std::exchange(cancel_timer_, nullptr);
      result.outcome = std::move(*best_outcome_);
      for (const Copy& sent : copies_)
        result.upstreams.push_back(sent.upstream.id);
      if (wins && index > 0)
        blackboard_.metrics.hedges_won.Add();
    }
  }
  if (report) {
    if (cancel_timer)
      cancel_timer();
    done_(std::move(result));
  }
  if (last_hedged_copy)
    blackboard_.in_progress.fetch_sub(1);
}

void HedgedSend::RecordLoad(const Copy& copy, const SendOutcome& outcome) {
  const base::Duration elapsed = blackboard_.clock.Now() - copy.sent;
  routing::UpstreamLoad& load = *copy.upstream.load;
  routing::ServiceGate& gate = *send_.gate;
  if (Wins(outcome)) {
    load.RecordAnswer(elapsed);
    gate.limit().RecordAnswer(elapsed);
    gate.answer_times().RecordAnswer(elapsed);
    gate.RecordService(elapsed);
  } else if (std::holds_alternative<NotBegun>(outcome)) {
    // An upstream without free slots is overloaded, not failed.
    gate.limit().RecordOverload();
  } else {
    load.RecordFailure();
    const auto* unknown = std::get_if<routing::Unknown>(&outcome);
    if (unknown != nullptr && unknown->reason == ReasonCode::kTimeout)
      gate.limit().RecordOverload();
  }
}

}  // namespace wigeonstair::entry
