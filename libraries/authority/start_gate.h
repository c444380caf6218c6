#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_START_GATE_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_START_GATE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include "authority/planted_fault.h"
#include "base/monotonic_clock.h"

namespace wigeonstair::authority {

// Whether a task may start, or the first condition that forbids it.
enum class StartVerdict : std::uint8_t {
  kMayStart,
  // This host does not hold the lease of the domain's authority.
  kNoLease,
  // The domain is not in the configuration that this host has applied.
  kNotConfigured,
  // The cluster log has taken the domain out of service.
  kDomainOut,
  // An operator has taken the domain out of service on a host of the domain.
  kTakenOutLocally,
  // The domain has been without contact to the cluster log for longer than its
  // configuration allows.
  kAutonomyRunOut,
  // The task table has not yet been rebuilt from the workers' reports.
  kRecovering,
};
std::string_view StartVerdictName(StartVerdict verdict);

// The state of this host when a task is about to start.
struct StartConditions {
  // Service::HeldEpoch() at the instant of the decision.
  std::optional<std::int64_t> held_epoch;
  // Whether the applied configuration contains the domain.
  bool configured = false;
  // Whether the domain is in service according to the cluster log.
  bool domain_in = false;
  // Revision of the last status command for the domain in the cluster log.
  std::uint64_t domain_revision = 0;
  // How long the domain may start tasks without contact to the cluster log.
  // Empty means without limit.
  std::optional<base::Duration> autonomy;
  // When this host last had applied every entry that the leader of the cluster
  // log had committed, by this host's clock. A contact that did not bring the
  // committed entries does not count. Empty when there was none since the start
  // of the process.
  std::optional<base::Instant> last_log_contact;
  // Whether the task table has been rebuilt from the workers' reports.
  bool recovered = false;
};

// Decides whether this host may start a task as the authority of its domain. A
// local take-out lasts until the cluster log has a newer status command for the
// domain. Not thread-safe.
class StartGate {
 public:
  explicit StartGate(PlantedFault fault = PlantedFault::kNone)
      : fault_(fault) {}

  // Takes the domain out of service at the request of an operator, received
  // here or passed on by another host of the domain. `known_revision` is the
  // `domain_revision` known at the time of the request.
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
  // The `known_revision` of the local take-out in effect, if there is one.
  std::optional<std::uint64_t> local_take_out_revision_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_START_GATE_H_
