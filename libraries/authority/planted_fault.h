#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_PLANTED_FAULT_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_PLANTED_FAULT_H_

#include <cstdint>

namespace wigeonstair::authority {

// A fault that tests inject to show that their checks detect it. Always kNone
// outside of tests.
enum class PlantedFault : std::uint8_t {
  kNone,
  // Votes for a host while the vote for another host is still valid.
  kGrantTwice,
  // Votes at once after a restart, although former votes may still be valid.
  kVoteAfterRestart,
  // Counts the lease from the receipt of the grant instead of from the sending
  // of the request.
  kCountFromGrant,
  // Counts the full lease duration, without the allowance for clock drift.
  kNoDriftAllowance,
  // Reports the held epoch without checking that the lease has not expired.
  kIgnoreExpiry,
  // Votes under an older member list than the one it has applied.
  kVoteUnderOldList,
  // Competes while an older member list may be in use whose majorities need not
  // share a host with those of the current list.
  kSkipRetirement,
  // Votes for and acquires epochs that are not higher than those seen.
  kReuseEpoch,
  // Starts from epoch 0 after a restart.
  kForgetEpoch,
  // Treats an unreachable host as stopped at once.
  kAssumeStopped,
  // Starts tasks although the autonomy limit of the domain has passed.
  kIgnoreAutonomy,
  // Starts tasks in a domain that is taken out of service.
  kIgnoreTakeOut,
  // Derives the task lease from the own configuration alone, although a host
  // that may become the authority may have applied an older one.
  kIgnoreOtherRevisions,
  // A new authority waits only for the task lease of its own configuration, not
  // for a longer one that a former authority may have granted.
  kWaitForOwnLease,
  // Retires worker counts while task leases derived from them may still run.
  kRetireAtOnce,
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_PLANTED_FAULT_H_
