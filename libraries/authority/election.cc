#include "authority/election.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace wigeonstair::authority {

namespace {

base::Duration AddDrift(const ElectionOptions& options) {
  return options.lease + options.lease * options.drift_percent / 100;
}

// The holder ends its lease earlier than its voters do, because its clock may
// be slow and theirs fast.
base::Duration HolderLease(const ElectionOptions& options) {
  if (options.fault == PlantedFault::kNoDriftAllowance)
    return options.lease;
  return options.lease - options.lease * options.drift_percent / 100;
}

}  // namespace

Election::Election(ElectionOptions options, base::Instant start)
    : options_(std::move(options)),
      random_(options_.seed),
      voter_(options_.lease,
             start + AddDrift(options_),
             options_.fault == PlantedFault::kForgetEpoch
                 ? 0
                 : options_.first_epoch,
             options_.fault),
      history_(AddDrift(options_)),
      held_until_(base::Instant::min()),
      // Random, so that a reply to an earlier run of this process matches no
      // request of this one.
      round_(random_.Next()) {}

ElectionOutput Election::Step(const ElectionEvent& event, base::Instant now) {
  now_ = now;
  output_ = {};
  if (phase_ == Phase::kHolding && !HeldEpoch(now_))
    LoseLease(LossReason::kExpired);
  history_.DropRetired(now_);
  std::visit([this](const auto& alternative) { Handle(alternative); }, event);
  return std::exchange(output_, {});
}

std::optional<std::int64_t> Election::HeldEpoch(base::Instant now) const {
  if (phase_ != Phase::kHolding)
    return std::nullopt;
  if (now >= held_until_ && options_.fault != PlantedFault::kIgnoreExpiry)
    return std::nullopt;
  return epoch_;
}

void Election::Handle(const TickEvent&) {
  switch (phase_) {
    case Phase::kIdle:
      TickIdle();
      break;
    case Phase::kProbing:
    case Phase::kAcquiring:
      TickAttempt();
      break;
    case Phase::kHolding:
      TickHolding();
      break;
  }
}

void Election::Handle(const Message& message) {
  // A host in none of the lists kept here was removed, or is new and repeats
  // its message until this host has applied its list.
  const base::HostId& sender = SenderOf(message);
  if (sender == options_.self || !history_.ListsHost(sender))
    return;
  std::visit([this](const auto& body) { HandleBody(body); }, message);
}

void Election::Handle(const MemberList& list) {
  if (!history_.Apply(list, now_))
    return;
  voter_.RaiseListVersion(list.version);
  history_.SawVersion(options_.self, list.version, now_);
  if (phase_ == Phase::kHolding && !history_.Contains(options_.self))
    LoseLease(LossReason::kRemoved);
  // Votes given under the former list do not count under the new one.
  if (phase_ == Phase::kProbing || phase_ == Phase::kAcquiring)
    ReturnToIdle();
}

void Election::Handle(const EpochSeenEvent& event) {
  if (event.epoch > kMaximumEpoch)
    return;
  voter_.RaiseWorkerEpoch(event.epoch);
  if (phase_ == Phase::kHolding && event.epoch > epoch_)
    LoseLease(LossReason::kFenced);
}

void Election::Handle(const ListAppliedEvent& event) {
  history_.SawVersion(event.host, event.version, now_);
}

void Election::Handle(const ReleaseEvent&) {
  if (phase_ == Phase::kHolding)
    LoseLease(LossReason::kReleased);
  if (phase_ != Phase::kIdle)
    ReturnToIdle();
  released_ = true;
}

void Election::HandleBody(const LeaseRequest& request) {
  // A probe asks for no vote, so its epoch may still be used by any host.
  if (request.purpose != RequestPurpose::kProbe)
    heard_epoch_ = std::max(heard_epoch_, request.epoch);
  history_.SawVersion(request.sender, request.list_version, now_);
  history_.SawRetired(request.retired_version);
  LeaseReply reply{.sender = options_.self,
                   .purpose = request.purpose,
                   .epoch = request.epoch,
                   .round = request.round};
  if (request.purpose == RequestPurpose::kAcquire && !ShouldYieldTo(request)) {
    reply.answer = LeaseAnswer::kTaken;
  } else {
    reply.answer = voter_.Answer(request, now_);
    if (reply.answer == LeaseAnswer::kGranted &&
        request.purpose != RequestPurpose::kProbe)
      StepDown();
  }
  if (request.purpose == RequestPurpose::kRenew)
    RecordHolder(request.sender, request.epoch);
  reply.list_version = voter_.version();
  reply.seen_epoch = voter_.seen_epoch();
  // Passes on only what the holder itself said. Otherwise hosts could keep a
  // dead holder known for ever by repeating it to each other.
  if (HeardHolderRecently()) {
    reply.holder = holder_->host;
    reply.holder_epoch = holder_->epoch;
  }
  output_.messages.push_back({.to = request.sender, .message = reply});
}

