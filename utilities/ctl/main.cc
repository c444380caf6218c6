#include <cstdio>
#include <iostream>
#include <limits>
#include <string>
#include <utility>
#include <variant>

#include "base/result.h"
#include "ctl/operator_command.h"
#include "ctl/session.h"
#include "net/http_client.h"
#include "settings/object_reader.h"
#include "settings/yaml.h"
#include "tools/command_line.h"
#include "tools/end_process.h"

namespace wigeonstair {

namespace {

base::Result<std::monostate> CheckServers(
    const std::vector<std::string>& servers) {
  for (const std::string& server : servers) {
    if (!settings::IsAddress(server)) {
      return base::Fail(base::ErrorCode::kInvalidArgument, ctl::kUsageFault,
                        server, "must be ip:port");
    }
  }
  return std::monostate();
}

base::Result<std::string> ReadToken(const tools::CommandLine& line) {
  const auto file = line.ValueOf("token-file");
  if (!file)
    return std::string();
  std::string token = TRY(settings::ReadTextFile(*file));
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r'))
    token.pop_back();
  return token;
}

base::Result<ctl::SessionOptions> ReadOptions(const tools::CommandLine& line) {
  ctl::SessionOptions options;
  options.control_servers = line.All("server");
  options.entry_servers = line.All("entry");
  if (options.entry_servers.empty())
    options.entry_servers = options.control_servers;
  if (options.control_servers.empty() && options.entry_servers.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, ctl::kUsageFault, "",
                      "give at least one --server IP:PORT");
  }
  TRY(CheckServers(options.control_servers));
  TRY(CheckServers(options.entry_servers));
  options.token = TRY(ReadToken(line));
  options.scheme = line.Has("trusted-certificate") ? "https" : "http";
  options.timeout = std::chrono::milliseconds(
      TRY(line.Integer("timeout-ms", 10'000, 1, 600'000)));
  if (line.Has("json"))
    options.format = ctl::OutputFormat::kJson;
  options.operation = line.ValueOr("operation", ctl::NewOperationId());
  options.expected_revision = TRY(line.Integer(
      "expected-revision", 0, 0, std::numeric_limits<std::int64_t>::max()));
  options.output = &std::cout;
  options.messages = &std::cerr;
  return options;
}

struct Prepared {
  ctl::OperatorCommand command;
  ctl::SessionOptions options;
};

base::Result<Prepared> Prepare(const tools::CommandLine& line) {
  Prepared prepared;
  prepared.command = TRY(ctl::BuildCommand(line));
  prepared.options = TRY(ReadOptions(line));
  return prepared;
}

tools::ExitCode Main(int argument_count, char** arguments) {
  const auto program = ctl::CtlDescription(WIGEONSTAIR_VERSION);
  auto parsed = tools::ParseCommandLine(program, argument_count, arguments);
  if (const auto* code = std::get_if<tools::ExitCode>(&parsed))
    return *code;
  const auto& line = std::get<tools::CommandLine>(parsed);
  auto outcome = base::Capture([&line] { return Prepare(line); });
  if (const auto* error = std::get_if<base::Error>(&outcome)) {
    if (error->step == ctl::kUsageFault)
      return tools::ReportUsage(program, error->ToString());
    return tools::ReportError(program, *error);
  }
  auto& prepared = std::get<Prepared>(outcome);
  net::HttpClient client(
      {.trusted_certificates = line.ValueOr("trusted-certificate", "")});
  prepared.options.send = [&client](net::HttpCall call) {
    return client.SendAndWait(std::move(call));
  };
  return ctl::Session(std::move(prepared.options)).Run(prepared.command);
}

}  // namespace

}  // namespace wigeonstair

int main(int argument_count, char** arguments) {
  wigeonstair::tools::EndProcess(wigeonstair::Main(argument_count, arguments));
}
