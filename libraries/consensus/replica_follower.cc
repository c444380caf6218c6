#include <algorithm>

#include "consensus/replica.h"

namespace wigeonstair::consensus {

// Adopts the sender of an append or a snapshot as leader. False when its term
// is over; it is told the newer term.
bool Replica::AcceptLeader(const Message& message) {
  if (role_ == Role::kForming)
    return false;
  if (message.term < hard_state_.term) {
    Reply(message, AppendReply{});
    return false;
  }
  // Two leaders of one term cannot exist; a replica that saw one would make
  // things worse by following.
  if (message.term == hard_state_.term && role_ == Role::kLeader)
    return false;
  BecomeFollower(message.term, message.from);
  last_leader_contact_ = now();
  ResetElectionDeadline();
  return true;
}

void Replica::HandlePayload(const Message& message,
                            const AppendRequest& request) {
  if (!AcceptLeader(message))
    return;
  known_commit_index_ = std::max(known_commit_index_, request.commit_index);
  const Index previous = request.previous_index;
  // What lies at or below the commit index equals the leader's log.
  const bool matches = previous <= commit_index_ ||
                       log_.TermAt(previous) == request.previous_term;
  if (!matches) {
    RefuseAppend(message, request);
    return;
  }
  const Index stored = StoreEntries(request);
  commit_index_ =
      std::max(commit_index_, std::min(request.commit_index, stored));
  Reply(message, AppendReply{.verdict = Verdict::kGranted,
                             .index = stored,
                             .sent_at = request.sent_at});
}

void Replica::RefuseAppend(const Message& message,
                           const AppendRequest& request) {
  AppendReply reply{.verdict = Verdict::kRefused,
                    .index = request.previous_index,
                    .sent_at = request.sent_at};
  const std::optional<Term> term = log_.TermAt(request.previous_index);
  if (term && request.previous_index > log_.base_index()) {
    reply.conflict_term = *term;
    reply.conflict_index = log_.FirstIndexOfTerm(request.previous_index);
  } else {
    reply.conflict_index =
        std::min(log_.last_index() + 1, request.previous_index);
  }
  Reply(message, reply);
}

// Returns the index up to which this log equals the leader's.
Index Replica::StoreEntries(const AppendRequest& request) {
  Index index = request.previous_index;
  for (const Entry& entry : request.entries) {
    ++index;
    if (index <= commit_index_)
      continue;
    if (index <= log_.last_index()) {
      if (log_.TermAt(index) == entry.term ||
          options_.fault == PlantedFault::kKeepConflictingEntries) {
        continue;
      }
      TruncateLog(index);
    }
    AppendToLog(entry);
  }
  return index;
}

}  // namespace wigeonstair::consensus