void Election::HandleBody(const LeaseReply& reply) {
  heard_epoch_ = std::max(heard_epoch_, reply.seen_epoch);
  history_.SawVersion(reply.sender, reply.list_version, now_);
  if (!reply.holder.empty() && reply.holder != options_.self &&
      phase_ != Phase::kHolding && !HeardHolderRecently()) {
    RecordHolder(reply.holder, reply.holder_epoch);
    holder_heard_directly_ = false;
  }
  if (reply.answer != LeaseAnswer::kGranted) {
    if (phase_ == Phase::kHolding && reply.epoch == epoch_ &&
        reply.answer == LeaseAnswer::kOldEpoch && reply.seen_epoch > epoch_)
      LoseLease(LossReason::kFenced);
    return;
  }
  const auto sent = sent_.find(reply.round);
  const bool current =
      phase_ != Phase::kIdle && reply.epoch == epoch_ && sent != sent_.end() &&
      (phase_ == Phase::kProbing) == (reply.purpose == RequestPurpose::kProbe);
  if (!current) {
    // The vote came too late to be of use. Releasing it lets the voter vote for
    // others.
    if (reply.purpose != RequestPurpose::kProbe &&
        (phase_ == Phase::kIdle || reply.epoch != epoch_)) {
      output_.messages.push_back(
          {.to = reply.sender,
           .message =
               LeaseRelease{.sender = options_.self, .epoch = reply.epoch}});
    }
    return;
  }
  base::Instant& vote = votes_[reply.sender];
  vote = std::max(vote, options_.fault == PlantedFault::kCountFromGrant
                            ? now_
                            : sent->second);
  CountVotes();
}

void Election::HandleBody(const LeaseRelease& release) {
  heard_epoch_ = std::max(heard_epoch_, release.epoch);
  voter_.Release(release.sender, release.epoch);
  if (holder_ && holder_->host == release.sender &&
      holder_->epoch <= release.epoch)
    holder_.reset();
}

bool Election::MayCompete() const {
  return !released_ && now_ >= voter_.may_vote() &&
         history_.Contains(options_.self) && MajoritiesOverlap() &&
         !voter_.VotedForOther(options_.self, now_) && !HeardHolderRecently();
}

bool Election::MajoritiesOverlap() const {
  return history_.MayCompete() ||
         options_.fault == PlantedFault::kSkipRetirement;
}

bool Election::HeardHolderRecently() const {
  return holder_ && holder_heard_directly_ &&
         now_ < holder_->last_heard + options_.lease;
}

void Election::StepDown() {
  if (phase_ == Phase::kHolding)
    LoseLease(LossReason::kFenced);
  else if (phase_ != Phase::kIdle)
    ReturnToIdle();
}

void Election::TickIdle() {
  if (!MayCompete()) {
    attempt_start_.reset();
    // The replies show which hosts have applied newer lists, and so which older
    // lists are retired.
    if (!released_ && history_.Contains(options_.self) &&
        !MajoritiesOverlap() && now_ >= next_send_) {
      SendRequests(RequestPurpose::kProbe);
    }
    return;
  }
  if (!attempt_start_)
    ScheduleAttempt();
  if (now_ >= *attempt_start_ || history_.current().hosts.size() == 1)
    BeginProbe();
}

void Election::TickAttempt() {
  if (now_ >= attempt_end_) {
    ReturnToIdle();
  } else if (now_ >= next_send_) {
    SendRequests(phase_ == Phase::kProbing ? RequestPurpose::kProbe
                                           : RequestPurpose::kAcquire);
  }
}

void Election::TickHolding() {
  RecordHolder(options_.self, epoch_);
  // Renews only after the lists under which a disjoint majority could vote are
  // retired.
  if (now_ < next_send_ || !MajoritiesOverlap())
    return;
  VoteForSelf(RequestPurpose::kRenew);
  SendRequests(RequestPurpose::kRenew);
  CountVotes();
}

void Election::BeginProbe() {
  phase_ = Phase::kProbing;
  attempt_start_.reset();
  epoch_ = std::max(heard_epoch_, voter_.seen_epoch()) + 1;
  if (options_.fault == PlantedFault::kReuseEpoch)
    epoch_ = voter_.seen_epoch();
  attempt_end_ = now_ + options_.attempt_timeout;
  votes_.clear();
  votes_[options_.self] = now_;
  SendRequests(RequestPurpose::kProbe);
  CountVotes();
}

