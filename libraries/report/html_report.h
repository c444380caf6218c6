#ifndef WIGEONSTAIR_LIBRARIES_REPORT_HTML_REPORT_H_
#define WIGEONSTAIR_LIBRARIES_REPORT_HTML_REPORT_H_

#include <string>
#include <vector>

#include "report/benchmark_result.h"

namespace wigeonstair::report {

// One HTML document with all results. It refers to no other file.
std::string RenderHtml(const std::vector<BenchmarkResult>& results);

}  // namespace wigeonstair::report

#endif  // WIGEONSTAIR_LIBRARIES_REPORT_HTML_REPORT_H_
