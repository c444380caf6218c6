#include "jobs/log_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>
#include <numeric>

namespace wigeonstair::jobs {

namespace {

constexpr double kLowest = 10;
constexpr double kHighest = 1e8;
// Weight of the earlier values when one is added.
constexpr float kFade = 1 - 1.0F / 256;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log,
                                    boost::histogram::axis::null_type>;

const Axis& Bins() {
  static const Axis axis(kLogBins, kLowest, kHighest);
  return axis;
}

std::size_t BinOf(double value) {
  // The upper end lies in no bin.
  const double inside =
      std::clamp(value, kLowest, std::nextafter(kHighest, kLowest));
  return std::min(static_cast<std::size_t>(Bins().index(inside)), kLogBins - 1);
}

// The number of bins, with a fraction, between `kLowest` and the value.
double PositionOf(double value) {
  return std::log(value / kLowest) / std::log(kHighest / kLowest) * kLogBins;
}

void Normalize(LogDensity& density) {
  const float sum = std::accumulate(density.begin(), density.end(), 0.0F);
  for (float& share : density)
    share = sum > 0 ? share / sum : 1.0F / kLogBins;
}

}  // namespace

void LogHistogram::Fade() {
  for (float& weight : weights_)
    weight *= kFade;
}

void LogHistogram::Add(double value) {
  Fade();
  weights_[BinOf(value)] += 1;
}

void LogHistogram::AddAtLeast(double bound) {
  Fade();
  const std::size_t bin = BinOf(bound);
  const auto above = weights_.begin() + static_cast<std::ptrdiff_t>(bin) + 1;
  const float mass = std::accumulate(above, weights_.end(), 0.0F);
  // Values that have nearly faded away are no evidence.
  constexpr float kLeastMass = 0.01F;
  if (mass < kLeastMass) {
    weights_[bin] += 1;
    return;
  }
  std::for_each(above, weights_.end(),
                [&](float& weight) { weight *= 1 + 1 / mass; });
}

double LogHistogram::weight() const {
  return std::accumulate(weights_.begin(), weights_.end(), 0.0);
}

LogDensity LogHistogram::Density(const LogDensity& prior,
                                 double prior_weight) const {
  constexpr std::array<float, 5> kKernel = {1.0F / 9, 2.0F / 9, 3.0F / 9,
                                            2.0F / 9, 1.0F / 9};
  LogDensity density{};
  for (std::size_t bin = 0; bin < kLogBins; ++bin) {
    density[bin] += prior[bin] * static_cast<float>(prior_weight);
    if (weights_[bin] == 0)
      continue;
    for (std::size_t k = 0; k < kKernel.size(); ++k) {
      const std::size_t shifted = std::clamp<std::size_t>(
          bin + k, kKernel.size() / 2, kLogBins - 1 + kKernel.size() / 2);
      density[shifted - kKernel.size() / 2] += weights_[bin] * kKernel[k];
    }
  }
  Normalize(density);
  return density;
}

LogDensity UniformDensity() {
  LogDensity density{};
  density.fill(1.0F / kLogBins);
  return density;
}

LogDensity DensityAround(double center, double scale) {
  LogDensity density{};
  for (std::size_t bin = 0; bin < kLogBins; ++bin) {
    const double middle = Bins().value(static_cast<double>(bin) + 0.5);
    density[bin] = static_cast<float>(
        std::exp(-std::abs(std::log(middle / center)) / scale));
  }
  Normalize(density);
  return density;
}

LogDensity Product(const LogDensity& value,
                   const LogDensity& ratio,
                   double scale,
                   double unit) {
  // On a log scale a factor is a shift; by a fraction of a bin, it divides a
  // bin between two.
  const double shift = PositionOf(unit) - PositionOf(scale);
  const double whole = std::floor(shift);
  const auto fraction = static_cast<float>(shift - whole);
  const auto at = [&](double position) {
    return position < 0 || position >= kLogBins
               ? 0.0F
               : ratio[static_cast<std::size_t>(position)];
  };
  LogDensity product{};
  for (std::size_t bin = 0; bin < kLogBins; ++bin) {
    const double position = static_cast<double>(bin) + whole;
    product[bin] = value[bin] * ((1 - fraction) * at(position) +
                                 fraction * at(position + 1));
  }
  Normalize(product);
  return product;
}

double Quantile(const LogDensity& density, double share) {
  double below = 0;
  for (std::size_t bin = 0; bin < kLogBins; ++bin) {
    const double here = density[bin];
    if (here > 0 && below + here >= share) {
      return Bins().value(static_cast<double>(bin) + (share - below) / here);
    }
    below += here;
  }
  return kHighest;
}

}  // namespace wigeonstair::jobs
