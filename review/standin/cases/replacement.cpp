#include <string>

#include "cases.hpp"

namespace review {

namespace {

constexpr int kRecoveryMs = 12'000;

}  // namespace

int Replacement(bool trouble) {
  Installation here(TwoTenants(1));
  if (!here.Begin())
    return kCannotRun;
  const std::string job = Installation::NewId();
  if (here.ConsumeAt("POST", kUrgent, "exporter", job,
                     Installation::Job(2000, 1), 0)
          .status != 200)
    return kCannotRun;
  // Planned: the new one first, then SIGTERM to the one that it replaces.
  here.AddScheduler(3);
  here.StartProgram("core-3");
  Sleep(6000);
  here.Terminate("core-0");
  // Longer than CatchUpS.
  Sleep(4200);
  if (trouble) {
    here.Kill("core-1");
    here.WillRestart("core-1", true);
    Sleep(1000);
    here.StartProgram("core-1");
  }
  Sleep(kRecoveryMs);
  bool has_manifest = false;
  bool has_job = false;
  for (int i = 0; i < 20 && !(has_manifest && has_job); ++i) {
    has_manifest = has_manifest ||
                   here.Ask("GET", "/-/config/get", "", 1 + i % 3).status == 200;
    has_job = has_job || here.ConsumeAt("GET", kUrgent, "exporter", job, "",
                                        i % 2)
                                 .status == 200;
    Sleep(1000);
  }
  return has_manifest && has_job ? kHeld : kBroken;
}

}  // namespace review
