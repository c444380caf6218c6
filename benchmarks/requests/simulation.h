#ifndef WIGEONSTAIR_BENCHMARKS_REQUESTS_SIMULATION_H_
#define WIGEONSTAIR_BENCHMARKS_REQUESTS_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/random.h"
#include "routing/choose.h"
#include "routing/snapshot_builder.h"

namespace wigeonstair::benchmarks {

// Events on a logical clock, in the order of time and then of insertion.
class EventQueue {
 public:
  using Action = std::function<void()>;

  void At(base::Instant time, Action action);
  // Runs events until none is left or the time is reached.
  void RunUntil(base::Instant end);
  base::Instant now() const { return now_; }

 private:
  struct Event {
    base::Instant time;
    std::uint64_t order = 0;
    Action action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  base::Instant now_{std::chrono::hours(1)};
};

enum class Behaviour { kNormal, kSlow, kFailing };

// Whether an overloaded host queues and sheds as the product does, or in the
// simplest way.
enum class Admission { kQueue, kFirstInFirstOut };

// How long the work of one request takes around its mean.
enum class Spread { kUniform, kExponential };

// Whether a second copy of a slow request goes to another upstream.
enum class Hedging { kOff, kOn };

struct SimulationOptions {
  int upstreams = 40;
  int slots = 8;
  // Requests that an upstream serves at full speed; above it they slow each
  // other down. Equal to `slots` when the declared slots are right.
  int parallel = 8;
  double slow_share = 0.0;
  double failing_share = 0.0;
  // Offered load relative to what all upstreams can serve.
  double load = 0.5;
  base::Duration service_time = std::chrono::milliseconds(20);
  // Uniform from half to one and a half times the mean.
  Spread spread = Spread::kUniform;
  int slow_factor = 10;
  base::Duration deadline = std::chrono::seconds(2);
  base::Duration length = std::chrono::seconds(30);
  // Left out of the result, so that averages and limits have settled.
  base::Duration warm_up = std::chrono::seconds(5);
  routing::SelectionPolicy policy =
      routing::SelectionPolicy::kPowerOfThreeLatency;
  routing::HealthOptions health;
  Admission admission = Admission::kQueue;
  Hedging hedging = Hedging::kOff;
  std::uint64_t seed = 1;
};

struct SimulationResult {
  double p50_milliseconds = 0;
  double p99_milliseconds = 0;
  // Whole answers within the deadline per second.
  double goodput = 0;
  double answered_share = 0;
  // Second copies per request.
  double hedged_share = 0;
  // Of all requests after the warm-up, sorted.
  std::vector<double> times_milliseconds;
};

// One entry host with real routing code, simulated upstreams and callers.
SimulationResult Simulate(const SimulationOptions& options);

}  // namespace wigeonstair::benchmarks

#endif  // WIGEONSTAIR_BENCHMARKS_REQUESTS_SIMULATION_H_
