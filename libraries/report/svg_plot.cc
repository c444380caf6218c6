#include "report/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <vector>

#include "report/escape.h"

namespace wigeonstair::report {

namespace {

// In units of the SVG's view box, which are pixels at its natural size.
constexpr double kWidth = 720;
constexpr double kLeft = 70;
constexpr double kRight = 700;
constexpr double kTop = 36;
constexpr double kBottom = 300;
constexpr double kLegendTop = 362;
constexpr double kLegendRow = 18;
constexpr int kWantedTicks = 6;

// Told apart also by people who do not see red and green (Okabe and Ito).
constexpr std::array<const char*, 7> kColours = {
    "#0072b2", "#d55e00", "#009e73", "#cc79a7",
    "#e69f00", "#56b4e9", "#000000"};

const char* ColourOf(std::size_t series) {
  return kColours[series % kColours.size()];
}

std::string Number(double value, const char* format = "%.4g") {
  char text[40];
  std::snprintf(text, sizeof(text), format, value);
  return text;
}

std::string Coordinate(double value) {
  return Number(value, "%.1f");
}

std::string Text(double x,
                 double y,
                 const std::string& attributes,
                 const std::string& text) {
  return "<text x=\"" + Coordinate(x) + "\" y=\"" + Coordinate(y) + "\" " +
         attributes + ">" + Escape(text) + "</text>\n";
}

std::string Line(double x1, double y1, double x2, double y2, const char* kind) {
  return "<line class=\"" + std::string(kind) + "\" x1=\"" + Coordinate(x1) +
         "\" y1=\"" + Coordinate(y1) + "\" x2=\"" + Coordinate(x2) +
         "\" y2=\"" + Coordinate(y2) + "\"/>\n";
}

std::string LabelOf(const Axis& axis) {
  return axis.unit.empty() ? axis.label : axis.label + ", " + axis.unit;
}

// Maps values to coordinates.
class Range {
 public:
  Range(Scale scale, double from, double to)
      : scale_(scale), from_(from), to_(to) {}

  void Add(double value) {
    low_ = std::min(low_, value);
    high_ = std::max(high_, value);
  }

  // Widens the range to whole ticks.
  void Settle() {
    if (scale_ == Scale::kLogarithmic) {
      first_ = std::floor(std::log10(low_));
      last_ = std::max(first_ + 1, std::ceil(std::log10(high_)));
      step_ = 1;
      return;
    }
    if (low_ == high_) {
      const double margin = low_ == 0 ? 1 : std::abs(low_) / 2;
      low_ -= margin;
      high_ += margin;
    }
    // Halved terms, because the difference of two large values may overflow.
    const double rough = high_ / kWantedTicks - low_ / kWantedTicks;
    const double power = std::pow(10.0, std::floor(std::log10(rough)));
    step_ = 10 * power;
    for (const double factor : {5.0, 2.0, 1.0}) {
      if (factor * power >= rough)
        step_ = factor * power;
    }
    first_ = std::floor(low_ / step_) * step_;
    last_ = std::ceil(high_ / step_) * step_;
  }

  double At(double value) const {
    const double position =
        scale_ == Scale::kLogarithmic ? std::log10(value) : value;
    return from_ + (to_ - from_) * ((position - first_) / (last_ - first_));
  }

  std::vector<double> Ticks() const {
    std::vector<double> ticks;
    const int count = static_cast<int>(std::lround((last_ - first_) / step_));
    for (int i = 0; i <= count; ++i) {
      const double position = first_ + step_ * i;
      ticks.push_back(scale_ == Scale::kLogarithmic ? std::pow(10.0, position)
                                                    : position);
    }
    return ticks;
  }

 private:
  Scale scale_;
  double from_;
  double to_;
  double low_ = std::numeric_limits<double>::infinity();
  double high_ = -std::numeric_limits<double>::infinity();
  double first_ = 0;
  double last_ = 1;
  double step_ = 1;
};

bool IsDrawable(double value, Scale scale) {
  // Sums of two larger values overflow.
  constexpr double kLimit = 1e300;
  return std::isfinite(value) && std::abs(value) < kLimit &&
         (scale == Scale::kLinear || value > 0);
}

class Renderer {
 public:
  explicit Renderer(const Plot& plot)
      : plot_(plot),
        x_(plot.x.scale, kLeft, kRight),
        y_(plot.y.scale, kBottom, kTop) {
    for (const Series& series : plot.series) {
      for (const Point& point : series.points) {
        if (!IsDrawn(point)) {
          ++left_out_;
          continue;
        }
        ++drawn_;
        x_.Add(point.x);
        y_.Add(point.y);
      }
    }
    // Bars and histograms are compared by their length.
    if (plot.y.scale == Scale::kLinear)
      y_.Add(0);
    if (plot.kind == PlotKind::kBars && drawn_ > 0) {
      x_.Add(-0.5);
      x_.Add(static_cast<double>(plot.categories.size()) - 0.5);
    }
  }

  std::string Render() {
    const double height =
        kLegendTop + kLegendRow * static_cast<double>(plot_.series.size() + 1);
    std::string svg = "<svg viewBox=\"0 0 " + Coordinate(kWidth) + " " +
                      Coordinate(height) + "\" role=\"img\" aria-label=\"" +
                      Escape(plot_.title) + "\">\n" +
                      Text(kLeft, 20, "class=\"title\"", plot_.title);
    if (drawn_ == 0) {
      svg += Text(kLeft, (kTop + kBottom) / 2, "", "no data");
    } else {
      x_.Settle();
      y_.Settle();
      svg += Axes();
      for (std::size_t i = 0; i < plot_.series.size(); ++i)
        svg += SeriesOf(i);
    }
    svg += Legend();
    return svg + "</svg>\n";
  }

