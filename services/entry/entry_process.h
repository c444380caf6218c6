#ifndef WIGEONSTAIR_SERVICES_ENTRY_ENTRY_PROCESS_H_
#define WIGEONSTAIR_SERVICES_ENTRY_ENTRY_PROCESS_H_

#include <memory>
#include <variant>

#include "base/result.h"
#include "net/address.h"
#include "settings/process_settings.h"
#include "tools/service_program.h"

namespace wigeonstair::entry {

// The entry process with its sockets and threads.
class EntryProcess final : public tools::RunningService {
 public:
  static base::Result<std::unique_ptr<EntryProcess>> create(
      const settings::ProcessSettings& settings);
  ~EntryProcess() override;
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // The address on which callers are served, with the port actually bound.
  net::Address address() const;

  void ReloadCertificate() override;
  // Refuses new requests, waits for those in progress and closes the servers.
  // Fails with kTimeout if requests are still in progress after the drain
  // timeout from the settings.
  base::Result<std::monostate> Drain() override;

 private:
  struct Implementation;
  explicit EntryProcess(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_ENTRY_PROCESS_H_
