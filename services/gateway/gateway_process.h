#ifndef WIGEONSTAIR_SERVICES_GATEWAY_GATEWAY_PROCESS_H_
#define WIGEONSTAIR_SERVICES_GATEWAY_GATEWAY_PROCESS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "jobs/leader_client.h"
#include "net/event_loop.h"
#include "net/peer_channels.h"

namespace wigeonstair::gateway {

struct GatewayOptions {
  // Message addresses of the schedulers to contact first.
  std::vector<std::string> seeds;
  std::string cluster;
  std::shared_ptr<base::EventLog> log;
  // Must outlive the gateway.
  base::CounterRegistry* counters = nullptr;
};

// Forwards calls to the leading scheduler and tracks whether the leader is
// reachable. Keeps no job state, so every answer comes from the leader.
// Thread-safe.
class GatewayProcess {
 public:
  explicit GatewayProcess(GatewayOptions options);

  // `done` runs exactly once, on an event-loop thread.
  void Call(const jobs::Call& call,
            base::Duration timeout,
            std::function<void(jobs::LeaderCallResult)> done);
  // Whether the leader answered recently and the gateway is not draining.
  bool ready() const;
  void AddSeeds(const std::vector<std::string>& seeds);
  // Makes ready() return false from now on.
  void BeginDrain() { draining_ = true; }

 private:
  void Ping();
  void UpdateReachability();
  bool AnsweredWithin(base::Duration span) const;

  const GatewayOptions options_;
  net::EventLoop loop_;
  net::PeerChannels channels_;
  jobs::LeaderClient leader_;
  base::LatencyHistogram& call_latency_;
  std::atomic<bool> draining_{false};
  bool was_reachable_ = false;
};

}  // namespace wigeonstair::gateway

#endif  // WIGEONSTAIR_SERVICES_GATEWAY_GATEWAY_PROCESS_H_
