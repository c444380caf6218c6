#include "tools/command_line.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <utility>

namespace wigeonstair::tools {

namespace {

constexpr const char* kHelpFlag = "help";
constexpr const char* kVersionFlag = "version";

std::vector<Flag> AllFlags(const ProgramDescription& program) {
  std::vector<Flag> flags = program.flags;
  flags.push_back(
      {.name = kHelpFlag, .value_name = "", .help = "print this help"});
  flags.push_back(
      {.name = kVersionFlag, .value_name = "", .help = "print the version"});
  return flags;
}

std::vector<option> GetoptTable(const std::vector<Flag>& flags) {
  std::vector<option> table;
  table.reserve(flags.size() + 1);
  for (const Flag& flag : flags) {
    table.push_back(
        {.name = flag.name.c_str(),
         .has_arg = flag.value_name.empty() ? no_argument : required_argument,
         .flag = nullptr,
         .val = 0});
  }
  table.push_back({});
  return table;
}

}  // namespace

std::optional<std::string> CommandLine::ValueOf(const std::string& flag) const {
  const auto found = flags_.find(flag);
  if (found == flags_.end())
    return std::nullopt;
  return found->second.back();
}

std::string CommandLine::ValueOr(const std::string& flag,
                                 std::string fallback) const {
  return ValueOf(flag).value_or(std::move(fallback));
}

std::vector<std::string> CommandLine::All(const std::string& flag) const {
  const auto found = flags_.find(flag);
  return found == flags_.end() ? std::vector<std::string>() : found->second;
}

base::Result<std::int64_t> CommandLine::Integer(const std::string& flag,
                                                std::int64_t fallback,
                                                std::int64_t minimum,
                                                std::int64_t maximum) const {
  const auto text = ValueOf(flag);
  if (!text)
    return fallback;
  std::int64_t number = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < minimum ||
      number > maximum) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "read --" + flag, "",
                      "'" + *text + "' is not a whole number from " +
                          std::to_string(minimum) + " to " +
                          std::to_string(maximum));
  }
  return number;
}

std::variant<CommandLine, ExitCode> ParseCommandLine(
    const ProgramDescription& program,
    int argument_count,
    char** arguments) {
  const std::vector<Flag> flags = AllFlags(program);
  const std::vector<option> table = GetoptTable(flags);
  std::map<std::string, std::vector<std::string>> given;
  optind = 0;  // Starts over, so that tests can parse several command lines.
  int index = 0;
  int code = 0;
  while ((code = getopt_long(argument_count, arguments, "", table.data(),
                             &index)) != -1) {
    // getopt_long has printed what is wrong.
    if (code == '?')
      return ReportUsage(program, "");
    given[flags[static_cast<std::size_t>(index)].name].emplace_back(
        optarg == nullptr ? "" : optarg);
  }
  if (given.contains(kHelpFlag)) {
    std::cout << HelpText(program);
    return ExitCode::kOk;
  }
  if (given.contains(kVersionFlag)) {
    std::cout << program.name << " " << program.version << "\n";
    return ExitCode::kOk;
  }
  std::vector<std::string> positional(arguments + optind,
                                      arguments + argument_count);
  return CommandLine(std::move(given), std::move(positional));
}

std::string HelpText(const ProgramDescription& program) {
  std::string text = program.summary + "\n\nUsage:\n";
  for (const std::string& line : program.usage)
    text += "  " + program.name + " " + line + "\n";
  text += "\nOptions:\n";
  std::size_t width = 0;
  const auto heading = [](const Flag& flag) {
    return "--" + flag.name +
           (flag.value_name.empty() ? "" : " " + flag.value_name);
  };
  const std::vector<Flag> flags = AllFlags(program);
  for (const Flag& flag : flags)
    width = std::max(width, heading(flag).size());
  for (const Flag& flag : flags) {
    const std::string head = heading(flag);
    text += "  " + head + std::string(width - head.size() + 2, ' ') +
            flag.help + "\n";
  }
  if (!program.notes.empty())
    text += "\n" + program.notes + "\n";
  return text;
}

ExitCode ReportError(const ProgramDescription& program,
                     const base::Error& error) {
  std::cerr << program.name << ": " << error.ToString() << "\n";
  return ExitCodeOf(error.code);
}

ExitCode ReportUsage(const ProgramDescription& program,
                     std::string_view message) {
  if (!message.empty())
    std::cerr << program.name << ": " << message << "\n";
  std::cerr << "Try '" << program.name << " --help'.\n";
  return ExitCode::kUsage;
}

}  // namespace wigeonstair::tools
