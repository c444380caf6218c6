#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_PLANTED_FAULT_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_PLANTED_FAULT_H_

#include <cstdint>

namespace wigeonstair::authority {

// A mistake made on purpose, so that a test can show that its checks find it.
// For tests only; processes leave it at kNone.
enum class PlantedFault : std::uint8_t {
  kNone,
  // Grants a lease while another host's lease is not over.
  kGrantTwice,
  // A restarted host votes at once.
  kVoteAfterRestart,
  // Counts the lease from the arrival of the grant.
  kCountFromGrant,
  // Counts the whole lease, without the allowance for clock drift.
  kNoDriftAllowance,
  // Does not look at the clock when asked for the held epoch.
  kIgnoreExpiry,
  // Votes under an older member list than the one it has applied.
  kVoteUnderOldList,
  // Competes under a list while one that it need not overlap may be in use.
  kSkipRetirement,
  // Grants and acquires epochs that are not higher than those seen.
  kReuseEpoch,
  // A restarted host starts from epoch 0.
  kForgetEpoch,
  // Counts an unreachable host as stopped at once.
  kAssumeStopped,
  // Starts tasks although the autonomy has run out.
  kIgnoreAutonomy,
  // Starts tasks in a domain that is out.
  kIgnoreTakeOut,
  // Renews task leases by its own configuration, whatever others have applied.
  kIgnoreOtherRevisions,
  // A new authority waits for the task lease of its own configuration.
  kWaitForOwnLease,
  // Retires numbers of workers while leases that follow from them still run.
  kRetireAtOnce,
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_PLANTED_FAULT_H_
