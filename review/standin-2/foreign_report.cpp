// A status report of another writer, with fields missing and of another type,
// ends the runs of a sound worker in the system's books while they go on there,
// and their tasks start a second time elsewhere.
#include <algorithm>

#include "case.hpp"

using namespace review;

namespace {

constexpr int kTasks = 4;
constexpr int kWorkMs = 12000;

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool Broken() {
  Deployment system(3, 1, {"zone-a", "zone-b", "zone-c"});
  Platform& platform = system.platform();
  system.Begin(Manifest(3, {Route("r-1", kHost, kPrefix, "svc", 1)}, {"svc"},
                        kTenant, kKey));
  system.AddWorker("i-1", "svc", "zone-a", "r1-1");
  system.AddWorker("i-2", "svc", "zone-b", "r2-1");
  system.AwaitReady();
  const Consumer consumer(kHost, kPrefix, kKey);
  const Capacity task{.cpu = 8000, .memory_mb = 4096, .gpu = 1};
  const std::string id = NewId();
  system.fleet().Expect(id, {.capacity = task, .work_ms = kWorkMs});
  if (consumer.Submit(platform.front(0), id, JobBody(kTasks, task, kWorkMs))
          .status != 200)
    CannotRun("the job was not accepted");
  if (!WaitFor(5000, [&] { return system.fleet().StartsOf(id) == kTasks; }))
    CannotRun("the tasks did not start");
  SleepMs(2500);

  // Another writer tells about the worker that runs the tasks: without
  // `Version` and `ColdRemainingMs`, with `Slots` as a text, and with the time
  // of its own start as `born`.
  if (WithTrouble()) {
    const std::string runner = system.fleet().Runs().front().worker;
    const auto found = std::find_if(
        system.workers().begin(), system.workers().end(),
        [&](const auto& worker) { return worker->options().id == runner; });
    const WorkerOptions& options = (*found)->options();
    const std::string body =
        "{\"Service\":\"" + options.service + "\",\"Address\":\"" +
        (*found)->address() + "\",\"Zone\":\"" + options.zone +
        "\",\"Slots\":\"8\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":64000,"
        "\"MemMb\":262144,\"Gpu\":8},\"Labels\":[\"a\",\"" +
        options.rack + "\"],\"Seq\":1,\"born\":" + std::to_string(WallMs()) +
        "}";
    const Answer answer =
        Call(platform.control(0), "POST",
             "/-/instances/" + options.id + "/heartbeat", {}, body, 1000);
    Log("another writer: " + body + " -> " + std::to_string(answer.status));
  }
  SleepMs(kWorkMs - 2000);
  consumer.Read(platform.front(0), id);

  // Both workers were up all the while.
  bool broken = false;
  const std::vector<RunEvent> runs = system.fleet().Runs();
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t k = i + 1; k < runs.size(); ++k) {
      const RunEvent& first = runs[i];
      const RunEvent& second = runs[k];
      if (first.task != second.task ||
          (first.ended_ms >= 0 && first.ended_ms <= second.started_ms))
        continue;
      const std::int64_t until =
          std::min(first.ended_ms < 0 ? NowMs() : first.ended_ms,
                   second.ended_ms < 0 ? NowMs() : second.ended_ms);
      Log("task " + first.task + " runs on " + first.worker + " and on " +
          second.worker + " at the same time for " +
          std::to_string(until - second.started_ms) + " ms");
      broken = true;
    }
  }
  return broken;
}

}  // namespace

int main(int count, char** arguments) {
  return RunCase(count, arguments, Broken);
}
