#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "base/event_log.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/run_on_loop.h"
#include "settings/cluster_configuration.h"
#include "settings/object_reader.h"
#include "standin/control_server.h"
#include "standin/upstream_agent.h"
#include "standin/wait_and_stop.h"
#include "tools/command_line.h"
#include "tools/end_process.h"
#include "tools/program.h"
#include "tools/stop_signal.h"

namespace wigeonstair {

namespace {

using standin::UpstreamAgent;
using standin::UpstreamOptions;

constexpr base::Duration kTick = std::chrono::milliseconds(20);

tools::ProgramDescription Description() {
  return {
      .name = "wigeonstair-standin-upstream",
      .version = WIGEONSTAIR_VERSION,
      .summary = "Plays upstreams that answer requests after a service time.",
      .usage = {"--service NAME --configuration cluster.yaml [--domain ID]...",
                "--service NAME --domain ID --entry IP:PORT..."},
      .flags =
          {{.name = "service",
            .value_name = "NAME",
            .help = "service of the upstreams"},
           {.name = "configuration",
            .value_name = "FILE",
            .help = "announce to the entry hosts of each failure domain"},
           {.name = "domain",
            .value_name = "ID",
            .help = "failure domain; may be repeated with --configuration"},
           {.name = "entry",
            .value_name = "IP:PORT",
            .help = "entry process; may be repeated"},
           {.name = "trusted-certificate",
            .value_name = "FILE",
            .help = "announce over HTTPS to entries with this certificate"},
           {.name = "count",
            .value_name = "N",
            .help = "upstreams in each failure domain, default 1"},
           {.name = "ip",
            .value_name = "IP",
            .help = "address to listen on, default 127.0.0.1"},
           {.name = "base-port",
            .value_name = "N",
            .help = "first port; default 0 takes free ports"},
           {.name = "slots", .value_name = "N", .help = "default 8"},
           {.name = "connections", .value_name = "N", .help = "default 64"},
           {.name = "service-us",
            .value_name = "N",
            .help = "service time in microseconds, default 10000"},
           {.name = "fault",
            .value_name = "NAME",
            .help = "none, slow, hang, truncated, crossed, fail, leave or die"},
           {.name = "fault-upstreams",
            .value_name = "N",
            .help = "only the first N upstreams show --fault"},
           {.name = "control",
            .value_name = "IP:PORT",
            .help = "serve GET /status, GET /executions and POST /faults here"},
           {.name = "run-for-ms",
            .value_name = "N",
            .help = "stop after this time, default on SIGTERM only"}},
      .notes = "Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid input."};
}

struct Site {
  std::string domain;
  std::vector<std::string> entries;
};

base::Result<std::vector<Site>> ReadSites(const tools::CommandLine& line) {
  const auto wanted = line.All("domain");
  std::vector<Site> sites;
  if (!line.Has("configuration")) {
    sites.push_back(
        {.domain = line.ValueOr("domain", ""), .entries = line.All("entry")});
    return sites;
  }
  const auto configuration =
      TRY(settings::LoadClusterConfiguration(*line.ValueOf("configuration")));
  for (const auto& domain : configuration.domains) {
    const std::string& id = domain.id.value();
    if (!wanted.empty() &&
        std::find(wanted.begin(), wanted.end(), id) == wanted.end()) {
      continue;
    }
    Site site{.domain = id, .entries = {}};
    for (const auto& host : configuration.hosts) {
      if (host.domain == domain.id)
        site.entries.push_back(host.entry_http);
    }
    sites.push_back(std::move(site));
  }
  return sites;
}

base::Result<std::monostate> CheckSites(const std::vector<Site>& sites,
                                        const std::string& service) {
  const bool valid =
      !sites.empty() &&
      std::all_of(sites.begin(), sites.end(), [](const Site& site) {
        return settings::IsId(site.domain) &&
               std::all_of(site.entries.begin(), site.entries.end(),
                           [](const auto& entry) {
                             return settings::IsAddress(entry);
                           });
      });
  if (valid && settings::IsId(service))
    return std::monostate();
  return base::Fail(base::ErrorCode::kInvalidArgument, "read options", "",
                    "--service and --domain with --entry IP:PORT, or "
                    "--configuration, are needed");
}

base::Result<std::vector<UpstreamOptions>> ReadUpstreams(
    const tools::CommandLine& line) {
  const auto sites = TRY(ReadSites(line));
  const std::string service = line.ValueOr("service", "");
  TRY(CheckSites(sites, service));
  const auto count = TRY(line.Integer("count", 1, 1, 1000));
  const auto slots = TRY(line.Integer("slots", 8, 1, 4096));
  const auto connections = TRY(line.Integer("connections", 64, 1, 65'536));
  const auto service_us =
      TRY(line.Integer("service-us", 10'000, 0, 60'000'000));
  auto port = TRY(line.Integer("base-port", 0, 0, 60'000));
  std::vector<UpstreamOptions> upstreams;
  for (const Site& site : sites) {
    for (std::int64_t i = 1; i <= count; ++i) {
      upstreams.push_back(
          {.id = service + "-" + site.domain + "-" + std::to_string(i),
           .service = service,
           .domain = site.domain,
           .ip = line.ValueOr("ip", "127.0.0.1"),
           .port = static_cast<std::uint16_t>(port),
           .slots = static_cast<int>(slots),
           .connections = static_cast<int>(connections),
           .service_time = std::chrono::microseconds(service_us),
           .incarnation = base::WallClockNow().count(),
           .entries = site.entries,
           .entry_scheme = line.Has("trusted-certificate") ? "https" : "http"});
      if (port > 0)
        ++port;
    }
  }
  return upstreams;
}

class Process {
 public:
  Process(std::shared_ptr<base::EventLog> log, std::string trusted_certificates)
      : log_(std::move(log)),
        client_({.trusted_certificates = std::move(trusted_certificates)}) {}

  base::Result<std::monostate> Start(
      const std::vector<UpstreamOptions>& upstreams) {
    for (const UpstreamOptions& options : upstreams) {
      agents_.push_back(
          TRY(UpstreamAgent::create(options, {.client = client_,
                                              .loop = loop_,
                                              .log = *log_,
                                              .executions = executions_})));
    }
    loop_.ScheduleEvery(kTick, [this] {
      for (const auto& agent : agents_)
        agent->Tick(base::MonotonicClock::now());
    });
    return std::monostate();
  }

  std::optional<int> SetFault(const standin::FaultRequest& request,
                              std::int64_t limit) {
    const auto fault = standin::ParseUpstreamFault(request.fault);
    if (!fault)
      return std::nullopt;
    log_->Info(base::EventNumber::kStandinFaultSet,
               {{"upstream", request.id}, {"fault", request.fault}});
    return net::RunOnLoop(loop_, [&] {
      int count = 0;
      for (const auto& agent : agents_) {
        if (count < limit &&
            (request.id == "*" || request.id == agent->options().id)) {
          agent->SetFault(*fault, request.duration,
                          base::MonotonicClock::now());
          ++count;
        }
      }
      return count;
    });
  }

  settings::Value Status() {
    return net::RunOnLoop(loop_, [this] {
      settings::Value list = settings::Value::Sequence();
      for (const auto& agent : agents_)
        list.items.push_back(agent->Status());
      return settings::Value::Mapping().Add("upstreams", std::move(list));
    });
  }

  settings::Value Executions(std::int64_t minimum) const {
    return executions_.ToValue(minimum);
  }

  // Leaves the entry processes, then lets requests in progress end.
  void Stop() {
    net::RunOnLoop(loop_, [this] {
      for (const auto& agent : agents_)
        agent->SetFault(standin::UpstreamFault::kLeave, std::nullopt,
                        base::MonotonicClock::now());
      return 0;
    });
    const auto busy = [this] {
      return std::any_of(agents_.begin(), agents_.end(), [](const auto& agent) {
        return agent->calls_in_flight() > 0 || agent->taken_slots() > 0;
      });
    };
    for (int i = 0; i < 500 && busy(); ++i)
      std::this_thread::sleep_for(kTick);
    for (const auto& agent : agents_)
      agent->CloseServer();
    loop_.Stop();
  }

 private:
  std::shared_ptr<base::EventLog> log_;
  net::HttpClient client_;
  standin::ExecutionTable executions_;
  std::vector<std::shared_ptr<UpstreamAgent>> agents_;
  net::EventLoop loop_;
};

base::Result<tools::ExitCode> Run(const tools::CommandLine& line,
                                  tools::StopSignal& signal) {
  const auto upstreams = TRY(ReadUpstreams(line));
  const auto run_for = TRY(line.Integer("run-for-ms", 0, 0, 86'400'000));
  const auto fault_limit =
      TRY(line.Integer("fault-upstreams", 100'000, 0, 100'000));
  const auto log =
      TRY(base::EventLog::create({.process = "standin-upstream", .host = "-"}));
  Process process(log, line.ValueOr("trusted-certificate", ""));
  TRY(process.Start(upstreams));
  const standin::FaultRequest first{.id = "*",
                                    .fault = line.ValueOr("fault", "none")};
  if (!process.SetFault(first, fault_limit)) {
    process.Stop();
    return base::Fail(base::ErrorCode::kInvalidArgument, "read --fault", "",
                      "unknown fault '" + first.fault + "'");
  }
  std::unique_ptr<net::HttpServer> control;
  if (const auto address = line.ValueOf("control")) {
    control = TRY(standin::StartControlServer(
        *address, {.set_fault =
                       [&](const auto& request) {
                         return process.SetFault(request, 100'000);
                       },
                   .status = [&] { return process.Status(); },
                   .executions =
                       [&](std::int64_t minimum) {
                         return process.Executions(minimum);
                       }}));
  }
  log->Info(base::EventNumber::kProcessStarted,
            {{"upstreams", upstreams.size()}});
  standin::WaitAndStop(signal, std::chrono::milliseconds(run_for), *log, [&] {
    control.reset();
    process.Stop();
  });
  return tools::ExitCode::kOk;
}

}  // namespace

}  // namespace wigeonstair

int main(int argument_count, char** arguments) {
  wigeonstair::tools::EndProcess(wigeonstair::tools::RunUntilSignal(
      wigeonstair::Description(), argument_count, arguments, wigeonstair::Run));
}
