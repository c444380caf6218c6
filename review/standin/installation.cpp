#include "installation.hpp"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>
#include <utility>

#include "record.hpp"
#include "worker.hpp"

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int kZones = 3;
constexpr int kGateways = 2;
constexpr char kHost[] = "klok.example";
constexpr char kPrefix[] = "/lots/";
constexpr char kKey[] = "d4a3hwrr6x73d3zji9n7";
constexpr char kService[] = "klokdienst";

constexpr std::uint16_t kControlPort = 18526;
constexpr std::uint16_t kFrontendPort = 18521;
constexpr std::uint16_t kReadyPort = 18523;
constexpr std::uint16_t kWorkerPort = 18080;
constexpr std::uint16_t kFirstInternalPort = 17000;

constexpr char kBounds[] =
    "\"Bounds\":{\"SeedLagS\":3,\"ContactMs\":3000,\"AckMs\":4000,"
    "\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":6,\"LossSlackMs\":200,"
    "\"ConfigApplyMs\":2000,\"EvacuateMs\":5000,\"RecoveryS\":12,"
    "\"HoldMaxMs\":6000,\"StopMs\":900,\"GangWaitMs\":3000,\"cancel_ms\":3000,"
    "\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,"
    "\"RemoteFactor\":3,\"FencingRequired\":true,\"LeaseMs\":3000}";

constexpr int kGraceMs = 6000;

std::string Manifest() {
  return std::string(
             "{\"Version\":7,\"Routes\":[{\"Name\":\"lots\",\"Host\":"
             "\"") +
         kHost + "\",\"PathPrefix\":\"" + kPrefix +
         "\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,"
         "\"CompletionTargetMs\":250,\"Priority\":0,\"Service\":\"" +
         kService +
         "\",\"MaxAttempts\":2,\"Stretch\":3.0}],\"Services\":[{\"Name\":\"" +
         kService +
         "\",\"AdmissionCheck\":true}],\"Limits\":{},\"Tenants\":[{\"Name\":"
         "\"house\",\"ApiKeys\":[\"" +
         kKey + "\"],\"Guaranteed\":{\"Gpu\":8}}]}";
}

std::mt19937_64& Random() {
  static std::mt19937_64 random(std::random_device{}());
  return random;
}

// A block of addresses that nobody uses.
std::string FreeBlock() {
  while (true) {
    const std::string block = "127." + std::to_string(20 + Random()() % 200) +
                              "." + std::to_string(1 + Random()() % 250);
    bool free = true;
    for (const std::uint16_t port :
         {kControlPort, kFrontendPort, kReadyPort, kWorkerPort,
          kFirstInternalPort, std::uint16_t{kFirstInternalPort + 1}}) {
      for (int last = 1; last < 64; ++last)
        free = free && IsFree({block + "." + std::to_string(last), port});
    }
    if (free)
      return block;
  }
}

// Starts `child` in a process that ends with this one.
template <typename Child>
pid_t Fork(Child child) {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid != 0)
    return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(2);
  // A program that ends by a signal would leave a file in the working folder.
  const rlimit no_core_file{.rlim_cur = 0, .rlim_max = 0};
  setrlimit(RLIMIT_CORE, &no_core_file);
  child();
  _exit(2);
}

}  // namespace

Installation::Installation(int workers_in_zone)
    : Installation(InstallationOptions{.workers_in_zone = workers_in_zone,
                                       .queues = {},
                                       .tenants = {}}) {}

Installation::Installation(InstallationOptions options)
    : options_(std::move(options)),
      workers_in_zone_(options_.workers_in_zone),
      block_(FreeBlock()) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(name.data());
  for (int i = 0; i < kZones; ++i) {
    WriteSettings(SchedulerName(i), Ip(1 + i), Zone(i),
                  "{\"Control\":\"" + Control(i).ToString() + "\"}", true);
    if (!options_.schedulers_later)
      StartProgram(SchedulerName(i));
  }
  for (int i = 0; i < kGateways; ++i) {
    const std::string ip = Ip(11 + i);
    WriteSettings(GatewayName(i), ip, Zone(i),
                  "{\"Frontend\":\"" + Address{ip, kFrontendPort}.ToString() +
                      "\",\"Ready\":\"" + Address{ip, kReadyPort}.ToString() +
                      "\"}",
                  true);
    StartProgram(GatewayName(i));
  }
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < workers_in_zone_; ++i)
      StartWorker(zone, i);
  }
}

