#include "consensus/replica.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace wigeonstair::consensus {

Replica::Replica(ReplicaOptions options, base::Instant now)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(now),
      started_at_(now),
      log_(options_.stored),
      next_question_at_(now) {
  // The log has them. A second reference would keep the state of the stored
  // snapshot in memory after newer ones.
  options_.stored.snapshot.reset();
  options_.stored.entries = {};
  commit_index_ = delivered_index_ = log_.snapshot_index();
  persisted_index_ = log_.last_index();
  // Members without a disk have no incarnation, and no initial learner's is
  // known.
  for (Member& member : options_.initial_members) {
    if (member.role == MemberRole::kLearner)
      member.incarnation = kAnyIncarnation;
  }
  ResetElectionDeadline();
  if (!options_.stored.hard_state) {
    StartWithEmptyFolder();
    return;
  }
  hard_state_ = *options_.stored.hard_state;
  if (records_commit()) {
    commit_index_ = std::max(commit_index_,
                             std::min(hard_state_.commit, log_.last_index()));
    persisted_commit_ = commit_index_;
  }
  role_ = IsVoter() ? Role::kFollower : Role::kLearner;
}

ReplicaOutput Replica::Step(const ReplicaInput& input, base::Instant now) {
  now_ = std::max(now, now_);
  if (role_ != Role::kStopped ||
      std::holds_alternative<StorageRecoveredInput>(input)) {
    std::visit([this](const auto& value) { Handle(value); }, input);
    Finish();
  }
  return std::exchange(output_, {});
}

void Replica::Handle(const Message& message) {
  if (message.to != options_.host || message.from == options_.host)
    return;
  // Meant for a former life of this folder.
  if (message.to_incarnation != kAnyIncarnation &&
      message.to_incarnation != hard_state_.incarnation) {
    stranger_ = message.from;
    return;
  }
  std::visit([&](const auto& payload) { HandlePayload(message, payload); },
             message.payload);
}

void Replica::Handle(const TickInput&) {
  switch (role_) {
    case Role::kForming:
      AskForFormation();
      return;
    case Role::kLearner:
      AskToRejoin();
      return;
    case Role::kLeader:
      LeaderTick();
      return;
    case Role::kPreCandidate:
      AskToRejoin();
      [[fallthrough]];
    case Role::kFollower:
    case Role::kCandidate:
      if (now() >= election_deadline_)
        StartPreVote();
      return;
    case Role::kStopped:
      return;
  }
}

void Replica::Handle(const PersistedInput& input) {
  while (!pending_persists_.empty() &&
         pending_persists_.front().sequence <= input.sequence) {
    persisted_index_ = pending_persists_.front().last_index;
    persisted_commit_ =
        std::max(persisted_commit_, pending_persists_.front().commit);
    pending_persists_.pop_front();
  }
  if (waiting_restore_ && restore_sequence_ <= input.sequence)
    Restore(std::exchange(waiting_restore_, nullptr));
  if (role_ == Role::kCandidate && own_vote_sequence_ != 0 &&
      own_vote_sequence_ <= input.sequence) {
    own_vote_sequence_ = 0;
    votes_.insert(options_.host);
    CountVotes();
  }
}

void Replica::Handle(const StorageFailedInput&) {
  FailReads();
  stopped_in_formation_ = role_ == Role::kForming;
  SetRole(Role::kStopped);
  leader_ = {};
}

// The state in memory is that of a replica with a slow disk: nothing that is
// not durable was acknowledged.
void Replica::Handle(const StorageRecoveredInput&) {
  if (role_ != Role::kStopped)
    return;
  SetRole(stopped_in_formation_ ? Role::kForming : Role::kFollower);
  UpdateRoleFromMembers();
  ResetElectionDeadline();
}

void Replica::Finish() {
  if (role_ == Role::kStopped)
    return;
  if (role_ == Role::kLeader) {
    AdvanceCommit();
    AnnounceCommit();
    AnswerReads();
  }
  RecordCommit();
  ApplyCommitted();
  SealBatch();
}

void Replica::RecordCommit() {
  if (!records_commit() || commit_index_ <= hard_state_.commit)
    return;
  hard_state_.commit = commit_index_;
  if (!output_.batch)
    output_.batch.emplace();
  output_.batch->hard_state = hard_state_;
}

Index Replica::ApplicableIndex() const {
  if (!records_commit() || options_.fault == PlantedFault::kApplyBeforeRecord)
    return commit_index_;
  if (waiting_restore_)
    return delivered_index_;
  return std::min(commit_index_,
                  std::max(persisted_commit_, log_.snapshot_index()));
}

void Replica::Restore(std::shared_ptr<const Snapshot> snapshot) {
  delivered_index_ = snapshot->index;
  output_.restore = std::move(snapshot);
}

void Replica::ApplyCommitted() {
  while (delivered_index_ < ApplicableIndex()) {
    ++delivered_index_;
    output_.committed.push_back(
        {.index = delivered_index_, .entry = log_.EntryAt(delivered_index_)});
  }
}

