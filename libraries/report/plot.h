#ifndef WIGEONSTAIR_LIBRARIES_REPORT_PLOT_H_
#define WIGEONSTAIR_LIBRARIES_REPORT_PLOT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonstair::report {

enum class PlotKind : std::uint8_t { kLines, kBars, kHistogram };
enum class Scale : std::uint8_t { kLinear, kLogarithmic };

struct Axis {
  std::string label;
  // Empty for a plain number.
  std::string unit;
  Scale scale = Scale::kLinear;

  bool operator==(const Axis&) const = default;
};

struct Point {
  double x = 0;
  double y = 0;

  bool operator==(const Point&) const = default;
};

struct Series {
  std::string name;
  // Lines: joined in this order. Bars: x is the index of a category.
  // Histogram: x is the lower edge of a bin, and the last point the upper edge
  // of the last bin.
  std::vector<Point> points;

  bool operator==(const Series&) const = default;
};

struct Plot {
  PlotKind kind = PlotKind::kLines;
  std::string title;
  Axis x;
  Axis y;
  // Of a bar plot.
  std::vector<std::string> categories;
  std::vector<Series> series;

  bool operator==(const Plot&) const = default;
};

struct Samples {
  std::string name;
  std::vector<double> values;
};

// The shares of samples in bins that all series have in common. Samples that
// are not finite, and on a logarithmic axis those not above zero, are left out.
Plot MakeHistogram(std::string title,
                   Axis axis,
                   const std::vector<Samples>& samples,
                   int bins = 40);

}  // namespace wigeonstair::report

#endif  // WIGEONSTAIR_LIBRARIES_REPORT_PLOT_H_
