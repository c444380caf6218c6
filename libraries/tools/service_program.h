#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_PROGRAM_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_PROGRAM_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/result.h"
#include "settings/process_settings.h"
#include "tools/exit_code.h"

namespace wigeonstair::tools {

// A service that runs on its own threads until it is destroyed or the process
// ends.
class RunningService {
 public:
  virtual ~RunningService() = default;
  // Reads the certificate files again.
  virtual void ReloadCertificate() = 0;
  // Refuses new requests, waits for those in progress and writes out the log.
  // Fails with kTimeout when some were still in progress after the drain time.
  // The process may end without further calls when this returns.
  virtual base::Result<std::monostate> Drain() = 0;
};

using ServiceStarter =
    std::function<base::Result<std::unique_ptr<RunningService>>(
        const settings::ProcessSettings&)>;

struct ServiceProgram {
  std::string name;
  std::string version;
  std::string summary;
  ServiceStarter start;
};

// The main function of a service: reads --config FILE, checks the settings
// (and stops there with --check-config), runs the service until SIGTERM or
// SIGINT, drains it and ends the process. Returns only when the service did not
// start. SIGHUP reloads the certificate. Call it before any thread is started,
// because threads inherit the blocked signals.
ExitCode RunService(const ServiceProgram& program,
                    int argument_count,
                    char** arguments);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_PROGRAM_H_
