#include <algorithm>

#include "consensus/codec.h"
#include "consensus/replica.h"

namespace wigeonstair::consensus {

namespace {

// The term of the entry that names the initial members.
constexpr Term kFormationTerm = 1;

}  // namespace

// An empty folder means either a new group or a lost disk. Only the other
// initial voters can tell: the group is new if every one of them has no history
// either. A single one with a history means that this host must not act under
// the incarnation that its lost disk had. One that has lost its disk before the
// group was formed has no history; it takes its place later, as after any other
// loss.
void Replica::StartWithEmptyFolder() {
  hard_state_.incarnation = has_disk() ? options_.new_incarnation : 0;
  const auto self = std::find_if(
      options_.initial_members.begin(), options_.initial_members.end(),
      [&](const Member& member) { return member.host == options_.host; });
  const bool initial_voter = self != options_.initial_members.end() &&
                             self->role == MemberRole::kVoter && has_disk();
  role_ = initial_voter ? Role::kForming : Role::kLearner;
  persist_incarnation_ = role_ == Role::kLearner && has_disk();
}

std::uint64_t Replica::InitialMembersChecksum() const {
  return Checksum(Encode(options_.initial_members));
}

void Replica::AskForFormation() {
  if (options_.fault == PlantedFault::kVoteWithEmptyDisk) {
    FormGroup();
    return;
  }
  if (now() < next_question_at_)
    return;
  next_question_at_ = now() + options_.timing.formation_question;
  formation_answers_.insert(options_.host);
  for (const Member& member : options_.initial_members) {
    if (member.role != MemberRole::kVoter || member.host == options_.host)
      continue;
    Member to = member;
    to.incarnation = kAnyIncarnation;
    Send(to, FormationQuery{.members_checksum = InitialMembersChecksum()},
         Release::kAfterPersist);
  }
  if (options_.initial_members.size() == 1)
    FormGroup();
}

void Replica::HandlePayload(const Message& message,
                            const FormationQuery& query) {
  // Only a member that has joined or formed a group knows that one exists.
  const bool has_group = log_.last_index() > 0;
  FormationState state =
      has_group ? FormationState::kExisting : FormationState::kNoGroup;
  const bool formed_and_unused =
      hard_state_.incarnation == kFirstIncarnation &&
      hard_state_.term == kFormationTerm && hard_state_.vote.empty() &&
      log_.last_index() == 1 && log_.snapshot_index() == 0;
  if (role_ == Role::kForming || formed_and_unused) {
    state = query.members_checksum == InitialMembersChecksum()
                ? FormationState::kNew
                : FormationState::kMismatch;
  }
  Reply(message, FormationReply{.state = state});
}

void Replica::HandlePayload(const Message& message,
                            const FormationReply& reply) {
  if (role_ != Role::kForming)
    return;
  if (reply.state == FormationState::kExisting) {
    JoinAsReplacement();
    return;
  }
  if (reply.state == FormationState::kMismatch)
    return;
  formation_answers_.insert(message.from);
  const bool all_new =
      std::all_of(options_.initial_members.begin(),
                  options_.initial_members.end(), [&](const Member& member) {
                    return member.role != MemberRole::kVoter ||
                           formation_answers_.contains(member.host);
                  });
  if (all_new)
    FormGroup();
}

void Replica::FormGroup() {
  hard_state_.incarnation = kFirstIncarnation;
  SetHardState(kFormationTerm, {});
  SetRole(Role::kFollower);
  AppendToLog({.term = kFormationTerm,
               .kind = EntryKind::kMembers,
               .data = Encode(options_.initial_members)});
  // Every initial voter writes the same first entry, so it is committed.
  commit_index_ = 1;
  ResetElectionDeadline();
}

void Replica::JoinAsReplacement() {
  SetRole(Role::kLearner);
  persist_incarnation_ = true;
}

void Replica::HandlePayload(const Message& message, const RejoinReply& reply) {
  if (message.to_incarnation != hard_state_.incarnation)
    return;
  listed_incarnation_ = reply.listed;
}

// A replica that is not in the log's members, or only under a former
// incarnation, asks for its place until a leader sends it the log.
void Replica::AskToRejoin() {
  if (!has_disk() || now() < next_question_at_)
    return;
  next_question_at_ = now() + options_.timing.rejoin_question;
  if (last_leader_contact_ &&
      now() < *last_leader_contact_ + options_.timing.learner_heartbeat * 2) {
    return;
  }
  // The group may list the incarnation, so it must outlive this process.
  if (persist_incarnation_) {
    persist_incarnation_ = false;
    if (!output_.batch)
      output_.batch.emplace();
    output_.batch->hard_state = hard_state_;
  }
  MemberList known = options_.initial_members;
  for (const Member& member : log_.members()) {
    const auto same = [&](const Member& other) {
      return other.host == member.host;
    };
    if (std::none_of(known.begin(), known.end(), same))
      known.push_back(member);
  }
  if (!stranger_.empty())
    known.push_back({.host = stranger_, .address = {}});
  for (Member& member : known) {
    if (member.host == options_.host)
      continue;
    member.incarnation = kAnyIncarnation;
    Send(member,
         RejoinRequest{.address = options_.address,
                       .replaces = listed_incarnation_},
         Release::kAfterPersist);
  }
}

}  // namespace wigeonstair::consensus
