#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_REPLAY_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_REPLAY_H_

#include <deque>
#include <optional>
#include <string>

#include "base/result.h"
#include "consensus/codec.h"
#include "consensus/disk.h"
#include "consensus/log_entry.h"

namespace wigeonstair::consensus {

// Rebuilds the stored state from the batches of all segments in their order.
class LogReplay {
 public:
  // Fails with kCorruptData when the batch does not continue the log.
  DiskResult Apply(const BatchRecord& record);

  const std::optional<HardState>& hard_state() const { return hard_state_; }
  Index snapshot_index() const { return snapshot_index_; }
  Term snapshot_term() const { return snapshot_term_; }

  // The entries after the snapshot. Fails with kCorruptData when the first one
  // does not follow it.
  base::Result<std::vector<Entry>> TakeEntries();

 private:
  DiskResult Truncate(Index from);
  DiskResult AddEntries(const BatchRecord& record);
  void DropUpTo(Index index);

  std::optional<HardState> hard_state_;
  Index snapshot_index_ = 0;
  Term snapshot_term_ = 0;
  // Index of the first of entries_. Segments whose entries a snapshot covers
  // were removed, so the log may begin at any index up to the one after the
  // newest snapshot.
  Index first_index_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_REPLAY_H_
