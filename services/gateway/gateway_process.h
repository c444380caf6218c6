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
  // Message addresses of schedulers to begin with.
  std::vector<std::string> seeds;
  std::string cluster;
  std::shared_ptr<base::EventLog> log;
  // Outlives the gateway.
  base::CounterRegistry* counters = nullptr;
};

// Passes the calls of callers on to the scheduler that leads, and knows whether
// it can. Keeps no state of jobs, so that every answer is the leader's.
// Thread-safe.
class GatewayProcess {
 public:
  explicit GatewayProcess(GatewayOptions options);

  // `done` runs once, on a loop thread.
  void Call(const jobs::Call& call,
            base::Duration timeout,
            std::function<void(jobs::LeaderCallResult)> done);
  // Whether a leader answered a moment ago.
  bool ready() const;
  void AddSeeds(const std::vector<std::string>& seeds);
  // Reports not ready from now on.
  void BeginDrain() { draining_ = true; }

 private:
  void Ping();
  void NoteReach();
  bool AnsweredWithin(base::Duration span) const;

  const GatewayOptions options_;
  net::EventLoop loop_;
  net::PeerChannels channels_;
  jobs::LeaderClient leader_;
  base::LatencyHistogram& call_time_;
  std::atomic<bool> draining_{false};
  bool reached_ = false;
};

}  // namespace wigeonstair::gateway

#endif  // WIGEONSTAIR_SERVICES_GATEWAY_GATEWAY_PROCESS_H_
