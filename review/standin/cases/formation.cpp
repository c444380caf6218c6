#include <string>

#include "cases.hpp"

namespace review {

int Formation(bool trouble) {
  InstallationOptions options = TwoTenants(1);
  options.schedulers_later = true;
  Installation here(options);
  // The machines start within 0.3 s of each other, in any order.
  here.StartProgram("core-2");
  Sleep(200);
  if (trouble)
    here.Kill("core-2");
  here.StartProgram("core-0");
  here.StartProgram("core-1");
  Sleep(3000);
  if (trouble) {
    here.WillRestart("core-2", true);
    here.StartProgram("core-2");
  }
  const double back = Seconds();
  for (int i = 0; Seconds() < back + 60; ++i) {
    if (here.Ask("POST", "/-/config/put", here.ManifestOf(7), i % 3).status ==
        200)
      return kHeld;
    Sleep(300);
  }
  return kBroken;
}

}  // namespace review
