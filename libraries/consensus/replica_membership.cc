#include <algorithm>

#include "consensus/codec.h"
#include "consensus/replica.h"

namespace wigeonstair::consensus {

namespace {

base::Error ChangeError(base::ErrorCode code, std::string detail) {
  return {.code = code,
          .step = "change members",
          .peer = {},
          .detail = std::move(detail)};
}

Member* Find(MemberList& members, const base::HostId& host) {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const Member& member) { return member.host == host; });
  return found == members.end() ? nullptr : &*found;
}

}  // namespace

// Majorities of two member lists that differ by one voter always meet. That
// argument needs the earlier list to be committed, and by a leader whose term
// is known to be the newest (an entry of its own term is committed).
std::optional<base::Error> Replica::CheckChangeAllowed() const {
  if (role_ != Role::kLeader || transfer_deadline_) {
    return ChangeError(base::ErrorCode::kUnavailable,
                       "this replica is not the leader");
  }
  if (options_.fault == PlantedFault::kOverlappingMemberChanges)
    return std::nullopt;
  if (commit_index_ < term_start_index_) {
    return ChangeError(base::ErrorCode::kUnavailable,
                       "the leader has not committed an entry of its term");
  }
  if (log_.members_index() > commit_index_) {
    return ChangeError(base::ErrorCode::kConflict,
                       "another change of members is in progress");
  }
  return std::nullopt;
}

void Replica::Handle(const ChangeInput& input) {
  if (auto error = CheckChangeAllowed()) {
    output_.proposal_answers.push_back(
        {.id = input.id, .outcome = std::move(*error)});
    return;
  }
  auto changed = Changed(input.change);
  if (auto* error = std::get_if<base::Error>(&changed)) {
    output_.proposal_answers.push_back(
        {.id = input.id, .outcome = std::move(*error)});
    return;
  }
  const Index index = ProposeMembers(std::get<MemberList>(changed));
  output_.proposal_answers.push_back(
      {.id = input.id,
       .outcome = LogPosition{.index = index, .term = hard_state_.term}});
}

std::variant<MemberList, base::Error> Replica::Changed(
    const MemberChange& change) {
  switch (change.kind) {
    case MemberChangeKind::kAddLearner: {
      MemberList members = log_.members();
      if (Member* member = Find(members, change.host)) {
        member->address = change.address;
      } else {
        members.push_back({.host = change.host,
                           .address = change.address,
                           .role = MemberRole::kLearner,
                           .incarnation = kAnyIncarnation});
      }
      return members;
    }
    case MemberChangeKind::kAddVoter:
      return WithVoter(change);
    case MemberChangeKind::kRemove:
      return Without(change.host);
  }
  return ChangeError(base::ErrorCode::kInvalidArgument, "unknown change");
}

std::variant<MemberList, base::Error> Replica::WithVoter(
    const MemberChange& change) {
  MemberList members = log_.members();
  Member* member = Find(members, change.host);
  if (member == nullptr) {
    return ChangeError(
        base::ErrorCode::kUnavailable,
        "add host '" + change.host.value() + "' as a learner first");
  }
  member->address = change.address;
  if (member->role != MemberRole::kLearner)
    return members;
  const Incarnation incarnation = progress_[member->host].incarnation;
  if (incarnation == kAnyIncarnation) {
    return ChangeError(
        base::ErrorCode::kUnavailable,
        "host '" + change.host.value() + "' has no disk or did not answer yet");
  }
  member->role = MemberRole::kCatchingUp;
  member->incarnation = incarnation;
  return members;
}

std::variant<MemberList, base::Error> Replica::Without(
    const base::HostId& host) {
  if (host == options_.host) {
    Handle(TransferInput());
    return ChangeError(base::ErrorCode::kUnavailable,
                       "the leader hands over its role before it is removed; "
                       "try again");
  }
  MemberList members = log_.members();
  std::erase_if(members,
                [&](const Member& member) { return member.host == host; });
  return members;
}

Index Replica::ProposeMembers(const MemberList& members) {
  const Index index = AppendToLog({.term = hard_state_.term,
                                   .kind = EntryKind::kMembers,
                                   .data = Encode(members)});
  ReplicateToAll();
  return index;
}

void Replica::PromoteCaughtUp() {
  if (CheckChangeAllowed())
    return;
  MemberList members = log_.members();
  for (Member& member : members) {
    if (member.role != MemberRole::kCatchingUp)
      continue;
    const Index match = progress_[member.host].match;
    if (match < commit_index_ ||
        match + options_.limits.promotion_gap < log_.last_index()) {
      continue;
    }
    member.role = MemberRole::kVoter;
    ProposeMembers(members);
    return;
  }
}

// A member whose folder is new. Its place as a voter is given up first, so that
// a majority never counts what its lost folder acknowledged.
void Replica::HandlePayload(const Message& message,
                            const RejoinRequest& request) {
  if (CheckChangeAllowed())
    return;
  MemberList members = log_.members();
  Member* member = Find(members, message.from);
  if (member == nullptr || member->role == MemberRole::kLearner ||
      member->incarnation == message.from_incarnation ||
      message.from_incarnation == kAnyIncarnation) {
    return;
  }
  if (member->incarnation != request.replaces) {
    Reply(message, RejoinReply{.listed = member->incarnation});
    return;
  }
  member->role = MemberRole::kCatchingUp;
  member->incarnation = message.from_incarnation;
  if (!request.address.empty())
    member->address = request.address;
  ProposeMembers(members);
}

void Replica::SyncProgressWithMembers() {
  std::erase_if(progress_, [&](const auto& item) {
    const Member* member = FindMember(item.first);
    return member == nullptr ||
           member->incarnation != item.second.member_incarnation;
  });
  for (const Member& member : log_.members()) {
    if (member.host == options_.host || progress_.contains(member.host))
      continue;
    Progress& progress = progress_[member.host];
    progress.next = log_.last_index() + 1;
    progress.member_incarnation = member.incarnation;
    progress.next_heartbeat_at = now();
  }
}

}  // namespace wigeonstair::consensus
