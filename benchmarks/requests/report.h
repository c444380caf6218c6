#ifndef WIGEONSTAIR_BENCHMARKS_REQUESTS_REPORT_H_
#define WIGEONSTAIR_BENCHMARKS_REQUESTS_REPORT_H_

#include <string>

#include "report/benchmark_result.h"

namespace wigeonstair::benchmarks {

enum class Verdict { kMet, kMissed };

// One line of the result: measure, baseline, result, target, met or missed.
class Report {
 public:
  Report();

  // `baseline` may be "-" when there is none.
  void Add(const std::string& measure,
           const std::string& baseline,
           const std::string& result,
           const std::string& target,
           Verdict verdict);
  // A figure without a target.
  void Note(const std::string& measure,
            const std::string& baseline,
            const std::string& result);

  int missed() const { return missed_; }
  const report::ResultTable& table() const { return table_; }

 private:
  void AddRow(const std::string& measure,
              const std::string& baseline,
              const std::string& result,
              const std::string& target,
              const std::string& verdict);

  report::ResultTable table_;
  int missed_ = 0;
};

std::string Format(double value, const std::string& unit, int digits = 2);

}  // namespace wigeonstair::benchmarks

#endif  // WIGEONSTAIR_BENCHMARKS_REQUESTS_REPORT_H_
