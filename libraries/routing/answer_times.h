#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_ANSWER_TIMES_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_ANSWER_TIMES_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "base/monotonic_clock.h"

namespace wigeonstair::routing {

// Histogram of the recent answer times of one service, with exponential decay
// of older samples. Any thread may call RecordAnswer and percentile_90, which
// are lock-free; only one thread may call Evaluate.
class AnswerTimes {
 public:
  void RecordAnswer(base::Duration time);

  // Adds the answers since the last call to the histogram and updates the
  // percentile. Called about every 100 ms.
  void Evaluate();

  // An upper bound of the 90th percentile of the recent answer times, at most
  // 9% (one bucket) above it. Zero while there are too few samples.
  base::Duration percentile_90() const {
    return base::Duration(percentile_90_.load(std::memory_order_relaxed));
  }

 private:
  // Logarithmic buckets, eight for each doubling, from 1 µs to over an hour.
  static constexpr std::size_t kBuckets = 256;

  std::array<std::atomic<std::uint32_t>, kBuckets> new_counts_{};
  std::atomic<std::int64_t> percentile_90_{0};
  // Used by Evaluate() only.
  std::array<double, kBuckets> decayed_counts_{};
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_ANSWER_TIMES_H_