void Replica::SealBatch() {
  if (!output_.batch)
    return;
  output_.batch->sequence = ++sequence_;
  pending_persists_.push_back({.sequence = sequence_,
                               .last_index = log_.last_index(),
                               .commit = hard_state_.commit});
}

void Replica::Send(const Member& to, Payload payload, Release release) {
  Message message{.from = options_.host,
                  .from_incarnation = hard_state_.incarnation,
                  .to = to.host,
                  .to_incarnation = to.incarnation,
                  .term = hard_state_.term,
                  .payload = std::move(payload)};
  auto& queue =
      release == Release::kNow ? output_.messages : output_.after_persist;
  queue.push_back(std::move(message));
}

void Replica::Reply(const Message& request, Payload payload) {
  const Member to{.host = request.from,
                  .address = {},
                  .incarnation = request.from_incarnation};
  Send(to, std::move(payload),
       options_.fault == PlantedFault::kAcknowledgeBeforePersist
           ? Release::kNow
           : Release::kAfterPersist);
}

void Replica::SetHardState(Term term, base::HostId vote) {
  if (hard_state_.term == term && hard_state_.vote == vote)
    return;
  if (hard_state_.term != term)
    output_.status_changed = true;
  hard_state_.term = term;
  hard_state_.vote = std::move(vote);
  if (!output_.batch)
    output_.batch.emplace();
  output_.batch->hard_state = hard_state_;
}

void Replica::SetRole(Role role) {
  if (role_ == role)
    return;
  if (role_ == Role::kLeader) {
    FailReads();
    progress_.clear();
    transfer_deadline_.reset();
    encoded_snapshot_.reset();
    encoded_snapshot_index_ = 0;
  }
  role_ = role;
  output_.status_changed = true;
}

void Replica::UpdateRoleFromMembers() {
  output_.status_changed = true;
  if (role_ == Role::kLeader) {
    SyncProgressWithMembers();
    return;
  }
  if (role_ == Role::kForming || role_ == Role::kStopped)
    return;
  if (!IsVoter()) {
    SetRole(Role::kLearner);
  } else if (role_ == Role::kLearner) {
    SetRole(Role::kFollower);
    ResetElectionDeadline();
  }
}

Index Replica::AppendToLog(Entry entry) {
  if (!output_.batch)
    output_.batch.emplace();
  PersistBatch& batch = *output_.batch;
  if (batch.entries.empty())
    batch.first_index = log_.last_index() + 1;
  batch.entries.push_back(entry);
  const bool changes_members = entry.kind == EntryKind::kMembers;
  log_.Append(std::move(entry));
  if (changes_members)
    UpdateRoleFromMembers();
  return log_.last_index();
}

void Replica::TruncateLog(Index from) {
  const Index members_index = log_.members_index();
  log_.TruncateFrom(from);
  if (!output_.batch)
    output_.batch.emplace();
  output_.batch->truncate_from = from;
  persisted_index_ = std::min(persisted_index_, from - 1);
  for (PendingPersist& pending : pending_persists_)
    pending.last_index = std::min(pending.last_index, from - 1);
  if (log_.members_index() != members_index)
    UpdateRoleFromMembers();
}

const Member* Replica::FindMember(const base::HostId& host) const {
  for (const Member& member : log_.members()) {
    if (member.host == host)
      return &member;
  }
  return nullptr;
}

const Member* Replica::FindSender(const Message& message) const {
  const Member* member = FindMember(message.from);
  if (member == nullptr)
    return nullptr;
  if (member->role != MemberRole::kLearner &&
      member->incarnation != message.from_incarnation) {
    return nullptr;
  }
  return member;
}

bool Replica::IsVoter() const {
  const Member* self = FindMember(options_.host);
  return self != nullptr && self->role == MemberRole::kVoter &&
         self->incarnation == hard_state_.incarnation;
}

std::size_t Replica::QuorumSize() const {
  const auto voters = std::count_if(
      log_.members().begin(), log_.members().end(),
      [](const Member& member) { return member.role == MemberRole::kVoter; });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

ReplicaStatus Replica::status(base::Instant now) const {
  ReplicaStatus status{
      .role = role_,
      .term = hard_state_.term,
      .leader = leader_,
      .commit_index = commit_index_,
      .applied_index = delivered_index_,
      .known_commit_index = std::max(commit_index_, known_commit_index_),
      .last_index = log_.last_index(),
      .snapshot_index = log_.snapshot_index(),
      .members = log_.members(),
      .incarnation = hard_state_.incarnation,
      .since_leader_contact = std::nullopt};
  if (role_ == Role::kLeader) {
    status.since_leader_contact =
        now - std::max(QuorumContact(), leader_since_);
  } else if (last_leader_contact_) {
    status.since_leader_contact = now - *last_leader_contact_;
  }
  return status;
}

}  // namespace wigeonstair::consensus
