#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "base/random.h"
#include "base/strong_id.h"
#include "consensus/entry_log.h"
#include "consensus/log_entry.h"
#include "consensus/member.h"
#include "consensus/message.h"
#include "consensus/planted_fault.h"
#include "consensus/progress.h"
#include "consensus/replica_io.h"
#include "consensus/replica_status.h"

namespace wigeonstair::consensus {

// One replica of a replicated log (Raft family). Pure: the owner feeds inputs
// with the current time and carries out the outputs in their order. It must
// write the batches in the order of their sequence and send `after_persist`
// messages only when the batch of the same output, and all before it, are
// durable.
class Replica {
 public:
  explicit Replica(ReplicaOptions options, base::Instant now);

  ReplicaOutput Step(const ReplicaInput& input, base::Instant now);

  ReplicaStatus status(base::Instant now) const;
  Role role() const { return role_; }
  const EntryLog& log() const { return log_; }
  const HardState& hard_state() const { return hard_state_; }
  Index commit_index() const { return commit_index_; }
  const base::HostId& leader() const { return leader_; }

 private:
  // Whether a message may leave before this step's batch is durable.
  enum class Release { kNow, kAfterPersist };

  // replica.cc: dispatch and what all roles share.
  void Handle(const Message& message);
  void Handle(const TickInput&);
  void Handle(const PersistedInput& input);
  void Handle(const StorageFailedInput&);
  void Handle(const StorageRecoveredInput&);
  void Finish();
  void RecordCommit();
  // Entries up to here may be applied.
  Index ApplicableIndex() const;
  void Restore(std::shared_ptr<const Snapshot> snapshot);
  void ApplyCommitted();
  void SealBatch();
  void Send(const Member& to, Payload payload, Release release);
  void Reply(const Message& request, Payload payload);
  void SetHardState(Term term, base::HostId vote);
  void SetRole(Role role);
  void UpdateRoleFromMembers();
  Index AppendToLog(Entry entry);
  void TruncateLog(Index from);
  const Member* FindMember(const base::HostId& host) const;
  const Member* FindSender(const Message& message) const;
  bool IsVoter() const;
  std::size_t QuorumSize() const;
  bool has_disk() const { return options_.durability == Durability::kDisk; }
  bool records_commit() const {
    return has_disk() && options_.commit_record == CommitRecord::kBeforeApply;
  }
  base::Instant now() const { return now_; }

  // replica_formation.cc: empty folders.
  void StartWithEmptyFolder();
  void AskForFormation();
  void HandlePayload(const Message& message, const FormationQuery& query);
  void HandlePayload(const Message& message, const FormationReply& reply);
  void FormGroup();
  void JoinAsReplacement();
  void AskToRejoin();
  void HandlePayload(const Message& message, const RejoinReply& reply);
  std::uint64_t InitialMembersChecksum() const;

  // replica_election.cc
  void ResetElectionDeadline();
  void SetElectionDeadline(base::Duration minimum, base::Duration maximum);
  bool HearsLeader() const;
  bool IsUpToDate(const VoteRequest& request) const;
  void BecomeFollower(Term term, base::HostId leader);
  void StartPreVote();
  void StartElection(VoteKind kind);
  void CountVotes();
  void BecomeLeader();
  void RequestVotes(VoteKind kind, Term term);
  bool IsAheadInPreVote(const Message& message,
                        const VoteRequest& request) const;
  Verdict JudgePreVote(const Message& message,
                       const VoteRequest& request) const;
  void HandlePayload(const Message& message, const VoteRequest& request);
  void HandlePayload(const Message& message, const VoteReply& reply);
  void HandlePayload(const Message& message, const TransferRequest& request);
  void Handle(const TransferInput&);
  void ContinueTransfer();

  // replica_leader.cc: replication as leader, commit, lease and reads.
  void Handle(const ProposeInput& input);
  void Handle(const ReadInput& input);
  void HandlePayload(const Message& message, const AppendReply& reply);
  void HandleRefusal(const Member& member,
                     Progress& progress,
                     const AppendReply& reply);
  void SendHeartbeats();
  void Replicate(const Member& member, Progress& progress);
  void ReplicateToAll();
  void SendAppend(const Member& member, Progress& progress, std::size_t limit);
  void AdvanceCommit();
  void AnnounceCommit();
  Index QuorumIndex() const;
  base::Instant QuorumContact() const;
  bool LeaseIsValid() const;
  void AnswerReads();
  void FailReads();
  void LeaderTick();
  void NoteContact(Progress& progress, std::uint64_t sent_at);
  std::uint64_t SendTime() const;

