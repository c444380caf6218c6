#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_VOTER_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_VOTER_H_

#include <cstdint>
#include <optional>

#include "authority/messages.h"
#include "authority/planted_fault.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"

namespace wigeonstair::authority {

// The vote of one host. It is given to one host at a time, for the duration of
// a lease, and a new candidate gets it only for an epoch above all former ones.
class Voter {
 public:
  // Votes are not stored, so a restarted host gives none before `may_vote`,
  // when all votes from before the restart have expired. Only epochs above
  // `first_epoch` get a vote.
  Voter(base::Duration lease,
        base::Instant may_vote,
        std::int64_t first_epoch,
        PlantedFault fault);

  // Gives or refuses the vote; a probe only learns which it would be. A request
  // under an older member list than the one applied here is refused.
  LeaseAnswer Answer(const LeaseRequest& request, base::Instant now);
  // Ends the vote for `host` in `epoch`, if that is the current one.
  void Release(const base::HostId& host, std::int64_t epoch);
  // This host has applied the member list of this version.
  void RaiseListVersion(std::uint64_t version);
  // A worker has reported this epoch.
  void RaiseWorkerEpoch(std::int64_t epoch);

  // The newest member list version applied or voted under.
  std::uint64_t version() const { return version_; }
  // The highest epoch voted for or reported by a worker.
  std::int64_t seen_epoch() const;
  // Whether a vote for a host other than `host` is valid at `now`.
  bool VotedForOther(const base::HostId& host, base::Instant now) const;
  base::Instant may_vote() const { return may_vote_; }

 private:
  LeaseAnswer Evaluate(const LeaseRequest& request, base::Instant now) const;

  base::Duration lease_;
  base::Instant may_vote_;
  PlantedFault fault_;
  std::uint64_t version_ = 0;
  std::int64_t voted_epoch_ = 0;
  std::int64_t worker_epoch_ = 0;
  // Empty before the first vote and after a release.
  base::HostId voted_for_;
  base::Instant voted_until_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_VOTER_H_
