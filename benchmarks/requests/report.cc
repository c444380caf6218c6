#include "benchmarks/requests/report.h"

#include <cstdio>

namespace wigeonstair::benchmarks {

namespace {

void PrintRow(const std::string& measure,
              const std::string& baseline,
              const std::string& result,
              const std::string& target,
              const std::string& verdict) {
  std::printf("%-58s %-26s %-14s %-12s %s\n", measure.c_str(), baseline.c_str(),
              result.c_str(), target.c_str(), verdict.c_str());
  std::fflush(stdout);
}

}  // namespace

Report::Report()
    : table_{.title = "Measures and targets",
             .columns = {"measure", "baseline", "result", "target", "verdict"},
             .rows = {}} {
  PrintRow("measure", "baseline", "result", "target", "verdict");
}

void Report::AddRow(const std::string& measure,
                    const std::string& baseline,
                    const std::string& result,
                    const std::string& target,
                    const std::string& verdict) {
  PrintRow(measure, baseline, result, target, verdict);
  table_.rows.push_back({measure, baseline, result, target, verdict});
}

void Report::Add(const std::string& measure,
                 const std::string& baseline,
                 const std::string& result,
                 const std::string& target,
                 Verdict verdict) {
  if (verdict == Verdict::kMissed)
    ++missed_;
  AddRow(measure, baseline, result, target,
         verdict == Verdict::kMet ? "met" : "missed");
}

void Report::Note(const std::string& measure,
                  const std::string& baseline,
                  const std::string& result) {
  AddRow(measure, baseline, result, "-", "-");
}

std::string Format(double value, const std::string& unit, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f %s", digits, value, unit.c_str());
  return text;
}

}  // namespace wigeonstair::benchmarks