  // replica_follower.cc: the log as follower.
  bool AcceptLeader(const Message& message);
  void HandlePayload(const Message& message, const AppendRequest& request);
  void RefuseAppend(const Message& message, const AppendRequest& request);
  Index StoreEntries(const AppendRequest& request);

  // replica_membership.cc
  void Handle(const ChangeInput& input);
  std::optional<base::Error> CheckChangeAllowed() const;
  std::variant<MemberList, base::Error> Changed(const MemberChange& change);
  std::variant<MemberList, base::Error> WithVoter(const MemberChange& change);
  std::variant<MemberList, base::Error> Without(const base::HostId& host);
  Index ProposeMembers(const MemberList& members);
  void PromoteCaughtUp();
  void HandlePayload(const Message& message, const RejoinRequest& request);
  void SyncProgressWithMembers();

  // replica_snapshot.cc
  void Handle(const SnapshotDueInput& input);
  void StartSnapshotTransfer(Progress& progress);
  void SendChunk(const Member& member, Progress& progress);
  void HandlePayload(const Message& message, const SnapshotChunk& chunk);
  void HandlePayload(const Message& message, const SnapshotChunkReply& reply);
  void FinishReceivedSnapshot(const Message& message,
                              const SnapshotChunk& chunk);
  void InstallSnapshot(std::shared_ptr<const Snapshot> snapshot);

  struct PendingPersist {
    std::uint64_t sequence = 0;
    Index last_index = 0;
    Index commit = 0;
  };
  struct PendingRead {
    std::uint64_t id = 0;
    base::Instant requested_at;
  };
  struct ReceivedSnapshot {
    Index index = 0;
    Term term = 0;
    std::uint64_t checksum = 0;
    std::string bytes;
  };

  ReplicaOptions options_;
  base::Random random_;
  base::Instant now_;
  base::Instant started_at_;
  ReplicaOutput output_;

  Role role_ = Role::kFollower;
  // The disk failed while the group was not formed.
  bool stopped_in_formation_ = false;
  HardState hard_state_;
  EntryLog log_;
  Index commit_index_ = 0;
  // That a leader told; this log may end before it.
  Index known_commit_index_ = 0;
  // Committed entries up to here were handed out.
  Index delivered_index_ = 0;

  std::uint64_t sequence_ = 0;
  std::deque<PendingPersist> pending_persists_;
  Index persisted_index_ = 0;
  // Of the durable hard state.
  Index persisted_commit_ = 0;
  // Replaces the state machine's state once the batch with this sequence is
  // durable.
  std::shared_ptr<const Snapshot> waiting_restore_;
  std::uint64_t restore_sequence_ = 0;

  base::HostId leader_;
  std::optional<base::Instant> last_leader_contact_;
  base::Instant election_deadline_;

  // Candidates.
  base::Instant pre_vote_started_at_;
  std::set<base::HostId> votes_;
  // The batch with the vote for itself; counted once durable.
  std::uint64_t own_vote_sequence_ = 0;

  // Leaders.
  std::map<base::HostId, Progress> progress_;
  base::Instant leader_since_;
  Index term_start_index_ = 0;
  // Set for the rest of the term once another voter was asked to take over,
  // because that request may arrive late.
  bool lease_forfeited_ = false;
  std::optional<base::Instant> transfer_deadline_;
  std::deque<PendingRead> reads_;
  Index encoded_snapshot_index_ = 0;
  std::shared_ptr<const std::string> encoded_snapshot_;

  ReceivedSnapshot received_;
  std::set<base::HostId> formation_answers_;
  base::Instant next_question_at_;
  // The incarnation was drawn by this process and is not on disk yet.
  bool persist_incarnation_ = false;
  // Who wrote to a former life of this host. The hosts that it was told to ask
  // may all be followers, and only the leader can give it a place.
  base::HostId stranger_;
  // The incarnation under which the leader lists this host.
  Incarnation listed_incarnation_ = kFirstIncarnation;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_H_
