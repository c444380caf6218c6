#ifndef WIGEONSTAIR_LIBRARIES_BASE_RANDOM_H_
#define WIGEONSTAIR_LIBRARIES_BASE_RANDOM_H_

#include <cstdint>

namespace wigeonstair::base {

// A small seeded generator (SplitMix64) whose sequence is the same on every
// platform, which the distributions of <random> do not promise.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next();

  // A value in [0, bound). Returns 0 when bound is 0.
  std::uint64_t Below(std::uint64_t bound);

  // A value in [0, 1).
  double Fraction();

  // An exponentially distributed value with the given mean.
  double Exponential(double mean);

 private:
  std::uint64_t state_;
};

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_RANDOM_H_