Installation::~Installation() {
  for (const auto& [name, pid] : processes_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Installation::SchedulerName(int scheduler) {
  return "core-" + std::to_string(scheduler);
}

std::string Installation::GatewayName(int gateway) {
  return "front-" + std::to_string(gateway);
}

std::string Installation::Zone(int zone) {
  return std::vector<std::string>{"be-vla-hal", "be-vla-rum",
                                  "be-vla-lok"}[static_cast<std::size_t>(zone)];
}

Address Installation::Control(int scheduler) const {
  return {Ip(1 + scheduler), kControlPort};
}

bool Installation::IsCore(const std::string& name) {
  return name.starts_with("core");
}

void Installation::WriteSettings(const std::string& name,
                                 const std::string& ip,
                                 const std::string& zone,
                                 const std::string& listen,
                                 bool bootstrap) {
  const std::string data = DataFolder(name);
  std::filesystem::create_directory(data);
  std::string seeds;
  for (int i = 0; i < kZones; ++i)
    seeds +=
        std::string(i == 0 ? "" : ",") + "\"" + Control(i).ToString() + "\"";
  std::ofstream(folder_ + "/" + name + ".json")
      << "{\"NodeName\":\"" << name << "\",\"Ip\":\"" << ip << "\",\"Zone\":\""
      << zone << "\",\"ListenAddrs\":" << listen << ",\"InternalPorts\":["
      << kFirstInternalPort << "," << kFirstInternalPort + 15 << "],\"Seeds\":["
      << seeds << "],\"Bootstrap\":" << (bootstrap ? "true" : "false")
      << ",\"DataDir\":"
      << (IsCore(name) ? "\"" + data + "\"" : "null")
      << ",\"HeartbeatMs\":1500,\"FaultTolerance\":{\"Machines\":1,\"Zones\":1,"
         "\"Regions\":0},"
      << kBounds << "}";
}

void Installation::StartProgram(const std::string& name) {
  const std::string data = folder_ + "/" + name;
  Record("started " + name);
  const std::string program = IsCore(name) ? "target/bin/wigeonstair-scheduler"
                                           : "target/bin/wigeonstair-gateway";
  processes_[name] = Fork([&] {
    const int log =
        open((data + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("WIGEONSTAIR_SETTINGS", (data + ".json").c_str(), 1);
    execl(program.c_str(), program.c_str(), nullptr);
  });
}

void Installation::StartWorker(int zone, int number) {
  const int order = zone * workers_in_zone_ + number;
  const std::string id = "i-" + std::to_string(1000 + order);
  WorkerOptions options{.id = id,
                        .zone = Zone(zone),
                        .rack = "r" + std::to_string(zone),
                        .service = kService,
                        .address = {Ip(21 + order), kWorkerPort},
                        .control = {}};
  for (int i = 0; i < kZones; ++i)
    options.control.push_back(Control((zone + i) % kZones));
  workers_[id] = options.address;
  processes_[id] = Fork([&] { RunWorker(options); });
}

std::string Installation::DataFolder(const std::string& name) const {
  const auto found = data_.find(name);
  return found == data_.end() ? folder_ + "/" + name : found->second;
}

void Installation::WillRestart(const std::string& name, bool loses_disk) {
  const int number = std::stoi(name.substr(name.find('-') + 1));
  if (loses_disk)
    data_[name] = DataFolder(name) + "-empty";
  WriteSettings(name, Ip(1 + number), Zone(number % kZones),
                "{\"Control\":\"" + Control(number).ToString() + "\"}", false);
  if (loses_disk)
    Record("lost its disk " + name);
}

void Installation::AddScheduler(int number) {
  WriteSettings(SchedulerName(number), Ip(1 + number), Zone(number % kZones),
                "{\"Control\":\"" + Control(number).ToString() + "\"}", false);
}

void Installation::Terminate(const std::string& name) {
  const pid_t pid = processes_.at(name);
  processes_.erase(name);
  Record("SIGTERM to " + name);
  kill(pid, SIGTERM);
  for (int waited = 0; waited < kGraceMs; waited += 20) {
    if (waitpid(pid, nullptr, WNOHANG) == pid) {
      Record("ended " + name);
      return;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  Record("killed " + name);
}

std::string Installation::ManifestOf(int version, int idle_routes) const {
  std::string routes;
  const auto add = [&](const std::string& name, const std::string& prefix,
                       int priority) {
    routes += std::string(routes.empty() ? "" : ",") + "{\"Name\":\"" + name +
              "\",\"Host\":\"" + kHost + "\",\"PathPrefix\":\"" + prefix +
              "\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,"
              "\"CompletionTargetMs\":250,\"Priority\":" +
              std::to_string(priority) + ",\"Service\":\"" + kService +
              "\",\"MaxAttempts\":2,\"Stretch\":3.0,\"Public\":false}";
  };
  for (const Queue& queue : options_.queues)
    add(queue.name, queue.prefix, queue.priority);
  for (int i = 0; i < idle_routes; ++i)
    add("idle-" + std::to_string(i), "/idle" + std::to_string(i) + "/", 2);
  std::string tenants;
  for (const Tenant& tenant : options_.tenants) {
    tenants += std::string(tenants.empty() ? "" : ",") + "{\"Name\":\"" +
               tenant.name + "\",\"ApiKeys\":[\"" + tenant.name +
               "-key\"],\"Guaranteed\":{\"Gpu\":" +
               std::to_string(tenant.guaranteed_gpu) + "}}";
  }
  return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + routes +
         "],\"Services\":[{\"Name\":\"" + kService +
         "\",\"HealthPath\":\"/health\",\"MaxConnections\":64,\"Protocol\":"
         "\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0,"
         "\"AdmissionCheck\":true,\"Standby\":false}],\"Limits\":{"
         "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[" +
         tenants + "]}";
}

Response Installation::Ask(const std::string& method,
                           const std::string& path,
                           const std::string& body,
                           int scheduler,
                           int timeout_ms) {
  const Response response =
      Send(Control(scheduler), method, path, {"Host: control"}, body, timeout_ms);
  Record("operator was answered " + std::to_string(response.status) + " to " +
         method + " " + path + " by " + SchedulerName(scheduler));
  return response;
}

Response Installation::ConsumeAt(const std::string& method,
                                 const Queue& queue,
                                 const std::string& tenant,
                                 const std::string& job,
                                 const std::string& body,
                                 int gateway,
                                 int deadline_ms) {
  Record("consumer of " + tenant + " sends " + method + " " + job + " to " +
         queue.name + " at " + GatewayName(gateway) + " " + body);
  const Response response =
      Send({Ip(11 + gateway), kFrontendPort}, method, queue.prefix + job,
           {std::string("Host: ") + kHost,
            "Authorization: Bearer " + tenant + "-key",
            "X-Deadline-Ms: " + std::to_string(deadline_ms)},
           body, deadline_ms);
  Record("consumer of " + tenant + " was answered " +
         std::to_string(response.status) + " to " + method + " " + job +
         " by " + GatewayName(gateway) + " " + response.body);
  return response;
}

bool Installation::Operate(const std::string& path,
                           const std::string& body,
                           int scheduler) {
  for (int attempt = 0; attempt < 12; ++attempt) {
    const int node = (scheduler + attempt) % kZones;
    Record("operator sends " + path + " to " + SchedulerName(node));
    const Response response =
        Send(Control(node), "POST", path, {"Host: control"}, body, 1000);
    Record("operator was answered " + std::to_string(response.status) + " to " +
           path + " by " + SchedulerName(node));
    if (response.status >= 200 && response.status < 300)
      return true;
    if (response.status == 0)
      continue;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

Response Installation::Consume(const std::string& method,
                               const std::string& job,
                               const std::string& body,
                               int gateway,
                               int deadline_ms) {
  Record("consumer sends " + method + " " + job + " to " +
         GatewayName(gateway));
  const Response response =
      Send({Ip(11 + gateway), kFrontendPort}, method, kPrefix + job,
           {std::string("Host: ") + kHost,
            std::string("Authorization: Bearer ") + kKey,
            "X-Deadline-Ms: " + std::to_string(deadline_ms)},
           body, deadline_ms);
  Record("consumer was answered " + std::to_string(response.status) + " to " +
         method + " " + job + " by " + GatewayName(gateway) + " " +
         response.body);
  return response;
}

std::string Installation::Job(int works_ms, int gpu, int steps) {
  std::string list;
  for (int step = 0; step < steps; ++step) {
    list += std::string(step == 0 ? "" : ",") +
            "{\"Count\":1,\"Cpu\":2000,\"MemMb\":1024,\"Gpu\":" +
            std::to_string(gpu) + ",\"EstimateMs\":" + std::to_string(works_ms);
    if (step > 0)
      list += ",\"DependsOn\":[" + std::to_string(step - 1) + "]";
    list += "}";
  }
  return "{\"Spec\":\"" + std::to_string(works_ms) + "\",\"Steps\":[" + list +
         "]}";
}

std::string Installation::NewId() {
  char id[32];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(Random()()));
  return id;
}

bool Installation::Begin() {
  bool configured = false;
  for (int i = 0; i < 100 && !configured; ++i) {
    configured = Send(Control(i % kZones), "POST", "/-/config/put",
                      {"Host: control"},
                      options_.queues.empty() ? Manifest() : ManifestOf(7), 1000)
                     .status == 200;
    if (!configured)
      std::this_thread::sleep_for(milliseconds(100));
  }
  if (!configured)
    return false;
  Record("operator was answered 200 to /-/config/put");
  // Each worker reports within a heartbeat; then one is started on each.
  std::this_thread::sleep_for(milliseconds(4000));
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    if (Send({Ip(11 + gateway), kReadyPort}, "GET", "/-/ready", {"Host: ready"},
             "", 1000)
            .status != 200) {
      return false;
    }
  }
  Record("ready");
  return true;
}

void Installation::Freeze(const std::string& name) {
  kill(processes_.at(name), SIGSTOP);
  Record("frozen " + name);
}

void Installation::Thaw(const std::string& name) {
  kill(processes_.at(name), SIGCONT);
  Record("thawed " + name);
}

void Installation::Kill(const std::string& name) {
  const pid_t pid = processes_.at(name);
  processes_.erase(name);
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  Record("killed " + name);
}

void Installation::Tell(const std::string& worker, const std::string& command) {
  Send(workers_.at(worker), "POST", "/standin/" + command, {"Host: worker"}, "",
       1000);
}

void Installation::ListForeignRow(const std::string& worker) {
  kill(processes_.at(worker), SIGUSR1);
}

void Installation::ListForeignEnd(const std::string& worker) {
  kill(processes_.at(worker), SIGUSR2);
}

// The last one that took the lead, by the logs, leads.
int Installation::Follower() {
  int leader = 0;
  std::string latest;
  for (int i = 0; i < kZones; ++i) {
    std::ifstream log(folder_ + "/" + SchedulerName(i) + ".log");
    for (std::string line; std::getline(log, line);) {
      // Each line begins with its time.
      if (line.find("scheduler.leads") != std::string::npos && line > latest) {
        latest = line;
        leader = i;
      }
    }
  }
  Record("leads " + SchedulerName(leader));
  return (leader + 1) % kZones;
}

void Installation::Collect() {
  for (auto process = processes_.begin(); process != processes_.end();) {
    int status = 0;
    if (waitpid(process->second, &status, WNOHANG) != process->second) {
      ++process;
      continue;
    }
    Record("ended by itself " + process->first +
           (WIFSIGNALED(status)
                ? " by signal " + std::to_string(WTERMSIG(status))
                : " with " + std::to_string(WEXITSTATUS(status))));
    lost_.push_back(process->first);
    process = processes_.erase(process);
  }
}

bool Installation::HasLostProcess() {
  Collect();
  return !std::exchange(lost_, {}).empty();
}

std::vector<std::string> Installation::RestartLost() {
  Collect();
  const std::vector<std::string> lost = std::exchange(lost_, {});
  for (const std::string& name : lost) {
    std::this_thread::sleep_for(milliseconds(500));
    StartProgram(name);
    Record("restarted " + name);
  }
  return lost;
}

}  // namespace review
