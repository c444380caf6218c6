#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_VOTER_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_VOTER_H_

#include <cstdint>
#include <optional>

#include "authority/messages.h"
#include "authority/planted_fault.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"

namespace wigeonstair::authority {

// The vote of one host. It is given to one host at a time, for the length of a
// lease, and each epoch is voted for only once.
class Voter {
 public:
  // A host that restarts has lost its votes, so it gives none before
  // `start` + `wait`, when all of them have run out.
  Voter(base::Duration lease,
        base::Instant may_vote,
        std::int64_t first_epoch,
        PlantedFault fault);

  // Votes, or for a probe says whether it would. The request's list version is
  // compared with the one applied here.
  LeaseAnswer Answer(const LeaseRequest& request, base::Instant now);
  void Release(const base::HostId& host, std::int64_t epoch);
  // A list was applied.
  void RaiseListVersion(std::uint64_t version);
  // A worker has seen this epoch.
  void RaiseWorkerEpoch(std::int64_t epoch);

  std::uint64_t version() const { return version_; }
  // The highest epoch voted for or seen by a worker.
  std::int64_t seen_epoch() const;
  // Whether a host other than `host` has this vote now.
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
  // Empty after a release.
  base::HostId voted_for_;
  base::Instant voted_until_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_VOTER_H_
