#ifndef WIGEONSTAIR_BENCHMARKS_REQUESTS_HTTP_BENCHMARK_H_
#define WIGEONSTAIR_BENCHMARKS_REQUESTS_HTTP_BENCHMARK_H_

#include <string>
#include <vector>

#include "benchmarks/requests/report.h"

namespace wigeonstair::benchmarks {

struct HttpTargets {
  // "ip:port" of an upstream and of running entry processes that route to it.
  std::string upstream;
  std::string service;
  std::vector<std::string> entries;
};

// Compares calls through each entry process with direct calls to the upstream.
// The processes run on this machine beside the benchmark.
void ReportHttp(Report& report, const HttpTargets& targets);

}  // namespace wigeonstair::benchmarks

#endif  // WIGEONSTAIR_BENCHMARKS_REQUESTS_HTTP_BENCHMARK_H_
