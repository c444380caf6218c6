// An evacuation that was taken back comes into force again when a node that
// received its order goes on, and stays.
#include "case.hpp"

using namespace review;

namespace {

constexpr int kFreezeMs = 4000;
constexpr int kEvacuationMs = 2000;
constexpr char kZone[] = "zone-b";
constexpr char kRack[] = "r2-1";

bool Broken() {
  Deployment system(3, 1, {"zone-a", "zone-b", "zone-c"});
  Platform& platform = system.platform();
  system.Begin(Manifest(3, {Route("r-1", kHost, kPrefix, "svc", 1)}, {"svc"},
                        kTenant, kKey));
  system.AddWorker("i-a1", "svc", "zone-a", "r1-1");
  system.AddWorker("i-a2", "svc", "zone-a", "r1-1");
  system.AddWorker("i-b1", "svc", kZone, kRack);
  system.AddWorker("i-b2", "svc", kZone, kRack);
  system.AwaitReady();
  const Consumer consumer(kHost, kPrefix, kKey);
  const Capacity task{.cpu = 8000, .memory_mb = 4096, .gpu = 1};
  const auto submit = [&] {
    const std::string id = NewId();
    system.fleet().Expect(id, {.capacity = task, .work_ms = 500});
    if (consumer
            .Submit(
                platform.front(0), id,
                JobBody(1, task, 500,
                        std::string(",\"RequiredLabel\":\"") + kRack + "\""))
            .status != 200)
      CannotRun("a job was not accepted");
    return id;
  };
  const std::string first = submit();
  if (!WaitFor(5000, [&] { return system.fleet().StartsOf(first) > 0; }))
    CannotRun("the first job did not start");
  SleepMs(1500);

  const std::string path = std::string("/-/evacuate/") + kZone;
  const int leader = system.Leader();
  const int frozen = (leader + 1) % platform.cores();
  Log("the leader is " + Platform::CoreName(leader));
  // The operator calls the frozen node first, and then another one.
  if (WithTrouble())
    platform.Freeze(Platform::CoreName(frozen));
  const std::int64_t frozen_at = NowMs();
  if (!platform.Order("POST", path + "/start", "", frozen, 3000))
    CannotRun("the evacuation was not acknowledged");
  SleepMs(kEvacuationMs);
  if (!platform.Order("POST", path + "/end", "", leader, 3000))
    CannotRun("the end of the evacuation was not acknowledged");
  SleepMs(frozen_at + kFreezeMs - NowMs());
  if (WithTrouble())
    platform.Thaw(Platform::CoreName(frozen));
  // The core is stable again, and the node has caught up.
  SleepMs(platform.bounds().contact_ms + 4000);

  // A job for which only the workers of the zone are good.
  const std::string second = submit();
  const std::int64_t limit_ms = platform.bounds().finish_s * 1000 + 3000;
  const bool started =
      WaitFor(limit_ms, [&] { return system.fleet().StartsOf(second) > 0; });
  Log("job " + second +
      (started ? " has started"
               : " has not started after " + std::to_string(limit_ms) +
                     " ms, though the zone was taken back"));
  consumer.Read(platform.front(0), second);
  return !started;
}

}  // namespace

int main(int count, char** arguments) {
  return RunCase(count, arguments, Broken);
}
