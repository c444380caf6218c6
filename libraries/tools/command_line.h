#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_COMMAND_LINE_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_COMMAND_LINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "tools/exit_code.h"

namespace wigeonstair::tools {

// One option of a program, such as --server ADDRESS.
struct Flag {
  std::string name;
  // Placeholder of the value in the help text. Empty when there is no value.
  std::string value_name;
  std::string help;
};

struct ProgramDescription {
  std::string name;
  std::string version;
  std::string summary;
  // Lines after "Usage:", each without the program's name.
  std::vector<std::string> usage;
  // --help and --version are added.
  std::vector<Flag> flags;
  // Printed after the flags.
  std::string notes;
};

// Flags may be given several times and may stand after positional arguments.
class CommandLine {
 public:
  CommandLine() = default;
  CommandLine(std::map<std::string, std::vector<std::string>> flags,
              std::vector<std::string> positional)
      : flags_(std::move(flags)), positional_(std::move(positional)) {}

  bool Has(const std::string& flag) const { return flags_.contains(flag); }
  // The last value given.
  std::optional<std::string> ValueOf(const std::string& flag) const;
  std::string ValueOr(const std::string& flag, std::string fallback) const;
  // All values in their order.
  std::vector<std::string> All(const std::string& flag) const;
  // A whole number. Fails with kInvalidArgument when it is malformed or out
  // of the range.
  base::Result<std::int64_t> Integer(const std::string& flag,
                                     std::int64_t fallback,
                                     std::int64_t minimum,
                                     std::int64_t maximum) const;
  const std::vector<std::string>& positional() const { return positional_; }

 private:
  std::map<std::string, std::vector<std::string>> flags_;
  std::vector<std::string> positional_;
};

// Parses the arguments with getopt_long. Prints help or version on request and
// then returns kOk; prints what is wrong and returns kUsage on a bad flag.
std::variant<CommandLine, ExitCode> ParseCommandLine(
    const ProgramDescription& program,
    int argument_count,
    char** arguments);

std::string HelpText(const ProgramDescription& program);

// Prints "name: error" and returns the exit code of the error.
ExitCode ReportError(const ProgramDescription& program,
                     const base::Error& error);
// Prints a usage error with a hint at --help and returns kUsage.
ExitCode ReportUsage(const ProgramDescription& program,
                     std::string_view message);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_COMMAND_LINE_H_
