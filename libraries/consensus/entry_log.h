#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_ENTRY_LOG_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_ENTRY_LOG_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/log_entry.h"
#include "consensus/member.h"

namespace wigeonstair::consensus {

// The log of a replica in memory: the newest snapshot and the entries after
// `base_index`, which is at most the snapshot's index. Also knows which members
// each position puts in force.
class EntryLog {
 public:
  // Keeps no entries; the members are empty until an entry names them.
  EntryLog() = default;
  explicit EntryLog(const StoredState& stored);

  Index last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const;
  // The entry at this index and before it are not in memory any more.
  Index base_index() const { return base_index_; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }
  Index snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }

  // Empty when the index is below base_index or above last_index. Index 0 has
  // term 0.
  std::optional<Term> TermAt(Index index) const;
  // `index` is in (base_index, last_index].
  const Entry& EntryAt(Index index) const;
  // The first index in memory whose entry has the term of the entry at `index`.
  Index FirstIndexOfTerm(Index index) const;
  // The last index whose term is at most `term`, or base_index.
  Index LastIndexUpToTerm(Term term) const;

  // The members in force after the last entry, and where they were set.
  const MemberList& members() const;
  Index members_index() const;
  MemberList MembersAt(Index index) const;

  void Append(Entry entry);
  void TruncateFrom(Index index);
  // Frees the state of the snapshot. The caller adopts a newer one before
  // anything asks for it.
  void DropSnapshotState();
  // Adopts a snapshot of entries that this log holds, and drops entries except
  // for the last `keep_entries` before the snapshot.
  void Compact(std::shared_ptr<const Snapshot> snapshot,
               std::size_t keep_entries);
  // Adopts a received snapshot. Later entries survive when the log holds the
  // snapshot's last entry.
  void Install(std::shared_ptr<const Snapshot> snapshot);

 private:
  void NoteMembers(Index index, const Entry& entry);

  Index base_index_ = 0;
  Term base_term_ = 0;
  std::shared_ptr<const Snapshot> snapshot_;
  std::deque<Entry> entries_;
  // Ordered by index.
  std::vector<std::pair<Index, MemberList>> members_{{0, {}}};
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_ENTRY_LOG_H_
