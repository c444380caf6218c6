#include "report/plot.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonstair::report {

namespace {

bool IsUsable(double value, Scale scale) {
  return std::isfinite(value) && (scale == Scale::kLinear || value > 0);
}

std::vector<double> Positions(const Samples& samples, Scale scale) {
  std::vector<double> positions;
  for (const double value : samples.values) {
    if (IsUsable(value, scale)) {
      positions.push_back(scale == Scale::kLinear ? value : std::log10(value));
    }
  }
  return positions;
}

}  // namespace

Plot MakeHistogram(std::string title,
                   Axis axis,
                   const std::vector<Samples>& samples,
                   int bins) {
  const Scale scale = axis.scale;
  Plot plot{.kind = PlotKind::kHistogram,
            .title = std::move(title),
            .x = std::move(axis),
            .y = {.label = "share of samples", .unit = "%"}};
  std::vector<double> all;
  for (const Samples& each : samples) {
    const auto positions = Positions(each, scale);
    all.insert(all.end(), positions.begin(), positions.end());
  }
  if (all.empty() || bins < 1)
    return plot;
  const auto [low, high] = std::minmax_element(all.begin(), all.end());
  const double first = *low;
  const double width = *high > first ? (*high - first) / bins : 1.0 / bins;
  for (const Samples& each : samples) {
    const auto positions = Positions(each, scale);
    std::vector<double> counts(static_cast<std::size_t>(bins), 0);
    for (const double position : positions) {
      const auto bin = static_cast<std::size_t>((position - first) / width);
      counts[std::min(bin, counts.size() - 1)] += 1;
    }
    Series series{.name = each.name, .points = {}};
    for (int i = 0; i <= bins; ++i) {
      const double edge = first + width * i;
      const double count = i < bins ? counts[static_cast<std::size_t>(i)] : 0;
      series.points.push_back(
          {.x = scale == Scale::kLinear ? edge : std::pow(10.0, edge),
           .y = positions.empty()
                    ? 0
                    : 100 * count / static_cast<double>(positions.size())});
    }
    plot.series.push_back(std::move(series));
  }
  return plot;
}

}  // namespace wigeonstair::report
