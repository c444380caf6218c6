#include "services/gateway/gateway_process.h"

#include <utility>

namespace wigeonstair::gateway {

namespace {

// Two fit into the time for which LeaderClient trusts a leader.
constexpr base::Duration kPingInterval = std::chrono::milliseconds(200);
// An answer of the leader within this time makes the gateway ready. The
// balancer needs two misses, so an election passes unnoticed.
constexpr base::Duration kReadyFor = std::chrono::milliseconds(800);

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
  // Calls tell as much as probes do.
  if (!AnsweredWithin(kPingInterval))
    leader_.Probe();
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
                          std::function<void(jobs::LeaderCallResult)> done) {
  const base::Instant begin = base::MonotonicClock::now();
  leader_.Send(call, begin + timeout,
               [this, begin,
                done = std::move(done)](const jobs::LeaderCallResult& result) {
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
