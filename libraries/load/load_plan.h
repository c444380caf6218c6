#ifndef WIGEONSTAIR_LIBRARIES_LOAD_LOAD_PLAN_H_
#define WIGEONSTAIR_LIBRARIES_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "net/http.h"
#include "net/http_client.h"

namespace wigeonstair::load {

enum class Destination : std::uint8_t {
  // Through entry processes, which route to upstreams.
  kEntry,
  // To stand-in upstreams, without the system in between.
  kUpstream,
};

struct LoadOptions {
  Destination destination = Destination::kEntry;
  // "ip:port"; requests go to them in turn.
  std::vector<std::string> servers;
  std::string scheme = "http";
  std::string trusted_certificates;
  std::string service = "booking";
  std::vector<std::string> customers = {"default"};
  // Requests per second, sent at fixed times whether answers come or not.
  double rate = 100;
  std::int64_t count = 1000;
  // Requests beyond this time are not sent any more.
  base::Duration duration = std::chrono::hours(1);
  // Percent of requests that must not run twice.
  int non_idempotent_percent = 50;
  base::Duration deadline = std::chrono::seconds(2);
  // A request without an answer is sent again this often, through the next
  // server and with the same key.
  int resends = 2;
  base::Duration resend_delay = std::chrono::milliseconds(200);
  int maximum_in_flight = 2000;
  std::size_t body_bytes = 64;
  std::uint64_t seed = 1;
};

// One request of the load. All its attempts share the token, key and time.
struct PlannedRequest {
  std::int64_t number = 0;
  bool idempotent = true;
  // Unique in the run; the upstream's answer must repeat it.
  std::string token;
  std::string customer;
  std::chrono::milliseconds issued{0};
  // When it was to be sent; latencies count from then, so that a stalled
  // system cannot hide the requests that waited behind the stall.
  base::Instant intended{};
};

// Requests with equal options and number are equal, but for the times.
PlannedRequest Plan(const LoadOptions& options,
                    std::int64_t number,
                    base::Instant start,
                    std::chrono::milliseconds issued);

// The call of an attempt; attempts go to the servers in turn.
net::HttpCall BuildCall(const LoadOptions& options,
                        const PlannedRequest& request,
                        int attempt);

enum class AttemptResult : std::uint8_t {
  kAnswered,
  // The answer belongs to another request. Must never happen.
  kCrossed,
  kNotRun,
  kUnknown,
  // No complete answer of the server.
  kLost,
};

AttemptResult Classify(const LoadOptions& options,
                       const PlannedRequest& request,
                       const net::HttpOutcome& outcome);

}  // namespace wigeonstair::load

#endif  // WIGEONSTAIR_LIBRARIES_LOAD_LOAD_PLAN_H_
