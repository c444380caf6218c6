#include "case.hpp"

#include <cstdio>
#include <exception>
#include <iostream>
#include <random>

namespace review {

int RunCase(int count, char** arguments, const std::function<bool()>& broken) {
  if (count < 2) {
    std::cerr << "usage: " << arguments[0] << " RECORD\n";
    return 2;
  }
  Record::Get().Open(arguments[1]);
  Log(std::string("trouble: ") + (WithTrouble() ? "yes" : "no"));
  try {
    const bool result = broken();
    Log(result ? "result: the rule is broken" : "result: the rule held");
    std::cout << (result ? "the rule is broken\n" : "the rule held\n");
    return result ? 1 : 0;
  } catch (const std::exception& error) {
    Log(std::string("result: the test could not run: ") + error.what());
    std::cerr << error.what() << "\n";
    return 2;
  }
}

std::string NewId() {
  static std::mt19937_64 random{std::random_device{}()};
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

std::string JobBody(int count,
                    const Capacity& task,
                    int estimate_ms,
                    const std::string& more) {
  std::string body =
      "{\"Spec\":\"work\",\"Steps\":[{\"Count\":" + std::to_string(count);
  if (task.cpu > 0)
    body += ",\"Cpu\":" + std::to_string(task.cpu);
  if (task.memory_mb > 0)
    body += ",\"MemMb\":" + std::to_string(task.memory_mb);
  if (task.gpu > 0)
    body += ",\"Gpu\":" + std::to_string(task.gpu);
  return body + ",\"EstimateMs\":" + std::to_string(estimate_ms) + more + "}]}";
}

Deployment::Deployment(int cores,
                       int fronts,
                       std::vector<std::string> zones,
                       Bounds bounds)
    : platform_(cores, fronts, std::move(zones), bounds), fronts_(fronts) {}

void Deployment::Begin(const std::string& manifest) {
  platform_.Start();
  if (!platform_.Order("POST", "/-/config/put", manifest, 0, 15000))
    CannotRun("the first manifest was not acknowledged");
}

void Deployment::AddWorker(const std::string& id,
                           const std::string& service,
                           const std::string& zone,
                           const std::string& rack,
                           Capacity capacity,
                           std::vector<std::string> controls,
                           std::string ip,
                           LateStarts* late_starts,
                           bool cut) {
  if (controls.empty()) {
    for (int i = 0; i < platform_.cores(); ++i)
      controls.push_back(platform_.control(i));
  }
  workers_.push_back(std::make_unique<Worker>(
      WorkerOptions{.id = id,
                    .service = service,
                    .zone = zone,
                    .rack = rack,
                    .capacity = capacity,
                    .controls = std::move(controls),
                    .late_starts = late_starts,
                    .cut = cut},
      fleet_, ip.empty() ? platform_.NewIp() : std::move(ip),
      platform_.bounds().hold_max_ms));
}

void Deployment::AwaitReady() {
  for (int i = 0; i < fronts_; ++i) {
    const std::string front = platform_.front(i);
    const std::string ready = front.substr(0, front.rfind(':')) + ":18523";
    if (!WaitFor(10000, [&] {
          return Call(ready, "GET", "/-/ready", {}, "", 1000).status == 200;
        })) {
      CannotRun("a node is not ready");
    }
  }
  AwaitNewWorkers(static_cast<int>(workers_.size()));
  // The first lists.
  SleepMs(1000);
}

void Deployment::AwaitNewWorkers(int count) {
  for (std::size_t i = workers_.size() - static_cast<std::size_t>(count);
       i < workers_.size(); ++i) {
    if (!WaitFor(10000, [&] { return workers_[i]->reports() > 0; }))
      CannotRun("a worker was not acknowledged");
  }
}

int Deployment::Leader() {
  for (const auto& worker : workers_) {
    const int core = platform_.LeaderOf(worker->heartbeat_address());
    if (core >= 0)
      return core;
  }
  CannotRun("the leader is not known");
}

}  // namespace review
