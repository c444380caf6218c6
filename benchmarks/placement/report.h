#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_REPORT_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_REPORT_H_

#include <string>
#include <vector>

#include "report/benchmark_result.h"

namespace wigeonstair::placement {

enum class Check {
  kBound,  // Deterministic for a seed; --check fails when it is missed.
  kTimed,  // A wall time; printed and not checked.
  kNone,   // For comparison only; has no target.
};

// One line of the table. The target is an upper bound unless `at_least`.
struct Row {
  std::string where = {};
  std::string measure = {};
  std::string baseline = {};
  double baseline_value = 0;
  double result = 0;
  double target = 0;
  bool at_least = false;
  Check check = Check::kBound;

  bool met() const { return at_least ? result >= target : result <= target; }
};

// A row whose target is not reached yet.
struct KnownMiss {
  std::string where = {};
  std::string measure = {};
};

class Report {
 public:
  void Add(Row row);
  void Add(report::Plot plot) { plots_.push_back(std::move(plot)); }
  void Print() const;
  // The rows as a table, and the plots. Rows whose `where` ends with a load in
  // percent or begins with a number of workers are also plotted against it.
  void Store(report::BenchmarkResult& result) const;
  // Missed bounds that are known are shown as missed and not checked.
  void SetKnownMisses(std::vector<KnownMiss> misses);
  // Number of checked bounds that are missed; each is printed.
  int CountBroken() const;

 private:
  bool IsKnownMiss(const Row& row) const;

  report::Plot CompletionPlot(const std::string& deployment,
                              const std::string& measure) const;
  report::Plot CostPlot(const std::string& measure) const;

  std::vector<Row> rows_;
  std::vector<report::Plot> plots_;
  std::vector<KnownMiss> known_misses_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_REPORT_H_
