#include "tools/program.h"

#include <variant>

namespace wigeonstair::tools {

namespace {

ExitCode Run(const ProgramDescription& program,
             int argument_count,
             char** arguments,
             const ProgramBody& body,
             const UsageCheck& check) {
  const auto parsed = ParseCommandLine(program, argument_count, arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed))
    return *code;
  const auto& line = std::get<CommandLine>(parsed);
  const std::string fault = check ? check(line) : std::string();
  if (!fault.empty())
    return ReportUsage(program, fault);
  const auto outcome = base::Capture([&] { return body(line); });
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return ReportError(program, *error);
  return std::get<ExitCode>(outcome);
}

}  // namespace

int RunProgram(const ProgramDescription& program,
               int argument_count,
               char** arguments,
               const ProgramBody& body,
               const UsageCheck& check) {
  return ToInt(Run(program, argument_count, arguments, body, check));
}

ExitCode RunUntilSignal(const ProgramDescription& program,
                        int argument_count,
                        char** arguments,
                        const StoppableBody& body) {
  const auto stoppable = [&](const CommandLine& line) {
    StopSignal signal;
    return body(line, signal);
  };
  return Run(program, argument_count, arguments, stoppable, {});
}

}  // namespace wigeonstair::tools
