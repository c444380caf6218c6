#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_IO_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_IO_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "consensus/log_entry.h"
#include "consensus/member.h"
#include "consensus/message.h"
#include "consensus/planted_fault.h"

namespace wigeonstair::consensus {

enum class Durability : std::uint8_t {
  kDisk,
  // Forgets everything at a restart; a learner only.
  kMemory,
};

struct ReplicaTiming {
  base::Duration heartbeat = std::chrono::milliseconds(300);
  // Learners have no vote, so a slower heartbeat keeps a leader with many
  // learners within its network budget. Entries reach them at once.
  base::Duration learner_heartbeat = std::chrono::seconds(3);
  base::Duration election_minimum = std::chrono::milliseconds(900);
  base::Duration election_maximum = std::chrono::milliseconds(1500);
  // Before a pre-vote that found no majority is repeated. It is short because a
  // pre-vote is refused only for a moment when another voter heard the dead
  // leader a little later, and it changes no state.
  base::Duration pre_vote_retry_minimum = std::chrono::milliseconds(100);
  base::Duration pre_vote_retry_maximum = std::chrono::milliseconds(300);
  // Before an election with a split vote is repeated. It leaves time for an
  // fsync on each side.
  base::Duration vote_retry_minimum = std::chrono::milliseconds(200);
  base::Duration vote_retry_maximum = std::chrono::milliseconds(600);
  // Below election_minimum by a margin for clocks that run at different rates.
  base::Duration lease = std::chrono::milliseconds(800);
  // Between questions of a voter with an empty folder.
  base::Duration formation_question = std::chrono::milliseconds(300);
  // Between questions of a replica without a place in the group.
  base::Duration rejoin_question = std::chrono::seconds(1);
};

struct ReplicaLimits {
  std::size_t append_bytes = 256 * 1024;
  // Entries sent and not acknowledged, per member.
  std::size_t pipeline_entries = 4096;
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  std::size_t snapshot_bytes = 256 * 1024 * 1024;
  // Entries before a snapshot that stay in memory for members that are a little
  // behind.
  std::size_t kept_entries = 1024;
  // A member that lacks at most this many entries may become a voter.
  std::size_t promotion_gap = 64;
};

struct ReplicaOptions {
  base::HostId host;
  std::string address;
  MemberList initial_members;
  Durability durability = Durability::kDisk;
  CommitRecord commit_record = CommitRecord::kNone;
  StoredState stored;
  // Used when the folder is empty and the host lost its former disk, or is a
  // learner. Random, and above kFirstIncarnation.
  Incarnation new_incarnation = 0;
  std::uint64_t seed = 0;
  ReplicaTiming timing;
  ReplicaLimits limits;
  // For tests only.
  PlantedFault fault = PlantedFault::kNone;
};

struct TickInput {};

struct Proposal {
  std::uint64_t id = 0;
  std::string command;
};

// Proposals that are appended, sent and made durable together.
struct ProposeInput {
  std::vector<Proposal> proposals;
};

struct ReadInput {
  std::uint64_t id = 0;
};

struct ChangeInput {
  std::uint64_t id = 0;
  MemberChange change;
};

// The batch with this sequence and all before it are durable.
struct PersistedInput {
  std::uint64_t sequence = 0;
};

// A write failed. The replica stops until StorageRecoveredInput. Batches that
// are not durable yet stay due and are written before any later one.
struct StorageFailedInput {};

// The disk takes writes again, and the batch that failed was written.
struct StorageRecoveredInput {};

// The state machine has applied all entries up to `index`, and a snapshot of it
// is due.
struct SnapshotDueInput {
  Index index = 0;
  // The state machine's state. Called at most once, within the step, after the
  // state of the former snapshot was dropped: two states and the state machine
  // need more than the memory that a control process may use.
  std::function<std::string()> state;
};

// Hands the leader's role to another voter.
struct TransferInput {};

using ReplicaInput = std::variant<Message,
                                  TickInput,
                                  ProposeInput,
                                  ReadInput,
                                  ChangeInput,
                                  PersistedInput,
                                  StorageFailedInput,
                                  StorageRecoveredInput,
                                  SnapshotDueInput,
                                  TransferInput>;

// The place of an accepted proposal. It took effect when this index is
// committed with this term.
struct LogPosition {
  Index index = 0;
  Term term = 0;
};

// Answers a proposal or a change with its position, or with the reason why it
// was not accepted (kUnavailable or kConflict: it has no effect).
struct ProposalAnswer {
  std::uint64_t id = 0;
  std::variant<LogPosition, base::Error> outcome;
};

// The read sees everything that it must once this index is applied.
struct ReadAnswer {
  std::uint64_t id = 0;
  std::variant<Index, base::Error> outcome;
};

struct CommittedEntry {
  Index index = 0;
  Entry entry;
};

struct ReplicaOutput {
  // Sent at once.
  std::vector<Message> messages;
  std::optional<PersistBatch> batch;
  // Sent when the batch and all earlier batches are durable.
  std::vector<Message> after_persist;
  // Replaces the state machine's state, before `committed` is applied.
  std::shared_ptr<const Snapshot> restore;
  std::vector<CommittedEntry> committed;
  std::vector<ProposalAnswer> proposal_answers;
  std::vector<ReadAnswer> read_answers;
  // The role, the term, the leader or the members changed.
  bool status_changed = false;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_IO_H_
