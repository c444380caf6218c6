#include <algorithm>
#include <functional>

#include "consensus/replica.h"

namespace wigeonstair::consensus {

namespace {

base::Error NotLeader(const base::HostId& leader) {
  return {.code = base::ErrorCode::kUnavailable,
          .step = "replicate",
          .peer = leader.value(),
          .detail = leader.empty() ? "no leader is known"
                                   : "this replica is not the leader"};
}

}  // namespace

void Replica::Handle(const ProposeInput& input) {
  const bool accepts = role_ == Role::kLeader && !transfer_deadline_;
  for (const Proposal& proposal : input.proposals) {
    if (!accepts) {
      output_.proposal_answers.push_back(
          {.id = proposal.id, .outcome = NotLeader(leader_)});
      continue;
    }
    const Index index = AppendToLog({.term = hard_state_.term,
                                     .kind = EntryKind::kCommand,
                                     .data = proposal.command});
    output_.proposal_answers.push_back(
        {.id = proposal.id,
         .outcome = LogPosition{.index = index, .term = hard_state_.term}});
  }
  if (accepts)
    ReplicateToAll();
}

void Replica::Handle(const ReadInput& input) {
  if (role_ != Role::kLeader) {
    output_.read_answers.push_back(
        {.id = input.id, .outcome = NotLeader(leader_)});
    return;
  }
  reads_.push_back({.id = input.id, .requested_at = now()});
  if (LeaseIsValid())
    return;
  for (const Member& member : log_.members()) {
    const auto found = progress_.find(member.host);
    if (member.role == MemberRole::kVoter && found != progress_.end())
      found->second.next_heartbeat_at = now();
  }
  SendHeartbeats();
}

void Replica::AnswerReads() {
  const bool ignore_lease = options_.fault == PlantedFault::kReadWithoutLease;
  // Before an entry of its own term is committed, a leader does not know the
  // commit index of its predecessor.
  if (commit_index_ < term_start_index_ && !ignore_lease)
    return;
  while (!reads_.empty()) {
    const bool confirmed = ignore_lease || LeaseIsValid() ||
                           QuorumContact() >= reads_.front().requested_at;
    if (!confirmed)
      return;
    output_.read_answers.push_back(
        {.id = reads_.front().id, .outcome = commit_index_});
    reads_.pop_front();
  }
}

void Replica::FailReads() {
  for (const PendingRead& read : reads_)
    output_.read_answers.push_back({.id = read.id, .outcome = NotLeader({})});
  reads_.clear();
}

void Replica::HandlePayload(const Message& message, const AppendReply& reply) {
  const Member* member = FindSender(message);
  if (member == nullptr)
    return;
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, {});
    return;
  }
  if (role_ != Role::kLeader || message.term < hard_state_.term)
    return;
  Progress& progress = progress_[member->host];
  progress.incarnation = message.from_incarnation;
  NoteContact(progress, reply.sent_at);
  progress.awaits_probe_reply = false;
  if (reply.verdict == Verdict::kRefused) {
    HandleRefusal(*member, progress, reply);
    return;
  }
  if (reply.index > log_.last_index())
    return;
  progress.match = std::max(progress.match, reply.index);
  progress.next = std::max(progress.next, progress.match + 1);
  if (progress.mode == ProgressMode::kSnapshot &&
      progress.match < progress.snapshot_index) {
    return;
  }
  if (progress.mode != ProgressMode::kPipeline) {
    progress.mode = ProgressMode::kPipeline;
    progress.next = progress.match + 1;
    progress.snapshot.reset();
  }
  Replicate(*member, progress);
}

void Replica::HandleRefusal(const Member& member,
                            Progress& progress,
                            const AppendReply& reply) {
  if (progress.mode == ProgressMode::kSnapshot)
    return;
  if (reply.conflict_index <= progress.match) {
    // A late refusal, or a learner without a disk that restarted empty.
    if (member.role != MemberRole::kLearner)
      return;
    progress.match = 0;
  }
  Index next = reply.conflict_index;
  // Skips the whole conflicting term unless this log has entries of it.
  if (reply.conflict_term != 0) {
    const Index ours = log_.LastIndexUpToTerm(reply.conflict_term);
    if (log_.TermAt(ours) == reply.conflict_term)
      next = std::min(ours + 1, reply.index);
  }
  progress.mode = ProgressMode::kProbe;
  progress.next = std::clamp(next, progress.match + 1, log_.last_index() + 1);
  Replicate(member, progress);
}

void Replica::NoteContact(Progress& progress, std::uint64_t sent_at) {
  const base::Instant sent{
      base::Duration(static_cast<base::Duration::rep>(sent_at))};
  if (sent < leader_since_ || sent > now())
    return;
  progress.contact = std::max(progress.contact.value_or(sent), sent);
}

std::uint64_t Replica::SendTime() const {
  return static_cast<std::uint64_t>(now().time_since_epoch().count());
}

