#include "services/gateway/gateway_process.h"

#include <utility>

namespace wigeonstair::gateway {

namespace {

constexpr base::Duration kPingInterval = std::chrono::milliseconds(500);
constexpr base::Duration kPingTimeout = std::chrono::milliseconds(1500);
// An answer of the leader within this time makes the gateway ready. It spans
// an election, which callers outlast.
constexpr base::Duration kReadyFor = std::chrono::milliseconds(3000);

}  // namespace

GatewayProcess::GatewayProcess(GatewayOptions options)
    : options_(std::move(options)),
      channels_(loop_, options_.cluster),
      leader_({.loop = &loop_,
               .channels = &channels_,
               .seeds = options_.seeds,
               .self = {}}),
      call_time_(
          options_.counters->histogram("wigeonstair_gateway_call_seconds")) {
  loop_.ScheduleEvery(kPingInterval, [this] { Ping(); });
}

void GatewayProcess::Ping() {
  NoteReach();
  // Calls tell as much as pings do.
  if (ping_in_flight_ || AnsweredWithin(kPingInterval))
    return;
  ping_in_flight_ = true;
  leader_.Send(
      jobs::PingCall{}, base::MonotonicClock::now() + kPingTimeout,
      [this](const jobs::CallResultOfLeader&) { ping_in_flight_ = false; });
}

void GatewayProcess::NoteReach() {
  const bool reached = AnsweredWithin(kReadyFor);
  if (reached == reached_)
    return;
  reached_ = reached;
  options_.log->Info(base::EventNumber::kDependencyChanged,
                     {{"dependency", "schedulers"},
                      {"state", reached ? "reached" : "lost"},
                      {"leader", leader_.leader()}});
}

void GatewayProcess::Call(const jobs::Call& call,
                          base::Duration timeout,
                          std::function<void(jobs::CallResultOfLeader)> done) {
  const base::Instant begin = base::MonotonicClock::now();
  leader_.Send(call, begin + timeout,
               [this, begin, done = std::move(done)](
                   const jobs::CallResultOfLeader& result) {
                 call_time_.Record(base::MonotonicClock::now() - begin);
                 done(result);
               });
}

bool GatewayProcess::AnsweredWithin(base::Duration span) const {
  const std::optional<base::Instant> at = leader_.last_answer();
  return at && base::MonotonicClock::now() - *at < span;
}

bool GatewayProcess::ready() const {
  return !draining_ && AnsweredWithin(kReadyFor);
}

void GatewayProcess::AddSeeds(const std::vector<std::string>& seeds) {
  leader_.AddSeeds(seeds);
}

}  // namespace wigeonstair::gateway
