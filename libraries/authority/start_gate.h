#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_START_GATE_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_START_GATE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include "authority/planted_fault.h"
#include "base/monotonic_clock.h"

namespace wigeonstair::authority {

enum class StartVerdict : std::uint8_t {
  kMayStart,
  kNoLease,
  // The domain is not in the configuration that this host has applied.
  kNotConfigured,
  kDomainOut,
  kTakenOutLocally,
  kAutonomyRunOut,
  // The task table is not yet rebuilt from the workers' reports.
  kRecovering,
};
std::string_view StartVerdictName(StartVerdict verdict);

// What this host knows when a task is about to start.
struct StartConditions {
  // Service::HeldEpoch() at the instant of the decision.
  std::optional<std::int64_t> held_epoch;
  bool configured = false;
  bool domain_in = false;
  // Revision of the last status command for the domain in the cluster log.
  std::uint64_t domain_revision = 0;
  // Empty means without limit.
  std::optional<base::Duration> autonomy;
  // When this host last had applied all that the leader of the cluster log had
  // committed, on this host's clock. A contact that did not bring the committed
  // entries does not count. Empty when there was none since the start.
  std::optional<base::Instant> last_log_contact;
  bool recovered = false;
};

// Decides whether the domain's authority may start a task. Keeps a local
// take-out until the log has a newer command for the domain. Not thread-safe.
class StartGate {
 public:
  explicit StartGate(PlantedFault fault = PlantedFault::kNone)
      : fault_(fault) {}

  // An operator has called this host, or another host of the domain that passed
  // the call on. `known_revision` is the domain_revision known at the call.
  void TakeOutLocally(std::uint64_t known_revision);
  // Ends the local take-out when `domain_revision` is newer.
  void ObserveRevision(std::uint64_t domain_revision);
  bool taken_out_locally() const {
    return local_take_out_revision_.has_value();
  }

  StartVerdict Decide(const StartConditions& conditions,
                      base::Instant now) const;

 private:
  bool LocallyOut(std::uint64_t domain_revision) const {
    return local_take_out_revision_ &&
           domain_revision <= *local_take_out_revision_;
  }

  PlantedFault fault_;
  std::optional<std::uint64_t> local_take_out_revision_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_START_GATE_H_
