// The returns of all runs of a lost worker are one command of the log, and the
// log refuses commands above 1 MiB: with checkpoints of a few kilobytes the
// tasks of that worker never run again.
#include "case.hpp"

using namespace review;

namespace {

constexpr int kTasks = 300;
constexpr int kWorkMs = 100000;
// As many as a `Spec` may have.
constexpr std::size_t kCheckpointBytes = 4000;

bool Broken() {
  Deployment system(3, 1, {"zone-a", "zone-b", "zone-c"},
                    {.hold_max_ms = 6000, .stop_ms = 900});
  Platform& platform = system.platform();
  system.Begin(Manifest(3, {Route("r-1", kHost, kPrefix, "svc", 1)}, {"svc"},
                        kTenant, kKey));
  for (int i = 0; i < 8; ++i) {
    system.AddWorker("i-" + std::to_string(i), "svc",
                     i % 2 == 0 ? "zone-a" : "zone-b",
                     i % 2 == 0 ? "r1-1" : "r2-1");
  }
  system.AwaitReady();
  const Consumer consumer(kHost, kPrefix, kKey);
  const Capacity task{.cpu = 200, .memory_mb = 256, .gpu = 0};
  const std::string id = NewId();
  system.fleet().Expect(id, {.capacity = task,
                             .work_ms = kWorkMs,
                             .checkpoint_bytes = kCheckpointBytes});
  if (consumer
          .Submit(platform.front(0), id,
                  JobBody(kTasks, task, kWorkMs, ",\"Checkpointing\":true"))
          .status != 200)
    CannotRun("the job was not accepted");
  if (!WaitFor(8000, [&] { return system.fleet().StartsOf(id) == kTasks; }))
    CannotRun("the tasks did not start");
  SleepMs(5000);

  // The worker that runs the tasks crashes, and is lost for good.
  const std::string lost = system.fleet().Runs().front().worker;
  std::size_t there = 0;
  for (const auto& worker : system.workers()) {
    if (worker->options().id != lost)
      continue;
    there = worker->running();
    Log(lost + " runs " + std::to_string(there) + " tasks");
    if (WithTrouble())
      worker->End();
  }
  if (there != kTasks)
    CannotRun("the tasks are not on one worker");
  const std::int64_t lost_at = NowMs();
  // Its leases end within HoldMaxMs.
  SleepMs(platform.bounds().hold_max_ms + platform.bounds().finish_s * 1000 +
          6000);

  // Other work goes on.
  const std::string other = NewId();
  system.fleet().Expect(other, {.capacity = task, .work_ms = 500});
  consumer.Submit(platform.front(0), other, JobBody(1, task, 500));
  const bool served =
      WaitFor(5000, [&] { return system.fleet().StartsOf(other) > 0; });
  std::size_t running = 0;
  for (const RunEvent& run : system.fleet().Runs())
    running += run.task.rfind(id, 0) == 0 && run.ended_ms < 0 ? 1 : 0;
  Log(std::to_string(NowMs() - lost_at) + " ms later " +
      std::to_string(running) + " of " + std::to_string(kTasks) +
      " tasks of the job run; a job that came later " +
      (served ? "has started" : "has not started"));
  consumer.Read(platform.front(0), id);
  return running == 0;
}

}  // namespace

int main(int count, char** arguments) {
  return RunCase(count, arguments, Broken);
}
