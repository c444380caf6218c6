#include "benchmarks/requests/simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "routing/hedging.h"
#include "routing/retry_budget.h"
#include "routing/service_gate.h"

namespace wigeonstair::benchmarks {

void EventQueue::At(base::Instant time, Action action) {
  events_.push({.time = time, .order = ++order_, .action = std::move(action)});
}

void EventQueue::RunUntil(base::Instant end) {
  while (!events_.empty() && events_.top().time <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.action();
  }
  now_ = end;
}

namespace {

using routing::ReservedUpstream;

struct Request {
  base::Instant arrived;
  base::Instant deadline;
  int sends = 0;
  std::vector<std::string> avoided;
  // Copies in progress; two while a hedge runs.
  int open_copies = 0;
  bool hedged = false;
  bool ended = false;
};
using RequestPointer = std::shared_ptr<Request>;

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options)
      : options_(options),
        random_(options.seed),
        arrivals_(options.seed + 1'000'000),
        builder_({.own_domain = base::DomainId("d1"),
                  .health = options.health,
                  .gate = {.queue = {.maximum_length = 1024}}}) {
    AddUpstreams();
    begin_ = events_.now();
    Tick();
    ScheduleArrival();
  }

  SimulationResult Run() {
    events_.RunUntil(begin_ + options_.length);
    return Result();
  }

 private:
  struct Upstream {
    Behaviour behaviour = Behaviour::kNormal;
    int running = 0;
  };

  void AddUpstreams() {
    const auto slow =
        static_cast<int>(options_.upstreams * options_.slow_share);
    const auto failing =
        static_cast<int>(options_.upstreams * options_.failing_share);
    for (int index = 0; index < options_.upstreams; ++index) {
      const std::string id = "u" + std::to_string(index);
      known_.push_back(
          {.announcement = {.id = base::UpstreamId(id),
                            .service = "s",
                            .domain = base::DomainId("d1"),
                            .address = id,
                            .slots = options_.slots,
                            .connections = options_.slots,
                            .incarnation = 1},
           // Long enough ago that slow start is over.
           .usable_since = events_.now() - std::chrono::minutes(10)});
      upstreams_[id].behaviour = index < slow             ? Behaviour::kSlow
                                 : index < slow + failing ? Behaviour::kFailing
                                                          : Behaviour::kNormal;
    }
  }

  void Tick() {
    constexpr base::Duration kInterval = std::chrono::milliseconds(100);
    share_.Update({}, events_.now());
    snapshot_ = builder_.Build(known_, share_, {}, {}, events_.now());
    gate_ = snapshot_->services.at("s").gate;
    gate_->limit().Evaluate();
    gate_->answer_times().Evaluate();
    Pump();
    events_.At(events_.now() + kInterval, [this] { Tick(); });
  }

