#include "tests/hostile_clients/platform_processes.h"

#include <unistd.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include "tests/hostile_clients/crowd.h"

namespace wigeonstair::hostile_clients {

namespace {

using end_to_end::ChildProcess;

constexpr std::chrono::minutes kPatience(2);
constexpr std::chrono::milliseconds kRetryTime(100);

// Far below the defaults, so that a small crowd exceeds them.
constexpr char kClientLimits[] =
    R"({"HeadBytes":8192,"BodyBytes":65536,"EmptyLineBytes":64,"Connections":64,"UnfinishedBytes":4194304})";
constexpr char kConfiguration[] =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/a/","Kind":"non_idempotent",)"
    R"("TimeoutMs":3000,"CompletionTargetMs":250,"Priority":0,"Service":"s","MaxAttempts":2,"Stretch":1.5}],)"
    R"("Services":[{"Name":"s"}],"Limits":{},"Tenants":[{"Name":"t","ApiKeys":["key-1"],"Guaranteed":{"Gpu":8}}]})";

bool RepeatUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(kRetryTime);
  }
  return true;
}

bool IsSuccess(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 200");
}

std::string Procfs(const ChildProcess& process, const std::string& name) {
  return "/proc/" + std::to_string(process.id()) + "/" + name;
}

}  // namespace

PlatformProcesses::PlatformProcesses() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wigeonstair-hostile-XXXXXX")
          .string();
  folder_ = mkdtemp(pattern.data());
  // Each instance has addresses of its own, since ports of the last one may
  // still be in use.
  static int instances = 0;
  const std::string block = "127." + std::to_string(20 + getpid() % 200) + "." +
                            std::to_string(++instances) + ".";
  control_ = {.ip = block + "1", .port = 18526};
  callers_ = {.ip = block + "2", .port = 18521};
  readiness_ = {.ip = block + "2", .port = 18523};
  scheduler_ = Start("scheduler", "wigeonstair-scheduler", control_.ip,
                     R"("Control":")" + control_.ToString() + "\"");
  gateway_ = Start("gateway", "wigeonstair-gateway", callers_.ip,
                   R"("Frontend":")" + callers_.ToString() + R"(","Ready":")" +
                       readiness_.ToString() + "\"");
  const std::string body = kConfiguration;
  const std::string put =
      "POST /-/config/put HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  INFO(Logs());
  REQUIRE(RepeatUntil([&] { return IsSuccess(Ask(control_, put)); }));
  REQUIRE(GatewayAnswers());
}

PlatformProcesses::~PlatformProcesses() {
  gateway_.reset();
  scheduler_.reset();
  std::filesystem::remove_all(folder_);
}

std::unique_ptr<ChildProcess> PlatformProcesses::Start(
    const std::string& name,
    const std::string& program,
    const std::string& ip,
    const std::string& listen) {
  const std::string base = folder_ + "/" + name;
  std::filesystem::create_directory(base);
  std::ofstream(base + ".json")
      << R"({"NodeName":")" << name << R"(","Ip":")" << ip
      << R"(","Zone":"z","ListenAddrs":{)" << listen
      << R"(},"InternalPorts":[17000,17015],"Seeds":[")" << control_.ToString()
      << R"("],"Bootstrap":true,"DataDir":")" << base
      << R"(","HeartbeatMs":1500,"FaultTolerance":{"Machines":0},)"
      << R"("Bounds":{"GraceS":2,"HoldMaxMs":6000,"GangWaitMs":3000},)"
      << R"("ClientLimits":)" << kClientLimits << "}\n";
  setenv("WIGEONSTAIR_SETTINGS", (base + ".json").c_str(), 1);
  return std::make_unique<ChildProcess>(program, std::vector<std::string>(),
                                        base + ".log");
}

bool PlatformProcesses::GatewayAnswers() const {
  return RepeatUntil([&] {
    return IsSuccess(
        Ask(callers_,
            "GET /a/ HTTP/1.1\r\nHost: h.example\r\n"
            "Authorization: Bearer key-1\r\nConnection: close\r\n\r\n"));
  });
}

bool PlatformProcesses::SchedulerAnswers() const {
  return RepeatUntil([&] {
    return IsSuccess(Ask(control_,
                         "GET /-/config/get HTTP/1.1\r\nHost: c\r\n"
                         "Connection: close\r\n\r\n"));
  });
}

std::string PlatformProcesses::Logs() const {
  std::stringstream text;
  for (const char* name : {"/scheduler.log", "/gateway.log"})
    text << std::ifstream(folder_ + name).rdbuf();
  return text.str();
}

bool IsRunning(const ChildProcess& process) {
  std::ifstream file(Procfs(process, "stat"));
  std::string id;
  std::string name;
  std::string state;
  file >> id >> name >> state;
  return file && state != "Z" && state != "X";
}

std::size_t PeakMemoryKilobytes(const ChildProcess& process) {
  std::ifstream file(Procfs(process, "status"));
  std::string word;
  while (file >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && file >> kilobytes)
      return kilobytes;
  }
  return 0;
}

std::size_t OpenDescriptors(const ChildProcess& process) {
  std::size_t count = 0;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(Procfs(process, "fd"), error)) {
    static_cast<void>(entry);
    ++count;
  }
  return count;
}

}  // namespace wigeonstair::hostile_clients
