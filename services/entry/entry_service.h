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
  // Number of finished requests whose decisions are kept for
  // GET /v1/requests/{id}.
  std::size_t explained_requests = 4096;
  // Unique to this run of the process; part of the request ids. The upper 32
  // bits identify the run.
  std::uint64_t run = 0;
};

// All referenced objects must outlive the service.
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

// The logic of the entry process without sockets and threads. It is driven by
// HTTP requests and ticks and does all I/O through EntryDependencies.
// Thread-safe.
class EntryService {
 public:
  EntryService(EntryServiceOptions options, EntryDependencies dependencies);
  // All requests must have been answered before destruction.
  ~EntryService() = default;
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  void Handle(net::HttpRequest request, net::HttpResponder responder);
  // Called every 100 ms.
  void Tick() { controllers_.Tick(); }

  // Refuses all further requests with the outcome "not-run".
  void BeginDrain() { blackboard_.draining = true; }
  // Number of requests and of reports of results that are in progress.
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
