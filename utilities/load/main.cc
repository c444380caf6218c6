#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "base/result.h"
#include "load/load_plan.h"
#include "load/load_report.h"
#include "load/load_runner.h"
#include "net/http_client.h"
#include "settings/cluster_configuration.h"
#include "settings/json.h"
#include "settings/object_reader.h"
#include "tools/command_line.h"
#include "tools/end_process.h"
#include "tools/json_view.h"
#include "tools/program.h"
#include "tools/stop_signal.h"

namespace wigeonstair {

namespace {

tools::ProgramDescription Description() {
  return {
      .name = "wigeonstair-load",
      .version = WIGEONSTAIR_VERSION,
      .summary = "Sends requests at a fixed rate and checks every answer.",
      .usage = {"--entry IP:PORT... --customer ID... [options]",
                "--configuration cluster.yaml [options]",
                "--direct IP:PORT... [options]"},
      .flags =
          {{.name = "entry",
            .value_name = "IP:PORT",
            .help = "entry process; may be repeated"},
           {.name = "configuration",
            .value_name = "FILE",
            .help = "take all entry processes and customers from it"},
           {.name = "direct",
            .value_name = "IP:PORT",
            .help = "call stand-in upstreams directly, for comparison"},
           {.name = "customer",
            .value_name = "ID",
            .help = "customer of the requests; may be repeated"},
           {.name = "service", .value_name = "NAME", .help = "default booking"},
           {.name = "rate",
            .value_name = "N",
            .help = "requests per second, default 100"},
           {.name = "count",
            .value_name = "N",
            .help = "requests in all, default 1000"},
           {.name = "duration-ms",
            .value_name = "N",
            .help = "stop sending after this time, default 600000"},
           {.name = "non-idempotent-percent",
            .value_name = "N",
            .help = "default 50"},
           {.name = "deadline-ms", .value_name = "N", .help = "default 2000"},
           {.name = "resends",
            .value_name = "N",
            .help = "resends through the next server, default 2"},
           {.name = "resend-delay-ms",
            .value_name = "N",
            .help = "default 200"},
           {.name = "max-in-flight", .value_name = "N", .help = "default 2000"},
           {.name = "body-bytes", .value_name = "N", .help = "default 64"},
           {.name = "seed",
            .value_name = "N",
            .help = "default 1; keys contain it, so choose a new one for each "
                    "run against the same cluster"},
           {.name = "executions",
            .value_name = "IP:PORT",
            .help = "stand-in control address to compare executions with; may "
                    "be repeated"},
           {.name = "trusted-certificate",
            .value_name = "FILE",
            .help = "use TLS and trust this certificate"},
           {.name = "json",
            .value_name = "",
            .help = "print the report as JSON"}},
      .notes =
          "Latencies count from the time at which a request was to be "
          "sent.\nExit codes: 0 ok, 1 a crossed answer, a doubled run or "
          "a false 'not run', 2 usage,\n3 invalid input, 6 nothing was "
          "answered."};
}

base::Result<std::monostate> ReadServers(const tools::CommandLine& line,
                                         load::LoadOptions& options) {
  options.servers = line.All("entry");
  options.customers = line.All("customer");
  if (line.Has("direct")) {
    options.destination = load::Destination::kUpstream;
    options.servers = line.All("direct");
  }
  if (const auto file = line.ValueOf("configuration")) {
    const auto configuration = TRY(settings::LoadClusterConfiguration(*file));
    for (const auto& host : configuration.hosts)
      options.servers.push_back(host.entry_http);
    if (options.customers.empty()) {
      for (const auto& customer : configuration.customers)
        options.customers.push_back(customer.id.value());
    }
  }
  if (options.customers.empty())
    options.customers = {"default"};
  const bool valid =
      !options.servers.empty() &&
      std::all_of(options.servers.begin(), options.servers.end(),
                  [](const auto& text) { return settings::IsAddress(text); });
  if (valid)
    return std::monostate();
  return base::Fail(base::ErrorCode::kInvalidArgument, "read options", "",
                    "give --entry, --configuration or --direct with valid "
                    "addresses ip:port");
}

base::Result<load::LoadOptions> ReadOptions(const tools::CommandLine& line) {
  using std::chrono::milliseconds;
  load::LoadOptions options;
  TRY(ReadServers(line, options));
  options.service = line.ValueOr("service", options.service);
  options.rate =
      static_cast<double>(TRY(line.Integer("rate", 100, 1, 1'000'000)));
  options.count = TRY(line.Integer("count", 1000, 1, 10'000'000));
  options.duration =
      milliseconds(TRY(line.Integer("duration-ms", 600'000, 1, 86'400'000)));
  options.non_idempotent_percent =
      static_cast<int>(TRY(line.Integer("non-idempotent-percent", 50, 0, 100)));
  options.deadline =
      milliseconds(TRY(line.Integer("deadline-ms", 2000, 1, 60'000)));
  options.resends = static_cast<int>(TRY(line.Integer("resends", 2, 0, 100)));
  options.resend_delay =
      milliseconds(TRY(line.Integer("resend-delay-ms", 200, 0, 600'000)));
  options.maximum_in_flight =
      static_cast<int>(TRY(line.Integer("max-in-flight", 2000, 1, 20'000)));
  options.body_bytes = static_cast<std::size_t>(
      TRY(line.Integer("body-bytes", 64, 0, 1'000'000)));
  options.seed = static_cast<std::uint64_t>(
      TRY(line.Integer("seed", 1, 0, 1'000'000'000'000)));
  if (const auto file = line.ValueOf("trusted-certificate")) {
    options.scheme = "https";
    options.trusted_certificates = *file;
  }
  return options;
}

// Adds up the runs of each key over all stand-in processes.
base::Result<std::map<std::string, std::int64_t>> ReadExecutions(
    const std::vector<std::string>& addresses) {
  constexpr std::size_t kAnswerLimitBytes = 64UL * 1024 * 1024;
  net::HttpClient client({.answer_limit_bytes = kAnswerLimitBytes});
  std::map<std::string, std::int64_t> runs;
  for (const std::string& address : addresses) {
    const net::HttpOutcome outcome =
        client.SendAndWait({.address = address,
                            .path = "/executions",
                            .timeout = std::chrono::seconds(30)});
    const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
    if (answer == nullptr || answer->response.status != 200) {
      return base::Fail(base::ErrorCode::kUnavailable, "read executions",
                        address, "no complete answer");
    }
    const auto value = TRY(settings::ParseJson(answer->response.body, address));
    for (const auto& member : tools::ObjectOf(value, "executions").members) {
      runs[member.key] +=
          tools::NumberOf(tools::ObjectOf(value, "executions"), member.key);
    }
  }
  return runs;
}

load::LoadReport RunLoad(const load::LoadOptions& options,
                         tools::StopSignal& signal) {
  load::LoadRunner runner(options);
  std::atomic<bool> finished = false;
  std::thread watcher([&] {
    while (!finished) {
      if (signal.WaitFor(std::chrono::milliseconds(50)))
        runner.Stop();
    }
  });
  load::LoadReport report = runner.Run();
  finished = true;
  watcher.join();
  return report;
}

base::Result<tools::ExitCode> Run(const tools::CommandLine& line,
                                  tools::StopSignal& signal) {
  const load::LoadOptions options = TRY(ReadOptions(line));
  load::LoadReport report = RunLoad(options, signal);
  if (line.Has("executions")) {
    const auto runs = TRY(ReadExecutions(line.All("executions")));
    report.executions = load::CheckExecutions(report.keys, runs);
  }
  if (line.Has("json"))
    std::cout << settings::EmitJson(load::ReportJson(report)) << "\n";
  else
    std::cout << load::ReportText(report);
  if (!report.IsTruthful())
    return tools::ExitCode::kFailure;
  return report.requests.answered == 0 ? tools::ExitCode::kUnreachable
                                       : tools::ExitCode::kOk;
}

}  // namespace

}  // namespace wigeonstair

int main(int argument_count, char** arguments) {
  wigeonstair::tools::EndProcess(wigeonstair::tools::RunUntilSignal(
      wigeonstair::Description(), argument_count, arguments, wigeonstair::Run));
}
