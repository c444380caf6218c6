#include "authority/voter.h"

#include <algorithm>

namespace wigeonstair::authority {

Voter::Voter(base::Duration lease,
             base::Instant may_vote,
             std::int64_t first_epoch,
             PlantedFault fault)
    : lease_(lease),
      may_vote_(may_vote),
      fault_(fault),
      voted_epoch_(first_epoch),
      voted_until_(base::Instant::min()) {}

LeaseAnswer Voter::Answer(const LeaseRequest& request, base::Instant now) {
  const LeaseAnswer answer = Evaluate(request, now);
  if (answer != LeaseAnswer::kGranted ||
      request.purpose == RequestPurpose::kProbe)
    return answer;
  version_ = std::max(version_, request.list_version);
  voted_epoch_ = std::max(voted_epoch_, request.epoch);
  voted_for_ = request.sender;
  voted_until_ = now + lease_;
  return answer;
}

LeaseAnswer Voter::Evaluate(const LeaseRequest& request,
                            base::Instant now) const {
  if (now < may_vote_ && fault_ != PlantedFault::kVoteAfterRestart)
    return LeaseAnswer::kWaiting;
  if (request.list_version < version_ &&
      fault_ != PlantedFault::kVoteUnderOldList)
    return LeaseAnswer::kOldList;
  if (VotedForOther(request.sender, now))
    return LeaseAnswer::kTaken;
  if (fault_ == PlantedFault::kReuseEpoch)
    return LeaseAnswer::kGranted;
  // Two hosts may get a vote without a higher epoch. The host that had the vote
  // last may extend it, even after it expired, because no other host got it
  // since. The holder of the epoch that this host voted for may renew it, even
  // when the vote went to another candidate: that candidate gave up, as an
  // epoch has one holder. Neither holds when a worker has reported a higher
  // epoch, which is that of a later holder.
  const bool extends = request.epoch == voted_epoch_ &&
                       (request.sender == voted_for_ ||
                        request.purpose == RequestPurpose::kRenew) &&
                       request.epoch >= worker_epoch_;
  if (!extends && request.epoch <= seen_epoch())
    return LeaseAnswer::kOldEpoch;
  return LeaseAnswer::kGranted;
}

void Voter::Release(const base::HostId& host, std::int64_t epoch) {
  if (voted_for_ != host || voted_epoch_ != epoch)
    return;
  voted_for_ = {};
  voted_until_ = base::Instant::min();
}

void Voter::RaiseListVersion(std::uint64_t version) {
  version_ = std::max(version_, version);
}

void Voter::RaiseWorkerEpoch(std::int64_t epoch) {
  worker_epoch_ = std::max(worker_epoch_, epoch);
}

std::int64_t Voter::seen_epoch() const {
  return std::max(voted_epoch_, worker_epoch_);
}

bool Voter::VotedForOther(const base::HostId& host, base::Instant now) const {
  return fault_ != PlantedFault::kGrantTwice && !voted_for_.empty() &&
         voted_for_ != host && now < voted_until_;
}

}  // namespace wigeonstair::authority
