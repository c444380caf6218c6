// A job whose cancelling was acknowledged starts when the node that stood still
// passes its submission on.
#include "case.hpp"

using namespace review;

namespace {

constexpr int kFreezeMs = 5000;

bool Broken() {
  Deployment system(4, 9, {"zone-a", "zone-b", "zone-c", "zone-d"});
  Platform& platform = system.platform();
  system.Begin(Manifest(3, {Route("r-1", kHost, kPrefix, "svc", 1)}, {"svc"},
                        kTenant, kKey));
  system.AddWorker("i-1", "svc", "zone-a", "r1-1");
  system.AddWorker("i-2", "svc", "zone-b", "r2-1");
  system.AwaitReady();
  const Consumer consumer(kHost, kPrefix, kKey);
  const Capacity task{.cpu = 8000, .memory_mb = 4096, .gpu = 1};
  const std::string id = NewId();
  system.fleet().Expect(id, {.capacity = task, .work_ms = 2000});

  if (WithTrouble())
    platform.Freeze(Platform::FrontName(0));
  const std::int64_t frozen_at = NowMs();
  // The consumer leaves before its deadline and cancels what it has sent.
  consumer.Submit(platform.front(0), id, JobBody(1, task, 2000), 1000);
  std::int64_t cancelled_at = 0;
  for (int i = 0; i < 5 && cancelled_at == 0; ++i) {
    const int status = consumer.Cancel(platform.front(1), id).status;
    if (status == 410 || (status >= 200 && status < 300))
      cancelled_at = NowMs();
  }
  if (cancelled_at == 0)
    CannotRun("the cancelling was not acknowledged");
  SleepMs(frozen_at + kFreezeMs - NowMs());
  if (WithTrouble())
    platform.Thaw(Platform::FrontName(0));
  SleepMs(6000);
  consumer.Read(platform.front(1), id);
  bool broken = false;
  for (const RunEvent& event : system.fleet().Runs()) {
    if (event.started_ms > cancelled_at + platform.bounds().cancel_ms) {
      Log("a task started " + std::to_string(event.started_ms - cancelled_at) +
          " ms after the cancelling was acknowledged");
      broken = true;
    }
  }
  return broken;
}

}  // namespace

int main(int count, char** arguments) {
  return RunCase(count, arguments, Broken);
}
