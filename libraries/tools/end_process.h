#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_END_PROCESS_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_END_PROCESS_H_

#include "tools/exit_code.h"

namespace wigeonstair::tools {

// Writes out the standard streams and ends the process without destroying
// static objects. The threads of cpprestsdk still run then, and destroying what
// they use made processes wait forever (2 of 24 in a test) or report leaks.
[[noreturn]] void EndProcess(ExitCode code);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_END_PROCESS_H_
