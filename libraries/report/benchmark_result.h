#ifndef WIGEONSTAIR_LIBRARIES_REPORT_BENCHMARK_RESULT_H_
#define WIGEONSTAIR_LIBRARIES_REPORT_BENCHMARK_RESULT_H_

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "report/plot.h"

namespace wigeonstair::report {

struct ResultTable {
  std::string title;
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;

  bool operator==(const ResultTable&) const = default;
};

// What one run of a benchmark measured, and where and when it ran. Stored as
// JSON, so that a report can be made again without another run.
struct BenchmarkResult {
  std::string title;
  std::string command;
  // Processor, number of cores, kernel, and the load average at the start.
  std::string machine;
  // UTC, as 2026-01-31T23:59:59Z.
  std::string date;
  std::vector<ResultTable> tables;
  std::vector<Plot> plots;

  bool operator==(const BenchmarkResult&) const = default;
};

// A result without tables and plots for the run that starts now.
BenchmarkResult DescribeRun(std::string title,
                            int argument_count,
                            char** arguments);

// Takes "--data FILE" out of the arguments; returns FILE, or nothing.
std::string TakeDataFlag(int& argument_count, char** arguments);

// Numbers that are not finite are written as null and read as not-a-number.
std::string ToJson(const BenchmarkResult& result);
// Fails with kInvalidArgument, naming the source, when a member is missing or
// of another type.
base::Result<BenchmarkResult> FromJson(const std::string& json,
                                       const std::string& source);

base::Result<std::monostate> WriteTextFile(const std::string& file,
                                           const std::string& text);

// Writes the result to `file` unless that is empty. Prints a failure and
// returns false.
bool StoreResult(const std::string& file, const BenchmarkResult& result);

}  // namespace wigeonstair::report

#endif  // WIGEONSTAIR_LIBRARIES_REPORT_BENCHMARK_RESULT_H_
