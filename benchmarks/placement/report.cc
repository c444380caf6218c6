#include "benchmarks/placement/report.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <utility>

namespace wigeonstair::placement {

namespace {

const char* Verdict(const Row& row) {
  if (row.check == Check::kNone)
    return "-";
  return row.met() ? "met" : "MISSED";
}

std::string Short(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

// Adds to the series of that name, which is created when missing.
void AddPoint(report::Plot& plot,
              const std::string& name,
              report::Point point) {
  auto found =
      std::find_if(plot.series.begin(), plot.series.end(),
                   [&](const auto& series) { return series.name == name; });
  if (found == plot.series.end())
    found = plot.series.insert(found, {.name = name, .points = {}});
  // The same result stands beside each baseline.
  if (found->points.empty() || found->points.back() != point)
    found->points.push_back(point);
}

}  // namespace

void Report::Add(Row row) {
  rows_.push_back(std::move(row));
}

void Report::SetKnownMisses(std::vector<KnownMiss> misses) {
  known_misses_ = std::move(misses);
}

bool Report::IsKnownMiss(const Row& row) const {
  return std::any_of(
      known_misses_.begin(), known_misses_.end(), [&](const KnownMiss& miss) {
        return miss.where == row.where && miss.measure == row.measure;
      });
}

void Report::Print() const {
  std::printf("%-21s %-46s %-28s %10s %10s %12s %s\n", "where", "measure",
              "baseline", "value", "result", "target", "verdict");
  for (const Row& row : rows_) {
    char target[32] = "-";
    if (row.check != Check::kNone) {
      std::snprintf(target, sizeof(target), "%s %.4g",
                    row.at_least ? ">=" : "<=", row.target);
    }
    std::printf("%-21s %-46s %-28s %10.4g %10.4g %12s %s%s\n",
                row.where.c_str(), row.measure.c_str(), row.baseline.c_str(),
                row.baseline_value, row.result, target, Verdict(row),
                row.check == Check::kTimed ? " (not checked)" : "");
  }
}

report::Plot Report::CompletionPlot(const std::string& deployment,
                                    const std::string& measure) const {
  report::Plot plot{.title = deployment + ": " + measure + ", against load",
                    .x = {.label = "load", .unit = "% of the accelerators"},
                    .y = {.label = measure}};
  for (const Row& row : rows_) {
    if (row.measure != measure || !row.where.starts_with(deployment + " "))
      continue;
    const double load =
        std::strtod(row.where.c_str() + deployment.size(), nullptr);
    AddPoint(plot, "wigeonstair", {.x = load, .y = row.result});
    AddPoint(plot, row.baseline, {.x = load, .y = row.baseline_value});
  }
  for (report::Series& series : plot.series) {
    std::sort(
        series.points.begin(), series.points.end(),
        [](const auto& left, const auto& right) { return left.x < right.x; });
  }
  return plot;
}

report::Plot Report::CostPlot(const std::string& measure) const {
  report::Plot plot{
      .title = measure + ", against size",
      .x = {.label = "workers in the domain"},
      .y = {
          .label = "cost", .unit = "us", .scale = report::Scale::kLogarithmic}};
  for (const Row& row : rows_) {
    if (row.measure != measure)
      continue;
    const double workers = std::strtod(row.where.c_str(), nullptr);
    AddPoint(plot, "p99", {.x = workers, .y = row.result});
    AddPoint(plot, row.baseline, {.x = workers, .y = row.baseline_value});
    if (row.check != Check::kNone)
      AddPoint(plot, "target of p99", {.x = workers, .y = row.target});
  }
  return plot;
}

void Report::Store(report::BenchmarkResult& result) const {
  report::ResultTable table{.title = "Measures and targets",
                            .columns = {"where", "measure", "baseline", "value",
                                        "result", "target", "verdict"},
                            .rows = {}};
  std::set<std::string> deployments;
  std::set<std::string> costs;
  for (const Row& row : rows_) {
    const std::string target =
        (row.at_least ? ">= " : "<= ") + Short(row.target);
    table.rows.push_back({row.where, row.measure, row.baseline,
                          Short(row.baseline_value), Short(row.result),
                          row.check == Check::kNone ? "-" : target,
                          Verdict(row)});
    if (row.where.ends_with('%'))
      deployments.insert(row.where.substr(0, row.where.rfind(' ')));
    if (row.where.ends_with(" workers"))
      costs.insert(row.measure);
  }
  for (const std::string& deployment : deployments) {
    for (const char* measure : {"mean completion, s", "p99 completion, s"})
      result.plots.push_back(CompletionPlot(deployment, measure));
  }
  result.plots.insert(result.plots.end(), plots_.begin(), plots_.end());
  for (const std::string& measure : costs)
    result.plots.push_back(CostPlot(measure));
  result.tables.push_back(std::move(table));
}

int Report::CountBroken() const {
  int broken = 0;
  for (const Row& row : rows_) {
    if (row.check != Check::kBound || row.met() || IsKnownMiss(row))
      continue;
    ++broken;
    std::fprintf(stderr, "regression: %s: %s is %.4g, bound %.4g\n",
                 row.where.c_str(), row.measure.c_str(), row.result,
                 row.target);
  }
  return broken;
}

}  // namespace wigeonstair::placement
