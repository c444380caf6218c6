#ifndef WIGEONSTAIR_LIBRARIES_LOAD_LATENCY_SUMMARY_H_
#define WIGEONSTAIR_LIBRARIES_LOAD_LATENCY_SUMMARY_H_

#include <cstdint>
#include <vector>

#include "base/monotonic_clock.h"

namespace wigeonstair::load {

// Latencies of one run, kept one by one so that quantiles are exact.
class LatencySummary {
 public:
  // Negative latencies count as zero, those above an hour as an hour.
  void Add(base::Duration latency);
  void Merge(const LatencySummary& other);

  std::size_t count() const { return microseconds_.size(); }
  // The smallest latency that at least `fraction` of all do not exceed; zero
  // when there is none.
  base::Duration Quantile(double fraction) const;
  base::Duration Mean() const;

 private:
  mutable std::vector<std::uint32_t> microseconds_;
  mutable bool sorted_ = true;
};

}  // namespace wigeonstair::load

#endif  // WIGEONSTAIR_LIBRARIES_LOAD_LATENCY_SUMMARY_H_
