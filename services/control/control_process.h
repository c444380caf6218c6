#ifndef WIGEONSTAIR_SERVICES_CONTROL_CONTROL_PROCESS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_CONTROL_PROCESS_H_

#include <memory>
#include <variant>

#include "base/result.h"
#include "settings/process_settings.h"
#include "tools/service_program.h"

namespace wigeonstair::control {

// One running control process: its replicas, its part in the domain's
// authority and its HTTP interface. Threads run from create() to destruction.
class ControlProcess final : public tools::RunningService {
 public:
  static base::Result<std::unique_ptr<ControlProcess>> create(
      const settings::ProcessSettings& settings);
  ~ControlProcess() override;
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  // Reads the certificate files again. A failure is logged and the old
  // certificate stays in use.
  void ReloadCertificate() override;
  // Refuses new requests, gives leases and leadership away, finishes the
  // requests in progress and closes the HTTP server. Fails with kTimeout when
  // some were still in progress after the drain time of the settings.
  base::Result<std::monostate> Drain() override;

 private:
  struct Implementation;
  explicit ControlProcess(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_CONTROL_PROCESS_H_
