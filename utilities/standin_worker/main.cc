#include <algorithm>
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
#include "standin/wait_and_stop.h"
#include "standin/worker_agent.h"
#include "tools/command_line.h"
#include "tools/end_process.h"
#include "tools/program.h"
#include "tools/stop_signal.h"

namespace wigeonstair {

namespace {

using standin::WorkerAgent;
using Agents = std::vector<std::shared_ptr<WorkerAgent>>;

constexpr base::Duration kTick = std::chrono::milliseconds(20);

tools::ProgramDescription Description() {
  return {
      .name = "wigeonstair-standin-worker",
      .version = WIGEONSTAIR_VERSION,
      .summary = "Plays workers that run tasks by letting time pass.",
      .usage = {"--configuration cluster.yaml [--domain ID]...",
                "--server IP:PORT... --domain ID --rack ID [--workers N]"},
      .flags =
          {{.name = "configuration",
            .value_name = "FILE",
            .help = "play all workers of this cluster configuration"},
           {.name = "domain",
            .value_name = "ID",
            .help = "only workers of this failure domain; may be repeated"},
           {.name = "server",
            .value_name = "IP:PORT",
            .help = "control process; may be repeated"},
           {.name = "rack", .value_name = "ID", .help = "rack of the workers"},
           {.name = "workers",
            .value_name = "N",
            .help = "number of workers, default 1"},
           {.name = "accelerators",
            .value_name = "N",
            .help = "accelerators of each worker, default 8"},
           {.name = "run-percent",
            .value_name = "N",
            .help = "true run time in percent of the declared, default 100"},
           {.name = "checkpoint-ms",
            .value_name = "N",
            .help = "time of a checkpoint, default 500"},
           {.name = "fault",
            .value_name = "NAME",
            .help = "none, fail, lag, freeze or vanish from the start"},
           {.name = "fault-workers",
            .value_name = "N",
            .help = "only the first N workers show --fault"},
           {.name = "control",
            .value_name = "IP:PORT",
            .help = "serve GET /status and POST /faults here"},
           {.name = "run-for-ms",
            .value_name = "N",
            .help = "stop after this time, default on SIGTERM only"}},
      .notes = "Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid input."};
}

struct Common {
  double run_factor = 1.0;
  base::Duration checkpoint_time{0};
  // Later starts of the same worker have a higher incarnation.
  std::int64_t incarnation = 0;
};

base::Result<Common> ReadCommon(const tools::CommandLine& line) {
  const auto percent = TRY(line.Integer("run-percent", 100, 1, 100'000));
  const auto checkpoint = TRY(line.Integer("checkpoint-ms", 500, 0, 600'000));
  return Common{.run_factor = static_cast<double>(percent) / 100.0,
                .checkpoint_time = std::chrono::milliseconds(checkpoint),
                .incarnation = base::WallClockNow().count()};
}

std::vector<std::string> ServersOf(
    const cluster::ClusterConfiguration& configuration,
    const base::DomainId& domain) {
  std::vector<std::string> servers;
  for (const auto& host : configuration.hosts) {
    if (host.domain == domain)
      servers.push_back(host.control_http);
  }
  return servers;
}

bool IsWanted(const tools::CommandLine& line, const std::string& domain) {
  const auto wanted = line.All("domain");
  return wanted.empty() ||
         std::find(wanted.begin(), wanted.end(), domain) != wanted.end();
}

base::Result<std::vector<WorkerAgent::Options>> FromConfiguration(
    const tools::CommandLine& line,
    const Common& common) {
  const auto configuration =
      TRY(settings::LoadClusterConfiguration(*line.ValueOf("configuration")));
  std::vector<WorkerAgent::Options> workers;
  for (const auto& domain : configuration.domains) {
    if (!IsWanted(line, domain.id.value()))
      continue;
    const auto servers = ServersOf(configuration, domain.id);
    for (const auto& rack : domain.racks) {
      for (int i = 1; i <= rack.workers; ++i) {
        workers.push_back(
            {.worker = {.id = rack.id.value() + "-w" + std::to_string(i),
                        .domain = domain.id.value(),
                        .rack = rack.id.value(),
                        .cores = rack.cores_per_worker,
                        .memory_megabytes = rack.memory_megabytes_per_worker,
                        .accelerators = rack.accelerators_per_worker,
                        .incarnation = common.incarnation,
                        .run_factor = common.run_factor,
                        .checkpoint_time = common.checkpoint_time},
             .servers = servers});
      }
    }
  }
  return workers;
}

base::Result<std::vector<WorkerAgent::Options>> FromFlags(
    const tools::CommandLine& line,
    const Common& common) {
  const auto count = TRY(line.Integer("workers", 1, 1, 10'000));
  const auto accelerators = TRY(line.Integer("accelerators", 8, 0, 1024));
  std::vector<WorkerAgent::Options> workers;
  const std::string rack = line.ValueOr("rack", "");
  for (std::int64_t i = 1; i <= count; ++i) {
    workers.push_back(
        {.worker = {.id = rack + "-w" + std::to_string(i),
                    .domain = line.ValueOr("domain", ""),
                    .rack = rack,
                    .accelerators = static_cast<int>(accelerators),
                    .incarnation = common.incarnation,
                    .run_factor = common.run_factor,
                    .checkpoint_time = common.checkpoint_time},
         .servers = line.All("server")});
  }
  return workers;
}

base::Result<std::vector<WorkerAgent::Options>> ReadWorkers(
    const tools::CommandLine& line) {
  const Common common = TRY(ReadCommon(line));
  if (line.Has("configuration"))
    return FromConfiguration(line, common);
  return FromFlags(line, common);
}

// All agents of the process. Agents are used on the loop only.
class Process {
 public:
  Process(const std::vector<WorkerAgent::Options>& workers,
          std::shared_ptr<base::EventLog> log)
      : log_(std::move(log)) {
    for (const auto& worker : workers) {
      agents_.push_back(
          std::make_shared<WorkerAgent>(worker, client_, loop_, *log_));
    }
  }

  void Start() {
    loop_.ScheduleEvery(kTick, [this] {
      const base::Instant now = base::MonotonicClock::now();
      for (const auto& agent : agents_)
        agent->Tick(now);
    });
  }

  std::optional<int> SetFault(const standin::FaultRequest& request) {
    const auto fault = standin::ParseWorkerFault(request.fault);
    if (!fault)
      return std::nullopt;
    log_->Info(base::EventNumber::kStandinFaultSet,
               {{"worker", request.id}, {"fault", request.fault}});
    return net::RunOnLoop(loop_, [&] {
      int count = 0;
      for (const auto& agent : agents_) {
        if (request.id == "*" || request.id == agent->model().options().id) {
          agent->SetFault(*fault, request.duration,
                          base::MonotonicClock::now());
          ++count;
        }
      }
      return count;
    });
  }

  void SetFirstFaults(standin::WorkerFault fault, std::int64_t workers) {
    net::RunOnLoop(loop_, [&] {
      for (const auto& agent : agents_) {
        if (workers-- > 0)
          agent->SetFault(fault, std::nullopt, base::MonotonicClock::now());
      }
      return 0;
    });
  }

  settings::Value Status() {
    return net::RunOnLoop(loop_, [this] {
      settings::Value list = settings::Value::Sequence();
      for (const auto& agent : agents_)
        list.items.push_back(StatusOf(*agent));
      return settings::Value::Mapping().Add("workers", std::move(list));
    });
  }

  // Waits for calls in flight, so that no answer is lost.
  void Stop() {
    // Longer than a call to a control process that does not answer.
    constexpr int kTicks = 600;
    for (int i = 0; i < kTicks; ++i) {
      const bool busy = net::RunOnLoop(loop_, [this] {
        bool any = false;
        for (const auto& agent : agents_) {
          agent->Stop(base::MonotonicClock::now());
          any |= agent->in_flight();
        }
        return any;
      });
      if (!busy)
        break;
      std::this_thread::sleep_for(kTick);
    }
    loop_.Stop();
  }

 private:
  static settings::Value StatusOf(const WorkerAgent& agent) {
    using settings::Value;
    const standin::WorkerCounts& counts = agent.model().counts();
    return Value::Mapping()
        .Add("id", Value::Text(agent.model().options().id))
        .Add("registered", Value::Boolean(agent.registered()))
        .Add("epoch", Value::Number(agent.model().epoch()))
        .Add("running", Value::Number(static_cast<std::int64_t>(
                            agent.model().running_tasks())))
        .Add("started", Value::Number(counts.started))
        .Add("finished", Value::Number(counts.finished))
        .Add("failed", Value::Number(counts.failed))
        .Add("expired_leases", Value::Number(counts.expired_leases))
        .Add("refused_epochs", Value::Number(counts.refused_epochs))
        .Add("repeated_directives", Value::Number(counts.repeated_directives));
  }

  std::shared_ptr<base::EventLog> log_;
  net::HttpClient client_;
  Agents agents_;
  // Stopped before the agents go.
  net::EventLoop loop_;
};

base::Result<std::monostate> CheckWorkers(
    const std::vector<WorkerAgent::Options>& workers) {
  for (const auto& options : workers) {
    const bool servers_valid =
        !options.servers.empty() &&
        std::all_of(options.servers.begin(), options.servers.end(),
                    [](const auto& text) { return settings::IsAddress(text); });
    if (!servers_valid || !settings::IsId(options.worker.rack) ||
        !settings::IsId(options.worker.domain)) {
      return base::Fail(base::ErrorCode::kInvalidArgument, "read options",
                        options.worker.id,
                        "a worker needs --server IP:PORT, --domain and --rack, "
                        "or --configuration");
    }
  }
  if (workers.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "read options", "",
                      "no worker matches --domain");
  }
  return std::monostate();
}

base::Result<tools::ExitCode> Run(const tools::CommandLine& line,
                                  tools::StopSignal& signal) {
  const auto workers = TRY(ReadWorkers(line));
  TRY(CheckWorkers(workers));
  const auto fault = standin::ParseWorkerFault(line.ValueOr("fault", "none"));
  const auto fault_workers =
      TRY(line.Integer("fault-workers", 10'000, 0, 10'000));
  const auto run_for = TRY(line.Integer("run-for-ms", 0, 0, 86'400'000));
  if (!fault) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "read --fault", "",
                      "must be none, fail, lag, freeze or vanish");
  }
  const auto log =
      TRY(base::EventLog::create({.process = "standin-worker", .host = "-"}));
  Process process(workers, log);
  if (*fault != standin::WorkerFault::kNone)
    process.SetFirstFaults(*fault, fault_workers);
  std::unique_ptr<net::HttpServer> control;
  if (const auto address = line.ValueOf("control")) {
    control = TRY(standin::StartControlServer(
        *address,
        {.set_fault =
             [&](const auto& request) { return process.SetFault(request); },
         .status = [&] { return process.Status(); },
         .executions = {}}));
  }
  process.Start();
  log->Info(base::EventNumber::kProcessStarted, {{"workers", workers.size()}});
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
