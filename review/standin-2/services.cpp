// Whether the fleet is busy is told by the workers of all services together, so
// the load of one service keeps a gang of another one waiting for ever.
#include "case.hpp"

using namespace review;

namespace {

constexpr int kBusyWorkers = 12;
constexpr int kRacks = 4;

bool Broken() {
  Deployment system(3, 1, {"zone-a", "zone-b", "zone-c"});
  Platform& platform = system.platform();
  system.Begin(Manifest(3,
                        {Route("r-1", kHost, "/serve/", "serving", 1),
                         Route("r-2", kHost, "/batch/", "batch", 1)},
                        {"serving", "batch"}, kTenant, kKey));
  for (int i = 0; i < kBusyWorkers; ++i)
    system.AddWorker("i-s" + std::to_string(i), "serving", "zone-a", "s1-1");
  for (int i = 0; i < 2 * kRacks; ++i) {
    system.AddWorker("i-b" + std::to_string(i), "batch", "zone-b",
                     "b1-" + std::to_string(i / 2));
  }
  system.AwaitReady();
  const Consumer serving(kHost, "/serve/", kKey);
  const Consumer batch(kHost, "/batch/", kKey);
  const std::string lasts = ",\"LongRunning\":true";

  // A small task that lasts in each rack of the second service.
  const Capacity one{.cpu = 1000, .memory_mb = 1024, .gpu = 1};
  for (int rack = 0; rack < kRacks; ++rack) {
    const std::string id = NewId();
    system.fleet().Expect(id, {.capacity = one, .work_ms = -1});
    const std::string where =
        ",\"DataRack\":\"b1-" + std::to_string(rack) + "\"";
    if (batch
            .Submit(platform.front(0), id, JobBody(1, one, 1000, lasts + where))
            .status != 200)
      CannotRun("a job that lasts was not accepted");
    if (!WaitFor(10000, [&] { return system.fleet().StartsOf(id) == 1; }))
      CannotRun("a job that lasts did not start");
  }
  // Work comes to the first service. With a burst it fills it.
  const Capacity whole{.cpu = 8000, .memory_mb = 4096, .gpu = 8};
  // In 4 s five jobs come, or 2.4 times as many.
  const int jobs = WithTrouble() ? kBusyWorkers : 5;
  for (int i = 0; i < jobs; ++i) {
    const std::string id = NewId();
    system.fleet().Expect(id, {.capacity = whole, .work_ms = -1});
    serving.Submit(platform.front(0), id, JobBody(1, whole, 1000, lasts));
    SleepMs(4000 / jobs);
  }
  SleepMs(1000);
  // A gang of two, for which four workers have room.
  const std::string gang = NewId();
  system.fleet().Expect(gang, {.capacity = whole, .work_ms = 2000});
  if (batch
          .Submit(platform.front(0), gang,
                  JobBody(2, whole, 1000, ",\"Gang\":true,\"RackLocal\":true"))
          .status != 200)
    CannotRun("the gang was not accepted");
  const std::int64_t limit_ms = 30000;
  const std::int64_t submitted_at = NowMs();
  const bool started =
      WaitFor(limit_ms, [&] { return system.fleet().StartsOf(gang) >= 2; });
  Log(started ? "the gang started after " +
                    std::to_string(NowMs() - submitted_at) + " ms"
              : "the gang has not started after " + std::to_string(limit_ms) +
                    " ms");
  batch.Read(platform.front(0), gang);
  return !started;
}

}  // namespace

int main(int count, char** arguments) {
  return RunCase(count, arguments, Broken);
}