void Replica::SendHeartbeats() {
  for (const Member& member : log_.members()) {
    const auto found = progress_.find(member.host);
    if (found == progress_.end() || now() < found->second.next_heartbeat_at)
      continue;
    Progress& progress = found->second;
    if (progress.mode == ProgressMode::kSnapshot) {
      SendChunk(member, progress);
    } else if (progress.mode == ProgressMode::kProbe) {
      progress.awaits_probe_reply = false;
      Replicate(member, progress);
    } else {
      SendAppend(member, progress, 0);
    }
  }
}

void Replica::ReplicateToAll() {
  for (const Member& member : log_.members()) {
    const auto found = progress_.find(member.host);
    if (found != progress_.end())
      Replicate(member, found->second);
  }
}

void Replica::Replicate(const Member& member, Progress& progress) {
  if (progress.mode == ProgressMode::kProbe && !progress.awaits_probe_reply) {
    progress.awaits_probe_reply = true;
    SendAppend(member, progress, options_.limits.pipeline_entries);
    return;
  }
  while (progress.mode == ProgressMode::kPipeline &&
         progress.next <= log_.last_index()) {
    const std::size_t in_flight = progress.next - 1 - progress.match;
    if (in_flight >= options_.limits.pipeline_entries)
      return;
    SendAppend(member, progress, options_.limits.pipeline_entries - in_flight);
  }
}

// Sends up to `limit` entries from progress.next on; with 0 it is a heartbeat.
void Replica::SendAppend(const Member& member,
                         Progress& progress,
                         std::size_t limit) {
  const std::optional<Term> previous_term = log_.TermAt(progress.next - 1);
  if (!previous_term) {
    StartSnapshotTransfer(progress);
    SendChunk(member, progress);
    return;
  }
  AppendRequest request{.previous_index = progress.next - 1,
                        .previous_term = *previous_term,
                        .commit_index = commit_index_,
                        .sent_at = SendTime(),
                        .entries = {}};
  std::size_t bytes = 0;
  for (Index index = progress.next;
       index <= log_.last_index() && request.entries.size() < limit &&
       bytes < options_.limits.append_bytes;
       ++index) {
    request.entries.push_back(log_.EntryAt(index));
    bytes += request.entries.back().data.size() + sizeof(Entry);
  }
  if (progress.mode == ProgressMode::kPipeline)
    progress.next += request.entries.size();
  progress.told_commit = commit_index_;
  progress.next_heartbeat_at = now() + (member.role == MemberRole::kLearner
                                            ? options_.timing.learner_heartbeat
                                            : options_.timing.heartbeat);
  Send(member, std::move(request), Release::kNow);
}

Index Replica::QuorumIndex() const {
  std::vector<Index> held;
  for (const Member& member : log_.members()) {
    if (member.role != MemberRole::kVoter)
      continue;
    if (member.host == options_.host) {
      held.push_back(persisted_index_);
      continue;
    }
    const auto found = progress_.find(member.host);
    held.push_back(found == progress_.end() ? 0 : found->second.match);
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  std::size_t needed = QuorumSize();
  if (options_.fault == PlantedFault::kCommitWithoutMajority && needed > 1)
    --needed;
  return held.size() < needed ? 0 : held[needed - 1];
}

// The latest time at which a majority of the voters accepted this leader.
base::Instant Replica::QuorumContact() const {
  std::vector<base::Instant> contacts;
  for (const Member& member : log_.members()) {
    if (member.role != MemberRole::kVoter)
      continue;
    if (member.host == options_.host) {
      contacts.push_back(now());
      continue;
    }
    const auto found = progress_.find(member.host);
    contacts.push_back(
        found == progress_.end()
            ? base::Instant::min()
            : found->second.contact.value_or(base::Instant::min()));
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  const std::size_t needed = QuorumSize();
  return contacts.size() < needed ? base::Instant::min() : contacts[needed - 1];
}

bool Replica::LeaseIsValid() const {
  return !lease_forfeited_ && now() < QuorumContact() + options_.timing.lease;
}

void Replica::AdvanceCommit() {
  const Index index = QuorumIndex();
  // An entry of an earlier term may be replaced although a majority holds it.
  if (index > commit_index_ && log_.TermAt(index) == hard_state_.term)
    commit_index_ = index;
}

// Members learn a commit index with the next append. When none follows, they
// are told at once, so that a read on them does not wait for a heartbeat.
void Replica::AnnounceCommit() {
  if (commit_index_ != log_.last_index())
    return;
  for (const Member& member : log_.members()) {
    const auto found = progress_.find(member.host);
    if (found == progress_.end())
      continue;
    Progress& progress = found->second;
    if (progress.mode == ProgressMode::kPipeline &&
        progress.match == commit_index_ &&
        progress.told_commit < commit_index_) {
      SendAppend(member, progress, 0);
    }
  }
}

void Replica::LeaderTick() {
  if (now() > std::max(QuorumContact(), leader_since_) +
                  options_.timing.election_maximum) {
    BecomeFollower(hard_state_.term, {});
    return;
  }
  SendHeartbeats();
  PromoteCaughtUp();
  ContinueTransfer();
}

}  // namespace wigeonstair::consensus
