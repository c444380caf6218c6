#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_PROGRAM_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_PROGRAM_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "tools/command_line.h"
#include "tools/exit_code.h"
#include "tools/stop_signal.h"

namespace wigeonstair::tools {

using ProgramBody = std::function<base::Result<ExitCode>(const CommandLine&)>;
using StoppableBody =
    std::function<base::Result<ExitCode>(const CommandLine&, StopSignal&)>;
// Returns what is wrong with the command line, or an empty text.
using UsageCheck = std::function<std::string(const CommandLine&)>;

// The main function of a utility: parses the arguments, checks the usage, runs
// the body and reports its error. Returns the exit status.
int RunProgram(const ProgramDescription& program,
               int argument_count,
               char** arguments,
               const ProgramBody& body,
               const UsageCheck& check = {});

// The same for a utility that runs until SIGTERM or SIGINT. Call it before any
// thread is started, because threads inherit the blocked signals.
ExitCode RunUntilSignal(const ProgramDescription& program,
                        int argument_count,
                        char** arguments,
                        const StoppableBody& body);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_PROGRAM_H_
