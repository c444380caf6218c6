#include <algorithm>

#include "consensus/replica.h"

namespace wigeonstair::consensus {

void Replica::ResetElectionDeadline() {
  SetElectionDeadline(options_.timing.election_minimum,
                      options_.timing.election_maximum);
}

void Replica::SetElectionDeadline(base::Duration minimum,
                                  base::Duration maximum) {
  const auto spread = static_cast<std::uint64_t>((maximum - minimum).count());
  election_deadline_ =
      now() + minimum +
      base::Duration(static_cast<base::Duration::rep>(random_.Below(spread)));
}

// While this holds, the leader may still rely on this voter for its lease, so
// no vote is given. A restart forgets the last contact and counts as one.
bool Replica::HearsLeader() const {
  const base::Instant contact =
      std::max(started_at_, last_leader_contact_.value_or(started_at_));
  return now() < contact + options_.timing.election_minimum;
}

bool Replica::IsUpToDate(const VoteRequest& request) const {
  if (options_.fault == PlantedFault::kVoteForShortLog)
    return true;
  if (request.last_term != log_.last_term())
    return request.last_term > log_.last_term();
  return request.last_index >= log_.last_index();
}

void Replica::BecomeFollower(Term term, base::HostId leader) {
  if (term > hard_state_.term)
    SetHardState(term, {});
  if (leader_ != leader) {
    leader_ = std::move(leader);
    output_.status_changed = true;
  }
  if (role_ == Role::kForming || role_ == Role::kStopped)
    return;
  if (role_ == Role::kLeader)
    ResetElectionDeadline();
  SetRole(IsVoter() ? Role::kFollower : Role::kLearner);
}

void Replica::StartPreVote() {
  if (leader_ != base::HostId())
    output_.status_changed = true;
  leader_ = {};
  SetElectionDeadline(options_.timing.pre_vote_retry_minimum,
                      options_.timing.pre_vote_retry_maximum);
  if (!IsVoter() || log_.last_index() == 0)
    return;
  if (options_.fault == PlantedFault::kNoPreVote) {
    StartElection(VoteKind::kVote);
    return;
  }
  SetRole(Role::kPreCandidate);
  pre_vote_started_at_ = now();
  votes_ = {options_.host};
  RequestVotes(VoteKind::kPreVote, hard_state_.term + 1);
  CountVotes();
}

void Replica::StartElection(VoteKind kind) {
  SetRole(Role::kCandidate);
  leader_ = {};
  votes_.clear();
  SetHardState(hard_state_.term + 1, options_.host);
  own_vote_sequence_ = sequence_ + 1;
  SetElectionDeadline(options_.timing.vote_retry_minimum,
                      options_.timing.vote_retry_maximum);
  RequestVotes(kind, hard_state_.term);
}

void Replica::RequestVotes(VoteKind kind, Term term) {
  for (const Member& member : log_.members()) {
    if (member.role != MemberRole::kVoter || member.host == options_.host)
      continue;
    Send(member,
         VoteRequest{.kind = kind,
                     .election_term = term,
                     .last_index = log_.last_index(),
                     .last_term = log_.last_term()},
         Release::kAfterPersist);
  }
}

void Replica::CountVotes() {
  const auto granted = std::count_if(
      log_.members().begin(), log_.members().end(), [&](const Member& member) {
        return member.role == MemberRole::kVoter &&
               votes_.contains(member.host);
      });
  if (static_cast<std::size_t>(granted) < QuorumSize())
    return;
  if (role_ == Role::kPreCandidate) {
    StartElection(VoteKind::kVote);
  } else if (role_ == Role::kCandidate) {
    BecomeLeader();
  }
}

void Replica::BecomeLeader() {
  SetRole(Role::kLeader);
  leader_ = options_.host;
  leader_since_ = now();
  lease_forfeited_ = false;
  transfer_deadline_.reset();
  progress_.clear();
  SyncProgressWithMembers();
  term_start_index_ = AppendToLog(
      {.term = hard_state_.term, .kind = EntryKind::kNoOperation, .data = {}});
  ReplicateToAll();
}

// Of two voters that start at the same moment with equal logs, only the one
// with the higher host id goes on; otherwise both would split the vote. The
// rule ends with the shortest retry, so that a voter that cannot win blocks
// nobody.
bool Replica::IsAheadInPreVote(const Message& message,
                               const VoteRequest& request) const {
  return role_ == Role::kPreCandidate &&
         now() <
             pre_vote_started_at_ + options_.timing.pre_vote_retry_minimum &&
         request.last_term == log_.last_term() &&
         request.last_index == log_.last_index() &&
         message.from < options_.host;
}

Verdict Replica::JudgePreVote(const Message& message,
                              const VoteRequest& request) const {
  const bool grant = request.election_term > hard_state_.term &&
                     role_ != Role::kLeader && !HearsLeader() &&
                     IsUpToDate(request) && !IsAheadInPreVote(message, request);
  return grant ? Verdict::kGranted : Verdict::kRefused;
}

void Replica::HandlePayload(const Message& message,
                            const VoteRequest& request) {
  // An empty log never votes: it cannot know what was committed.
  if (role_ == Role::kForming || log_.last_index() == 0 || !has_disk())
    return;
  VoteReply reply{.kind = request.kind,
                  .election_term = request.election_term,
                  .verdict = Verdict::kRefused};
  if (request.kind == VoteKind::kPreVote) {
    reply.verdict = JudgePreVote(message, request);
    Reply(message, reply);
    return;
  }
  if (request.election_term < hard_state_.term) {
    Reply(message, reply);
    return;
  }
  const bool leader_is_alive = HearsLeader() || role_ == Role::kLeader;
  if (request.kind == VoteKind::kVote && leader_is_alive &&
      options_.fault != PlantedFault::kNoPreVote) {
    return;
  }
  if (request.election_term > hard_state_.term)
    BecomeFollower(request.election_term, {});
  const bool free_to_vote = hard_state_.vote.empty() ||
                            hard_state_.vote == message.from ||
                            options_.fault == PlantedFault::kVoteTwice;
  if (free_to_vote && IsUpToDate(request)) {
    SetHardState(hard_state_.term, message.from);
    ResetElectionDeadline();
    reply.verdict = Verdict::kGranted;
  }
  Reply(message, reply);
}

void Replica::HandlePayload(const Message& message, const VoteReply& reply) {
  const Member* sender = FindSender(message);
  if (sender == nullptr || sender->role != MemberRole::kVoter)
    return;
  if (message.term > hard_state_.term && reply.verdict == Verdict::kRefused) {
    BecomeFollower(message.term, {});
    return;
  }
  const bool pre_vote = reply.kind == VoteKind::kPreVote;
  const bool expected = pre_vote
                            ? role_ == Role::kPreCandidate &&
                                  reply.election_term == hard_state_.term + 1
                            : role_ == Role::kCandidate &&
                                  reply.election_term == hard_state_.term;
  if (!expected || reply.verdict != Verdict::kGranted)
    return;
  votes_.insert(message.from);
  CountVotes();
}

void Replica::HandlePayload(const Message& message,
                            const TransferRequest& request) {
  if (message.term != hard_state_.term || role_ != Role::kFollower ||
      message.from != leader_ || log_.last_index() < request.last_index ||
      !IsVoter()) {
    return;
  }
  StartElection(VoteKind::kTransfer);
}

void Replica::Handle(const TransferInput&) {
  if (role_ != Role::kLeader || transfer_deadline_)
    return;
  transfer_deadline_ = now() + options_.timing.election_minimum;
  ContinueTransfer();
}

// Asks the most complete voter once it has the whole log. New proposals are
// refused meanwhile, so that it can catch up.
void Replica::ContinueTransfer() {
  if (!transfer_deadline_)
    return;
  if (now() >= *transfer_deadline_) {
    transfer_deadline_.reset();
    return;
  }
  for (const Member& member : log_.members()) {
    const auto found = progress_.find(member.host);
    if (member.role != MemberRole::kVoter || found == progress_.end() ||
        found->second.match != log_.last_index()) {
      continue;
    }
    lease_forfeited_ = true;
    Send(member, TransferRequest{.last_index = log_.last_index()},
         Release::kAfterPersist);
    return;
  }
}

}  // namespace wigeonstair::consensus
