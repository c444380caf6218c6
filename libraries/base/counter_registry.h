#ifndef WIGEONSTAIR_LIBRARIES_BASE_COUNTER_REGISTRY_H_
#define WIGEONSTAIR_LIBRARIES_BASE_COUNTER_REGISTRY_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/monotonic_clock.h"

namespace wigeonstair::base {

// A value that only rises.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A value that rises and falls.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Latencies in buckets whose bounds grow by a quarter of a power of two, so a
// quantile read from it is at most 19% too high. Range 1 us to about 18 min.
class LatencyHistogram {
 public:
  static constexpr int kBuckets = 122;

  void Record(Duration latency);

  std::uint64_t count() const;
  // The upper bound of the bucket that holds the quantile (0 to 1); zero when
  // nothing was recorded.
  Duration Quantile(double quantile) const;

  static Duration BucketUpperBound(int bucket);

 private:
  friend class CounterRegistry;
  std::array<std::atomic<std::uint64_t>, kBuckets> buckets_{};
  std::atomic<std::uint64_t> sum_microseconds_{0};
};

// Owns the counters of one process and renders them in the Prometheus text
// format. A name may carry labels: wigeonstair_requests_total{outcome="ok"}.
// References stay valid as long as the registry. Thread-safe.
class CounterRegistry {
 public:
  Counter& counter(const std::string& name);
  Gauge& gauge(const std::string& name);
  LatencyHistogram& histogram(const std::string& name);

  std::string Render() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<Gauge>> gauges_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms_;
};

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_COUNTER_REGISTRY_H_
