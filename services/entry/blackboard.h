#ifndef WIGEONSTAIR_SERVICES_ENTRY_BLACKBOARD_H_
#define WIGEONSTAIR_SERVICES_ENTRY_BLACKBOARD_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/strong_id.h"
#include "records/claim_session.h"
#include "routing/decision_ring.h"
#include "routing/hedging.h"
#include "routing/retry_budget.h"
#include "routing/snapshot_publisher.h"
#include "services/entry/answer_check.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

// Faults that tests inject to verify that a check detects them. Test use only.
struct InjectedFaults {
  AnswerFault answer = AnswerFault::kNone;
  records::ClaimFault claim = records::ClaimFault::kNone;
  // Reports "not-run" for requests whose answer was lost.
  bool report_lost_as_not_run = false;
  // Accepts new requests while draining.
  bool accept_while_draining = false;
  // Retries even if the retry budget is exhausted.
  bool ignore_retry_budget = false;
  // Sends the caller's original deadline with each send instead of the time
  // left.
  bool send_full_deadline = false;
  // Lets a customer exceed its limit on requests in progress.
  bool ignore_customer_limit = false;
  // Does not decrement the customer's count when a request ends.
  bool leak_customer_count = false;
  routing::HedgeFault hedge = routing::HedgeFault::kNone;
};

struct RequestOptions {
  base::HostId host;
  base::DomainId domain;
  // "http" or "https", for calls to entry hosts of other domains.
  std::string peer_scheme = "http";
  base::Duration claim_validity = std::chrono::seconds(5);
  // Maximum sends per request, including the first.
  int maximum_sends = 3;
  // Minimum delay before the second copy is sent; zero disables hedging.
  base::Duration hedge_floor = routing::HedgeOptions{}.minimum_delay;
  // Limit on requests in progress per customer until the cluster state is
  // known.
  std::int32_t default_customer_limit = 256;
  InjectedFaults faults;
};

// Metrics of the request path, looked up once because each lookup in the
// registry takes a lock.
struct RequestMetrics {
  explicit RequestMetrics(base::CounterRegistry& registry)
      : answered(Counter(registry, "answered")),
        not_run(Counter(registry, "not-run")),
        unknown(Counter(registry, "unknown")),
        retried(registry.counter("wigeonstair_retries_total")),
        hedges_sent(registry.counter("wigeonstair_hedges_total")),
        hedges_won(registry.counter("wigeonstair_hedges_won_total")),
        duration(registry.histogram("wigeonstair_request_seconds")) {}

  static base::Counter& Counter(base::CounterRegistry& registry,
                                const std::string& outcome) {
    return registry.counter("wigeonstair_requests_total{outcome=\"" + outcome +
                            "\"}");
  }

  base::Counter& answered;
  base::Counter& not_run;
  base::Counter& unknown;
  base::Counter& retried;
  base::Counter& hedges_sent;
  base::Counter& hedges_won;
  base::LatencyHistogram& duration;
};

// State shared by the controllers and the requests of one entry process.
struct Blackboard {
  RequestOptions options;
  UpstreamClient& upstreams;
  RecordClient& records;
  Clock& clock;
  Timers& timers;
  base::EventLog& log;
  base::CounterRegistry& counters;
  RequestMetrics metrics{counters};
  routing::SnapshotPublisher& snapshots;
  routing::DecisionRing& decisions;
  routing::RetryBudget& retries;
  routing::HedgePolicy hedges{
      {.minimum_delay = options.hedge_floor, .fault = options.faults.hedge}};
  std::atomic<bool> draining{false};
  // Requests, second copies and record reports in progress; a drain waits for
  // them.
  std::atomic<int> in_progress{0};
  // Makes request ids, claim attempts and random seeds unique within this run
  // of the process.
  std::atomic<std::uint64_t> sequence{0};
  // Makes these values unique across runs of the process.
  std::uint64_t run = 0;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_BLACKBOARD_H_
