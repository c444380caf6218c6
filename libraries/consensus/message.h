#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_MESSAGE_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/strong_id.h"
#include "consensus/log_entry.h"
#include "consensus/member.h"

namespace wigeonstair::consensus {

enum class VoteKind : std::uint8_t {
  // Asks whether a vote would be granted; changes no state.
  kPreVote,
  kVote,
  // A vote that the leader asked for, which voters grant although they hear
  // from it. The leader has given up its lease for the rest of its term.
  kTransfer,
};

struct VoteRequest {
  VoteKind kind = VoteKind::kVote;
  // The term of the election; a pre-vote does not enter it.
  Term election_term = 0;
  Index last_index = 0;
  Term last_term = 0;

  bool operator==(const VoteRequest&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(kind, election_term, last_index, last_term);
  }
};

enum class Verdict : std::uint8_t { kRefused, kGranted };

struct VoteReply {
  VoteKind kind = VoteKind::kVote;
  Term election_term = 0;
  Verdict verdict = Verdict::kRefused;

  bool operator==(const VoteReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(kind, election_term, verdict);
  }
};

// Also the heartbeat when it has no entries.
struct AppendRequest {
  Index previous_index = 0;
  Term previous_term = 0;
  Index commit_index = 0;
  // The leader's send time in microseconds on its own clock. The reply returns
  // it, so that the leader extends its lease from the send time.
  std::uint64_t sent_at = 0;
  std::vector<Entry> entries;

  bool operator==(const AppendRequest&) const = default;
  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(previous_index, previous_term, commit_index, sent_at);
    SaveList(archive, entries);
  }
  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    archive(previous_index, previous_term, commit_index, sent_at);
    LoadList(archive, entries);
  }
};

struct AppendReply {
  Verdict verdict = Verdict::kRefused;
  // Granted: the follower holds the leader's log up to here. Refused: the
  // previous_index of the refused request.
  Index index = 0;
  // Refused: the term of the follower's entry at `index` (0 when it has none)
  // and the first index of that term, or the index after its last entry.
  Term conflict_term = 0;
  Index conflict_index = 0;
  std::uint64_t sent_at = 0;

  bool operator==(const AppendReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(verdict, index, conflict_term, conflict_index, sent_at);
  }
};

// A part of an encoded Snapshot.
struct SnapshotChunk {
  Index snapshot_index = 0;
  Term snapshot_term = 0;
  std::uint64_t total_bytes = 0;
  // xxHash of the whole encoded snapshot.
  std::uint64_t checksum = 0;
  std::uint64_t offset = 0;
  std::uint64_t sent_at = 0;
  std::string bytes;

  bool operator==(const SnapshotChunk&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(snapshot_index, snapshot_term, total_bytes, checksum, offset,
            sent_at, bytes);
  }
};

// The receiver has the snapshot up to `next_offset`. The end of the transfer is
// reported by a granted AppendReply after the snapshot is on disk.
struct SnapshotChunkReply {
  Index snapshot_index = 0;
  std::uint64_t next_offset = 0;
  std::uint64_t sent_at = 0;

  bool operator==(const SnapshotChunkReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(snapshot_index, next_offset, sent_at);
  }
};

// The leader asks the receiver to start an election at once.
struct TransferRequest {
  Index last_index = 0;

  bool operator==(const TransferRequest&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(last_index);
  }
};

// An initial voter with an empty folder asks the others whether the group is
// new. `members_checksum` covers the initial members.
struct FormationQuery {
  std::uint64_t members_checksum = 0;

  bool operator==(const FormationQuery&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(members_checksum);
  }
};

enum class FormationState : std::uint8_t {
  // Has an empty folder or has formed the group and never voted since.
  kNew,
  // Has voted or holds entries, so the group exists.
  kExisting,
  // Was given other initial members.
  kMismatch,
  // Has lost its folder and knows of no group; it takes no part in forming one.
  kNoGroup,
};

struct FormationReply {
  FormationState state = FormationState::kNew;

  bool operator==(const FormationReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(state);
  }
};

// A member that lost its disk asks to be admitted under its new incarnation. It
// names the listed incarnation that it replaces, so that a late request of an
// earlier life cannot take the place of a later one.
struct RejoinRequest {
  std::string address;
  Incarnation replaces = 0;

  bool operator==(const RejoinRequest&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(address, replaces);
  }
};

// The leader lists the host under another incarnation than `replaces`.
struct RejoinReply {
  Incarnation listed = 0;

  bool operator==(const RejoinReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(listed);
  }
};

using Payload = std::variant<VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotChunk,
                             SnapshotChunkReply,
                             TransferRequest,
                             FormationQuery,
                             FormationReply,
                             RejoinRequest,
                             RejoinReply>;

struct Message {
  base::HostId from;
  Incarnation from_incarnation = 0;
  base::HostId to;
  // The incarnation the sender knows; the receiver drops a message for another.
  // kAnyIncarnation when the sender does not know it.
  Incarnation to_incarnation = 0;
  // The sender's current term.
  Term term = 0;
  Payload payload;

  bool operator==(const Message&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(from, from_incarnation, to, to_incarnation, term, payload);
  }
};

constexpr Incarnation kAnyIncarnation = 0;

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_MESSAGE_H_
