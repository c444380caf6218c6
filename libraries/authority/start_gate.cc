#include "authority/start_gate.h"

#include <algorithm>

namespace wigeonstair::authority {

std::string_view StartVerdictName(StartVerdict verdict) {
  switch (verdict) {
    case StartVerdict::kMayStart:
      return "may_start";
    case StartVerdict::kNoLease:
      return "no_lease";
    case StartVerdict::kNotConfigured:
      return "not_configured";
    case StartVerdict::kDomainOut:
      return "domain_out";
    case StartVerdict::kTakenOutLocally:
      return "taken_out_locally";
    case StartVerdict::kAutonomyRunOut:
      return "autonomy_run_out";
    case StartVerdict::kRecovering:
      return "recovering";
  }
  return "unknown";
}

void StartGate::TakeOutLocally(std::uint64_t known_revision) {
  local_take_out_revision_ =
      std::max(local_take_out_revision_.value_or(0), known_revision);
}

void StartGate::ObserveRevision(std::uint64_t domain_revision) {
  if (!LocallyOut(domain_revision))
    local_take_out_revision_.reset();
}

StartVerdict StartGate::Decide(const StartConditions& conditions,
                               base::Instant now) const {
  if (!conditions.held_epoch)
    return StartVerdict::kNoLease;
  if (!conditions.configured)
    return StartVerdict::kNotConfigured;
  if (fault_ != PlantedFault::kIgnoreTakeOut) {
    if (!conditions.domain_in)
      return StartVerdict::kDomainOut;
    if (LocallyOut(conditions.domain_revision))
      return StartVerdict::kTakenOutLocally;
  }
  if (conditions.autonomy && fault_ != PlantedFault::kIgnoreAutonomy) {
    if (!conditions.last_log_contact ||
        now >= *conditions.last_log_contact + *conditions.autonomy)
      return StartVerdict::kAutonomyRunOut;
  }
  if (!conditions.recovered)
    return StartVerdict::kRecovering;
  return StartVerdict::kMayStart;
}

}  // namespace wigeonstair::authority