  void ScheduleArrival() {
    const double capacity = options_.upstreams * options_.parallel /
                            static_cast<double>(options_.service_time.count());
    const base::Duration gap(static_cast<std::int64_t>(
        arrivals_.Exponential(1.0 / (capacity * options_.load))));
    events_.At(events_.now() + gap, [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive() {
    auto request = std::make_shared<Request>();
    request->arrived = events_.now();
    request->deadline = events_.now() + options_.deadline;
    ++offered_;
    if (events_.now() - begin_ < options_.warm_up)
      measured_from_ = offered_;
    budget_.RecordRequest();
    if (options_.admission == Admission::kFirstInFirstOut)
      return ArriveSimply(request);
    if (gate_->RequestsWait() || !gate_->limit().TryEnter())
      return Wait(request);
    if (!Route(request)) {
      gate_->limit().Leave();
      Wait(request);
    }
  }

  void ArriveSimply(const RequestPointer& request) {
    if (!fifo_.empty() || !Route(request))
      fifo_.push_back(request);
  }

  void Wait(const RequestPointer& request) {
    gate_->Wait(
        base::CustomerId("c" + std::to_string(offered_ % 4)), 1,
        request->deadline, events_.now(),
        [this, request](routing::AdmissionResult turn) {
          if (const auto* upstream = std::get_if<ReservedUpstream>(&turn))
            Send(request, *upstream);
        });
  }

  std::optional<ReservedUpstream> Choose(
      const std::vector<std::string>& avoided) {
    const bool in_turn =
        options_.policy == routing::SelectionPolicy::kRoundRobin;
    return routing::CopyReservedUpstream(routing::Choose(
        *snapshot_,
        {.service = "s", .avoided = avoided, .policy = options_.policy},
        in_turn ? position_++ : random_.Next()));
  }

  bool Route(const RequestPointer& request) {
    const auto upstream = Choose(request->avoided);
    if (!upstream)
      return false;
    Send(request, *upstream);
    return true;
  }

  void Send(const RequestPointer& request, const ReservedUpstream& reserved) {
    ++request->sends;
    PlanHedge(request, reserved);
    SendCopy(request, reserved);
  }

  void PlanHedge(const RequestPointer& request,
                 const ReservedUpstream& reserved) {
    if (options_.hedging == Hedging::kOff)
      return;
    const auto delay = hedges_.Delay(routing::HedgeSafety::kIdempotent,
                                     gate_->answer_times().percentile_90(),
                                     request->deadline - events_.now());
    if (!delay)
      return;
    events_.At(events_.now() + *delay,
               [this, request, reserved, send = request->sends] {
                 if (!request->ended && request->sends == send)
                   Hedge(request, reserved.id.value());
               });
  }

  void Hedge(const RequestPointer& request, const std::string& first) {
    std::vector<std::string> avoided = request->avoided;
    avoided.push_back(first);
    const auto second = Choose(avoided);
    const routing::HedgeDecision decision = hedges_.Decide(
        {.safety = routing::HedgeSafety::kIdempotent,
         .copies = request->hedged ? 2 : 1,
         .time_left = request->deadline - events_.now(),
         .queue = gate_->RequestsWait() ? routing::HedgeQueue::kRequestsWait
                                        : routing::HedgeQueue::kEmpty,
         .slot = second ? routing::HedgeSlot::kFree : routing::HedgeSlot::kNone,
         .budget = budget_.IsEmpty() ? routing::HedgeBudget::kEmpty
                                     : routing::HedgeBudget::kAvailable});
    if (!decision.send() || !budget_.TryWithdraw()) {
      if (second)
        second->load->Release();
      return;
    }
    request->hedged = true;
    if (request->arrived - begin_ >= options_.warm_up)
      ++hedged_;
    SendCopy(request, *second);
  }

  void SendCopy(const RequestPointer& request,
                const ReservedUpstream& reserved) {
    ++request->open_copies;
    Upstream& upstream = upstreams_.at(reserved.address);
    ++upstream.running;
    constexpr base::Duration kFailureTime = std::chrono::milliseconds(1);
    const double crowding = std::max(
        1.0, static_cast<double>(upstream.running) / options_.parallel);
    const auto mean = static_cast<double>(options_.service_time.count());
    double time = options_.spread == Spread::kExponential
                      ? random_.Exponential(mean)
                      : mean * (0.5 + random_.Fraction());
    if (upstream.behaviour == Behaviour::kSlow)
      time *= options_.slow_factor;
    const base::Duration took =
        upstream.behaviour == Behaviour::kFailing
            ? kFailureTime
            : base::Duration(static_cast<std::int64_t>(time * crowding));
    events_.At(events_.now() + took, [this, request, reserved, took] {
      Finish(request, reserved, took);
    });
  }

  void Finish(const RequestPointer& request,
              const ReservedUpstream& reserved,
              base::Duration took) {
    Upstream& upstream = upstreams_.at(reserved.address);
    --upstream.running;
    reserved.load->Release();
    --request->open_copies;
    const bool failed = upstream.behaviour == Behaviour::kFailing;
    if (failed) {
      reserved.load->RecordFailure();
      request->avoided.push_back(reserved.id.value());
    } else {
      reserved.load->RecordAnswer(took);
      gate_->limit().RecordAnswer(took);
      gate_->RecordService(took);
      gate_->answer_times().RecordAnswer(took);
    }
    // The other copy has answered, or may still answer.
    if (request->ended || (failed && request->open_copies > 0))
      return Pump();
    constexpr int kMaximumSends = 3;
    const bool again = failed && request->sends < kMaximumSends &&
                       events_.now() < request->deadline &&
                       budget_.TryWithdraw() && Route(request);
    if (again)
      return;
    request->ended = true;
    if (options_.admission == Admission::kQueue)
      gate_->limit().Leave();
    Record(*request, failed);
    Pump();
  }

  void Pump() {
    if (options_.admission == Admission::kFirstInFirstOut) {
      while (!fifo_.empty() && Route(fifo_.front()))
        fifo_.pop_front();
      return;
    }
    gate_->Pump(events_.now(), [this] { return Choose({}); });
  }

  void Record(const Request& request, bool failed) {
    if (request.arrived - begin_ < options_.warm_up)
      return;
    // A failure counts as the longest time a caller waits.
    const base::Duration took =
        failed ? options_.deadline : events_.now() - request.arrived;
    times_.push_back(took);
    if (!failed && events_.now() <= request.deadline)
      ++good_;
  }

  SimulationResult Result() {
    std::sort(times_.begin(), times_.end());
    const auto quantile = [&](double part) {
      if (times_.empty())
        return 0.0;
      const auto index = static_cast<std::size_t>(
          part * static_cast<double>(times_.size() - 1));
      return static_cast<double>(times_[index].count()) / 1000.0;
    };
    std::vector<double> milliseconds;
    milliseconds.reserve(times_.size());
    for (const base::Duration time : times_)
      milliseconds.push_back(static_cast<double>(time.count()) / 1000.0);
    const double seconds =
        std::chrono::duration<double>(options_.length - options_.warm_up)
            .count();
    return {.p50_milliseconds = quantile(0.5),
            .p99_milliseconds = quantile(0.99),
            .goodput = good_ / seconds,
            .answered_share = static_cast<double>(good_) /
                              static_cast<double>(std::max<std::uint64_t>(
                                  1, offered_ - measured_from_)),
            .hedged_share = static_cast<double>(hedged_) /
                            static_cast<double>(std::max<std::uint64_t>(
                                1, offered_ - measured_from_)),
            .times_milliseconds = std::move(milliseconds)};
  }

  SimulationOptions options_;
  base::Random random_;
  // Apart, so that equal seeds give equal arrivals to every policy.
  base::Random arrivals_;
  EventQueue events_;
  base::Instant begin_;
  std::vector<routing::KnownUpstream> known_;
  std::map<std::string, Upstream> upstreams_;
  routing::SlotShare share_{{.self = base::HostId("h"), .settle_time = {}}};
  routing::SnapshotBuilder builder_;
  std::unique_ptr<const routing::Snapshot> snapshot_;
  std::shared_ptr<routing::ServiceGate> gate_;
  routing::RetryBudget budget_;
  routing::HedgePolicy hedges_;
  std::deque<RequestPointer> fifo_;
  std::uint64_t position_ = 0;
  std::uint64_t offered_ = 0;
  std::uint64_t measured_from_ = 0;
  int good_ = 0;
  int hedged_ = 0;
  std::vector<base::Duration> times_;
};

}  // namespace

SimulationResult Simulate(const SimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace wigeonstair::benchmarks
