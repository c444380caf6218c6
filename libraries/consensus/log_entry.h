#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_ENTRY_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_ENTRY_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_id.h"
#include "consensus/archive.h"
#include "consensus/member.h"

namespace wigeonstair::consensus {

using Term = std::uint64_t;
// Positions in the log; the first entry has index 1.
using Index = std::uint64_t;

enum class EntryKind : std::uint8_t {
  // Appended by a new leader, so that entries of earlier terms are committed.
  kNoOperation,
  kCommand,
  // The data is an encoded MemberList, in force from its append on.
  kMembers,
};

struct Entry {
  Term term = 0;
  EntryKind kind = EntryKind::kNoOperation;
  std::string data;

  bool operator==(const Entry&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term, kind, data);
  }
};

// When the commit index becomes durable.
enum class CommitRecord : std::uint8_t {
  // Not at all; a restarted replica applies its log again once it hears from a
  // leader, and until then it is behind the state that it had applied.
  kNone,
  // Before the entries are applied, so that the applied state never goes back,
  // also when no leader can be reached after a restart. Costs one more write
  // for each step in which the commit index rises.
  kBeforeApply,
};

// What a replica must remember across restarts besides its entries.
struct HardState {
  Term term = 0;
  // The host this replica voted for in `term`; empty when none.
  base::HostId vote;
  Incarnation incarnation = 0;
  // Entries up to this index were committed; kept only under
  // CommitRecord::kBeforeApply.
  Index commit = 0;

  bool operator==(const HardState&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term, vote, incarnation, commit);
  }
};

// The applied state up to and including `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  MemberList members;
  std::string state;

  bool operator==(const Snapshot&) const = default;

  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(index, term, state);
    SaveList(archive, members);
  }
  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    archive(index, term, state);
    LoadList(archive, members);
  }
};

// What happens to the stored entries after a snapshot's index.
enum class LogAfterSnapshot : std::uint8_t { kKeep, kDiscard };

// Changes that storage makes durable in the order of the fields.
struct PersistBatch {
  // Rises by one per batch.
  std::uint64_t sequence = 0;
  std::optional<HardState> hard_state{};
  // Replaces the log up to its index.
  std::shared_ptr<const Snapshot> snapshot{};
  LogAfterSnapshot log_after_snapshot = LogAfterSnapshot::kKeep;
  // Removes entries from this index on; 0 removes none.
  Index truncate_from = 0;
  Index first_index = 0;
  std::vector<Entry> entries{};

  bool empty() const {
    return !hard_state && !snapshot && truncate_from == 0 && entries.empty();
  }
};

// What storage holds after a start.
struct StoredState {
  // Empty when the folder holds no replica.
  std::optional<HardState> hard_state;
  std::shared_ptr<const Snapshot> snapshot;
  // Contiguous; the first one follows the snapshot.
  std::vector<Entry> entries;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_ENTRY_H_
