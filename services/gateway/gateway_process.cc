#include "services/gateway/gateway_process.h"

#include <utility>

namespace wigeonstair::gateway {

namespace {

// Two intervals fit into the time within which LeaderClient considers the last
// answer of a leader valid.
constexpr base::Duration kPingInterval = std::chrono::milliseconds(200);
// The gateway is ready if the leader answered within this time. The load
// balancer removes a gateway only after two failed health checks, so an
// election does not take it out of service.
constexpr base::Duration kReadyWindow = std::chrono::milliseconds(800);

}  // namespace

GatewayProcess::GatewayProcess(GatewayOptions options)
    : options_(std::move(options)),
      channels_(loop_, options_.cluster),
      leader_({.loop = &loop_,
               .channels = &channels_,
               .seeds = options_.seeds,
               .self = {}}),
      call_latency_(
          options_.counters->histogram("wigeonstair_gateway_call_seconds")) {
  loop_.ScheduleEvery(kPingInterval, [this] { Ping(); });
}

void GatewayProcess::Ping() {
  UpdateReachability();
  // The answer to a call shows that the leader is reachable; a probe is needed
  // only without one.
  if (!AnsweredWithin(kPingInterval))
    leader_.Probe();
}

void GatewayProcess::UpdateReachability() {
  const bool reached = AnsweredWithin(kReadyWindow);
  if (reached == was_reachable_)
    return;
  was_reachable_ = reached;
  options_.log->Info(base::EventNumber::kDependencyChanged,
                     {{"dependency", "schedulers"},
                      {"state", reached ? "reached" : "lost"},
                      {"leader", leader_.leader()}});
}

void GatewayProcess::Call(const jobs::Call& call,
                          base::Duration timeout,
                          std::function<void(jobs::LeaderCallResult)> done) {
  const base::Instant begin = base::MonotonicClock::now();
  leader_.Send(call, begin + timeout,
               [this, begin,
                done = std::move(done)](const jobs::LeaderCallResult& result) {
                 call_latency_.Record(base::MonotonicClock::now() - begin);
                 done(result);
               });
}

bool GatewayProcess::AnsweredWithin(base::Duration span) const {
  const std::optional<base::Instant> at = leader_.last_answer();
  return at && base::MonotonicClock::now() - *at < span;
}

bool GatewayProcess::ready() const {
  return !draining_ && AnsweredWithin(kReadyWindow);
}

void GatewayProcess::AddSeeds(const std::vector<std::string>& seeds) {
  leader_.AddSeeds(seeds);
}

}  // namespace wigeonstair::gateway