 private:
  bool IsDrawn(const Point& point) const {
    if (plot_.kind == PlotKind::kBars &&
        !(point.x >= 0 &&
          point.x < static_cast<double>(plot_.categories.size()))) {
      return false;
    }
    // The empty bins of a histogram have no logarithm.
    return IsDrawable(point.x, plot_.x.scale) &&
           IsDrawable(point.y, plot_.y.scale);
  }

  std::string Axes() const {
    std::string svg;
    for (const double tick : y_.Ticks()) {
      svg += Line(kLeft, y_.At(tick), kRight, y_.At(tick), "grid");
      svg +=
          Text(kLeft - 6, y_.At(tick) + 4, "text-anchor=\"end\"", Number(tick));
    }
    svg += plot_.kind == PlotKind::kBars ? CategoryLabels() : XTicks();
    svg += Line(kLeft, kBottom, kRight, kBottom, "axis");
    svg += Line(kLeft, kTop, kLeft, kBottom, "axis");
    svg += Text((kLeft + kRight) / 2, kBottom + 38, "text-anchor=\"middle\"",
                LabelOf(plot_.x));
    return svg + Text(0, 0,
                      "text-anchor=\"middle\" transform=\"translate(14," +
                          Coordinate((kTop + kBottom) / 2) + ") rotate(-90)\"",
                      LabelOf(plot_.y));
  }

  std::string XTicks() const {
    std::string svg;
    for (const double tick : x_.Ticks()) {
      svg += Line(x_.At(tick), kBottom, x_.At(tick), kBottom + 4, "axis");
      svg += Text(x_.At(tick), kBottom + 18, "text-anchor=\"middle\"",
                  Number(tick));
    }
    return svg;
  }

  std::string CategoryLabels() const {
    std::string svg;
    for (std::size_t i = 0; i < plot_.categories.size(); ++i) {
      svg += Text(x_.At(static_cast<double>(i)), kBottom + 18,
                  "text-anchor=\"middle\"", plot_.categories[i]);
    }
    return svg;
  }

  std::string SeriesOf(std::size_t index) const {
    switch (plot_.kind) {
      case PlotKind::kLines:
        return Lines(index);
      case PlotKind::kBars:
        return Bars(index);
      case PlotKind::kHistogram:
        return Steps(index);
    }
    return {};
  }

  std::string Polyline(std::size_t index, const std::string& points) const {
    return "<polyline class=\"series\" stroke=\"" +
           std::string(ColourOf(index)) + "\" points=\"" + points + "\"/>\n";
  }

  // A point that is not drawn interrupts the line.
  std::string Lines(std::size_t index) const {
    std::string svg;
    std::string points;
    for (const Point& point : plot_.series[index].points) {
      if (!IsDrawn(point)) {
        svg += points.empty() ? "" : Polyline(index, points);
        points.clear();
        continue;
      }
      const std::string x = Coordinate(x_.At(point.x));
      const std::string y = Coordinate(y_.At(point.y));
      if (!points.empty())
        points += ' ';
      points.append(x).append(",").append(y);
      svg.append("<circle cx=\"").append(x).append("\" cy=\"").append(y);
      svg.append("\" r=\"2.5\" fill=\"").append(ColourOf(index));
      svg.append("\"/>\n");
    }
    return svg + (points.empty() ? "" : Polyline(index, points));
  }

  std::string Bars(std::size_t index) const {
    const double group = x_.At(1) - x_.At(0);
    const double width = 0.8 * group / static_cast<double>(plot_.series.size());
    // Below every drawn value on a logarithmic axis.
    const double base = plot_.y.scale == Scale::kLinear ? y_.At(0) : kBottom;
    std::string svg;
    for (const Point& point : plot_.series[index].points) {
      if (!IsDrawn(point))
        continue;
      const double top = y_.At(point.y);
      svg += "<rect x=\"" +
             Coordinate(x_.At(point.x) - 0.4 * group +
                        width * static_cast<double>(index)) +
             "\" y=\"" + Coordinate(std::min(top, base)) + "\" width=\"" +
             Coordinate(width) + "\" height=\"" +
             Coordinate(std::abs(base - top)) + "\" fill=\"" + ColourOf(index) +
             "\"/>\n";
    }
    return svg;
  }

  std::string Steps(std::size_t index) const {
    std::string points;
    double level = kBottom;
    for (const Point& point : plot_.series[index].points) {
      if (!IsDrawn(point))
        continue;
      const std::string x = Coordinate(x_.At(point.x));
      points += (points.empty() ? "" : " ") + x + "," + Coordinate(level);
      level = y_.At(point.y);
      points += " " + x + "," + Coordinate(level);
    }
    return points.empty() ? "" : Polyline(index, points);
  }

  std::string Legend() const {
    std::string svg;
    double y = kLegendTop;
    for (std::size_t i = 0; i < plot_.series.size(); ++i) {
      svg += "<rect x=\"" + Coordinate(kLeft) + "\" y=\"" + Coordinate(y - 10) +
             "\" width=\"12\" height=\"12\" fill=\"" + ColourOf(i) + "\"/>\n";
      svg += Text(kLeft + 18, y, "", plot_.series[i].name);
      y += kLegendRow;
    }
    if (left_out_ > 0) {
      svg += Text(
          kLeft, y, "",
          std::to_string(left_out_) + " points cannot be drawn on these axes");
    }
    return svg;
  }

  const Plot& plot_;
  Range x_;
  Range y_;
  int drawn_ = 0;
  int left_out_ = 0;
};

}  // namespace

std::string RenderSvg(const Plot& plot) {
  return Renderer(plot).Render();
}

}  // namespace wigeonstair::report
