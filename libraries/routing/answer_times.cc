#include "routing/answer_times.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wigeonstair::routing {

namespace {

constexpr double kBucketsPerDoubling = 8;
// Decay per evaluation; with one evaluation per 100 ms the samples of about the
// last 5 s count.
constexpr double kDecayFactor = 0.98;
// With fewer samples the 90th percentile depends on fewer than five of them.
constexpr double kMinimumAnswers = 50;
constexpr double kQuantile = 0.90;

std::int64_t UpperBound(std::size_t bucket) {
  return static_cast<std::int64_t>(
      std::ceil(std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling)));
}

}  // namespace

void AnswerTimes::RecordAnswer(base::Duration time) {
  const double microseconds =
      std::max<double>(1, static_cast<double>(time.count()));
  const auto bucket = static_cast<std::size_t>(
      std::ceil(std::log2(microseconds) * kBucketsPerDoubling));
  new_counts_[std::min(bucket, kBuckets - 1)].fetch_add(
      1, std::memory_order_relaxed);
}

void AnswerTimes::Evaluate() {
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    decayed_counts_[bucket] =
        decayed_counts_[bucket] * kDecayFactor +
        new_counts_[bucket].exchange(0, std::memory_order_relaxed);
  }
  const double total =
      std::accumulate(decayed_counts_.begin(), decayed_counts_.end(), 0.0);
  if (total < kMinimumAnswers) {
    percentile_90_.store(0, std::memory_order_relaxed);
    return;
  }
  double covered = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets &&
         (covered += decayed_counts_[bucket]) < kQuantile * total)
    ++bucket;
  percentile_90_.store(UpperBound(bucket), std::memory_order_relaxed);
}

}  // namespace wigeonstair::routing