void Election::BeginAcquire() {
  phase_ = Phase::kAcquiring;
  attempt_end_ = now_ + options_.attempt_timeout;
  votes_.clear();
  votes_[options_.self] = now_;
  SendRequests(RequestPurpose::kAcquire);
  CountVotes();
}

void Election::ReturnToIdle() {
  if (phase_ == Phase::kAcquiring || phase_ == Phase::kHolding)
    ReleaseVotes();
  phase_ = Phase::kIdle;
  held_until_ = base::Instant::min();
  votes_.clear();
  sent_.clear();
  ScheduleAttempt();
}

void Election::LoseLease(LossReason reason) {
  output_.changes.emplace_back(Lost{.epoch = epoch_, .reason = reason});
  if (holder_ && holder_->host == options_.self)
    holder_.reset();
  ReturnToIdle();
}

void Election::ReleaseVotes() {
  voter_.Release(options_.self, epoch_);
  SendToOthers(LeaseRelease{.sender = options_.self, .epoch = epoch_});
}

bool Election::ShouldYieldTo(const LeaseRequest& request) const {
  if (phase_ != Phase::kAcquiring)
    return true;
  // Of two hosts that acquire at the same time, the one with the lower epoch
  // yields, so that they do not block each other. The host id decides a tie.
  if (request.epoch != epoch_)
    return request.epoch > epoch_;
  return request.sender < options_.self;
}

void Election::CountVotes() {
  if (phase_ == Phase::kIdle || !MajoritySince())
    return;
  if (phase_ == Phase::kProbing) {
    BeginAcquire();
    return;
  }
  if (phase_ == Phase::kHolding) {
    ExtendLease();
    return;
  }
  // The own vote comes last, so that this host can vote for another until then.
  if (!VoteForSelf(RequestPurpose::kAcquire)) {
    ReturnToIdle();
    return;
  }
  const base::Instant until = *MajoritySince() + HolderLease(options_);
  if (now_ >= until) {
    ReturnToIdle();
    return;
  }
  phase_ = Phase::kHolding;
  held_until_ = until;
  // Renews at once, so that the other hosts learn of the holder.
  next_send_ = now_;
  RecordHolder(options_.self, epoch_);
  output_.changes.emplace_back(Acquired{.epoch = epoch_});
  SendRequests(RequestPurpose::kRenew);
}

void Election::ExtendLease() {
  // A majority that shares no host with this one may still vote under an older
  // list.
  if (!MajoritiesOverlap())
    return;
  if (const auto since = MajoritySince())
    held_until_ = std::max(held_until_, *since + HolderLease(options_));
}

bool Election::VoteForSelf(RequestPurpose purpose) {
  if (voter_.Answer(MakeRequest(purpose), now_) != LeaseAnswer::kGranted)
    return false;
  votes_[options_.self] = now_;
  return true;
}

void Election::RecordHolder(const base::HostId& host, std::int64_t epoch) {
  if (holder_ && holder_->epoch > epoch)
    return;
  holder_ = KnownHolder{.host = host, .epoch = epoch, .last_heard = now_};
  holder_heard_directly_ = true;
}

void Election::SendRequests(RequestPurpose purpose) {
  ++round_;
  sent_[round_] = now_;
  // A lease granted for an older request would have expired.
  std::erase_if(sent_, [this](const auto& entry) {
    return entry.second + options_.lease < now_;
  });
  next_send_ =
      now_ + (purpose == RequestPurpose::kRenew ? options_.renewal_interval
                                                : options_.resend_interval);
  SendToOthers(MakeRequest(purpose));
}

LeaseRequest Election::MakeRequest(RequestPurpose purpose) const {
  return {.sender = options_.self,
          .purpose = purpose,
          .epoch = epoch_,
          .round = round_,
          .list_version = history_.current().version,
          .retired_version = history_.retired_version()};
}

void Election::SendToOthers(const Message& message) {
  for (const base::HostId& host : history_.AllHosts()) {
    if (host != options_.self)
      output_.messages.push_back({.to = host, .message = message});
  }
}

void Election::ScheduleAttempt() {
  const auto bound = static_cast<std::uint64_t>(options_.start_jitter.count());
  attempt_start_ = now_ + base::Duration(random_.Below(bound));
}

std::optional<base::Instant> Election::MajoritySince() const {
  const MemberList& list = history_.current();
  std::vector<base::Instant> since;
  for (const auto& [host, sent] : votes_) {
    if (list.hosts.contains(host))
      since.push_back(sent);
  }
  if (since.size() < list.majority())
    return std::nullopt;
  std::sort(since.begin(), since.end(), std::greater<>());
  return since[list.majority() - 1];
}

}  // namespace wigeonstair::authority
