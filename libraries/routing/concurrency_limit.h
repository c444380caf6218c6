#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_CONCURRENCY_LIMIT_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_CONCURRENCY_LIMIT_H_

#include <atomic>
#include <cstdint>

#include "base/monotonic_clock.h"

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class LimitFault : std::uint8_t {
  kNone,
  kIgnoreLimit,  // Every request is admitted.
  kNeverShrink,  // Slow answers do not lower the limit.
  kNeverGrow,    // A lowered limit stays low.
  // The unloaded answer time adapts also to answers delayed by queueing.
  kLearnBaselineUnderLoad,
};

struct ConcurrencyLimitOptions {
  int minimum = 8;
  int initial = 256;
  int maximum = 4096;
  // The limit decreases when answers take more than this many times the
  // unloaded answer time.
  double tolerance = 2.0;
  // Fraction by which the unloaded answer time moves towards slower answers per
  // evaluation, so that it adapts when the work itself becomes slower.
  double baseline_smoothing = 0.01;
  LimitFault fault = LimitFault::kNone;
};

// Adaptive (gradient) limit on the requests that this host has in progress, so
// that upstreams serve them without queueing: the limit is multiplied by the
// ratio of the tolerated to the present answer time when answers are slower
// than tolerated; otherwise, if it is in use, it grows by its square root. Any
// thread may call TryEnter, Leave, RecordAnswer and RecordOverload, which are
// lock-free; only one thread may call Evaluate.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

  // Admits one request; false when the limit is reached. Each admitted request
  // calls Leave() once.
  bool TryEnter();
  void Leave() { in_progress_.fetch_sub(1, std::memory_order_acq_rel); }
  void RecordAnswer(base::Duration latency);
  // Records a request that timed out or that a full upstream refused.
  void RecordOverload() { overloads_.fetch_add(1, std::memory_order_relaxed); }

  // Recomputes the limit. Called about every 100 ms.
  void Evaluate();

  int limit() const { return limit_.load(std::memory_order_relaxed); }
  int in_progress() const {
    return in_progress_.load(std::memory_order_relaxed);
  }

 private:
  // Fraction by which the unloaded answer time moves towards slower answers in
  // this evaluation. `peak` is the highest number of requests in progress since
  // the last one.
  double BaselineSmoothing(int peak) const;

  ConcurrencyLimitOptions options_;
  std::atomic<int> limit_;
  std::atomic<int> in_progress_{0};
  std::atomic<int> peak_in_progress_{0};
  std::atomic<std::int64_t> latency_sum_{0};
  std::atomic<std::int64_t> answers_{0};
  std::atomic<std::int64_t> overloads_{0};
  // The unloaded answer time in microseconds. Used by Evaluate() only.
  double baseline_ = 0;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_CONCURRENCY_LIMIT_H_
