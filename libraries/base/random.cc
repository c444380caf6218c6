#include "base/random.h"

#include <cmath>

namespace wigeonstair::base {

std::uint64_t Random::Next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  if (bound == 0)
    return 0;
  // The bias of the modulo is below bound / 2^64, far under what any caller
  // can observe.
  return Next() % bound;
}

double Random::Fraction() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * kScale;
}

double Random::Exponential(double mean) {
  return -mean * std::log1p(-Fraction());
}

}  // namespace wigeonstair::base
