#ifndef WIGEONSTAIR_SERVICES_ENTRY_ENTRY_SERVICE_H_
#define WIGEONSTAIR_SERVICES_ENTRY_ENTRY_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "net/http.h"
#include "routing/decision_ring.h"
#include "routing/retry_budget.h"
#include "routing/snapshot_publisher.h"
#include "services/entry/blackboard.h"
#include "services/entry/controllers.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

struct EntryServiceOptions {
  RequestOptions request;
  ControllerOptions controllers;
  routing::RetryBudgetOptions retries;
  // Requests that GET /v1/requests/{id} can explain.
  std::size_t explained_requests = 4096;
  // Differs between process runs of one host.
  std::uint64_t run = 0;
};

// The I/O boundaries. All must outlive the service.
struct EntryDependencies {
  UpstreamClient& upstreams;
  RecordClient& records;
  UpstreamDirectory& directory;
  EntryPeers& peers;
  ClusterFeed& feed;
  Clock& clock;
  Timers& timers;
  base::EventLog& log;
};

// The entry process without its sockets and threads: HTTP requests and ticks
// go in, calls through the boundaries come out. Thread-safe.
class EntryService {
 public:
  EntryService(EntryServiceOptions options, EntryDependencies dependencies);
  // All requests must have been answered.
  ~EntryService() = default;
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  void Handle(net::HttpRequest request, net::HttpResponder responder);
  // Called every 100 ms.
  void Tick() { controllers_.Tick(); }

  // From now on new requests are refused as not run.
  void BeginDrain() { blackboard_.draining = true; }
  // Requests and reports of results in progress.
  int in_progress() const { return blackboard_.in_progress.load(); }

 private:
  void HandleCaller(net::HttpRequest request, net::HttpResponder responder);
  net::HttpResponse Explain(const std::string& id) const;
  net::HttpResponse HandleDiagnosticRequest(const net::HttpRequest& request);
  std::string NextRequestId();

  base::CounterRegistry counters_;
  routing::DecisionRing decisions_;
  routing::RetryBudget retries_;
  Controllers controllers_;
  routing::SnapshotPublisher snapshots_;
  Blackboard blackboard_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_ENTRY_SERVICE_H_
