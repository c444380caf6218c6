#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "report/benchmark_result.h"
#include "report/html_report.h"
#include "settings/yaml.h"
#include "tools/command_line.h"
#include "tools/program.h"

namespace wigeonstair {

namespace {

tools::ProgramDescription Description() {
  return {.name = "wigeonstair-report",
          .version = WIGEONSTAIR_VERSION,
          .summary = "Makes one HTML page of stored benchmark results.",
          .usage = {"--output FILE RESULT.json..."},
          .flags = {{.name = "output",
                     .value_name = "FILE",
                     .help = "write the page to this file"}},
          .notes = "Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid result."};
}

base::Result<tools::ExitCode> Run(const tools::CommandLine& line) {
  std::vector<report::BenchmarkResult> results;
  for (const std::string& file : line.positional()) {
    const std::string json = TRY(settings::ReadTextFile(file));
    results.push_back(TRY(report::FromJson(json, file)));
  }
  const std::string output = line.ValueOr("output", "");
  TRY(report::WriteTextFile(output, report::RenderHtml(results)));
  std::cout << "wrote " << output << "\n";
  return tools::ExitCode::kOk;
}

std::string UsageFault(const tools::CommandLine& line) {
  if (!line.Has("output"))
    return "--output is needed";
  return line.positional().empty() ? "give at least one result" : "";
}

}  // namespace

}  // namespace wigeonstair

int main(int argument_count, char** arguments) {
  return wigeonstair::tools::RunProgram(
      wigeonstair::Description(), argument_count, arguments, wigeonstair::Run,
      wigeonstair::UsageFault);
}
