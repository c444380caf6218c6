#ifndef WIGEONSTAIR_LIBRARIES_JOBS_LOG_HISTOGRAM_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_LOG_HISTOGRAM_H_

#include <array>
#include <cstddef>

namespace wigeonstair::jobs {

// Bins of equal width on a log scale, for values from 10 to 10^8. A bin is 9%
// wide. Values outside count in the nearest bin.
inline constexpr std::size_t kLogBins = 192;
// The probability of each bin; the sum is 1.
using LogDensity = std::array<float, kLogBins>;

// Faded distribution of positive values.
class LogHistogram {
 public:
  // Fades the earlier values and adds one.
  void Add(double value);
  // Adds a value of which only a lower bound is known: its weight is divided
  // among the larger values in proportion, or added at the bound when there
  // are none.
  void AddAtLeast(double bound);

  // The effective number of values, at most 256.
  double weight() const;
  // The density of the values and of `prior`, which counts as `prior_weight`
  // values. Smoothed, since few values leave gaps.
  LogDensity Density(const LogDensity& prior, double prior_weight) const;

  bool operator==(const LogHistogram&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(weights_);
  }

 private:
  void Fade();

  std::array<float, kLogBins> weights_{};
};

// Knows nothing about the values.
LogDensity UniformDensity();
// Values around `center`; exp(`scale`) is a typical factor between them.
LogDensity DensityAround(double center, double scale);
// The density of a value, given that it is `scale` / `unit` times a number with
// density `ratio`, both being independent.
LogDensity Product(const LogDensity& value,
                   const LogDensity& ratio,
                   double scale,
                   double unit);
// The value that is exceeded with probability 1 - `share`.
double Quantile(const LogDensity& density, double share);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_LOG_HISTOGRAM_H_
