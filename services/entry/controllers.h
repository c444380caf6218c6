#ifndef WIGEONSTAIR_SERVICES_ENTRY_CONTROLLERS_H_
#define WIGEONSTAIR_SERVICES_ENTRY_CONTROLLERS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "net/http.h"
#include "routing/slot_share.h"
#include "routing/snapshot_builder.h"
#include "routing/upstream.h"
#include "services/entry/blackboard.h"
#include "services/entry/interfaces.h"
#include "services/entry/upstream_api.h"

namespace wigeonstair::entry {

struct ControllerOptions {
  base::HostId host;
  base::DomainId domain;
  // Zero if this is the only entry host of its domain, which need not share the
  // slots of its upstreams.
  base::Duration settle_time = std::chrono::seconds(4);
  // See routing::SlotShareOptions.
  std::size_t domain_hosts = 0;
  routing::HealthOptions health;
  routing::ServiceGateOptions gate;
};

// Builds the routing snapshots of an entry process from its upstreams, members
// and cluster state. Thread-safe; not on the path of a caller's request.
class Controllers {
 public:
  Controllers(ControllerOptions options,
              UpstreamDirectory& directory,
              EntryPeers& peers,
              ClusterFeed& feed);

  // Builds the snapshot that is published at startup.
  std::unique_ptr<const routing::Snapshot> InitialSnapshot(base::Instant now);
  // Must be called before the other methods.
  void Attach(Blackboard& blackboard) { blackboard_ = &blackboard; }

  // Runs every 100 ms: detects missed heartbeats, evaluates health and limits,
  // publishes a snapshot and dispatches queued requests.
  void Tick();

  // Handles announce, heartbeat and leave calls. A snapshot with an announce or
  // leave is published before this returns.
  net::HttpResponse HandleUpstream(const net::HttpRequest& request);

  // Returns the JSON body for GET /v1/status.
  std::string StatusJson();

 private:
  net::HttpResponse Handle(const AnnounceCall& call, base::Instant now);
  net::HttpResponse Handle(const HeartbeatCall& call, base::Instant now);
  net::HttpResponse Handle(const LeaveCall& call, base::Instant now);
  std::unique_ptr<const routing::Snapshot> Build(base::Instant now);
  void LogChanges(const std::vector<routing::KnownUpstream>& upstreams);
  void Publish(base::Instant now);
  void PumpGates();

  ControllerOptions options_;
  UpstreamDirectory& directory_;
  EntryPeers& peers_;
  ClusterFeed& feed_;
  Blackboard* blackboard_ = nullptr;
  std::mutex mutex_;
  routing::SlotShare share_;
  routing::SnapshotBuilder builder_;
  std::map<base::UpstreamId, routing::UpstreamState> logged_states_;
  bool share_settled_ = false;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_CONTROLLERS_H_
