#include "consensus/log_replay.h"

#include <algorithm>
#include <iterator>

namespace wigeonstair::consensus {

namespace {

boost::leaf::error_id Gap(std::string detail) {
  return base::Fail(base::ErrorCode::kCorruptData, "replay log", {},
                    std::move(detail));
}

}  // namespace

DiskResult LogReplay::Apply(const BatchRecord& record) {
  if (record.has_hard_state != 0)
    hard_state_ = record.hard_state;
  if (record.snapshot_index != 0) {
    if (record.snapshot_index < snapshot_index_)
      return Gap("a snapshot is older than the one before it");
    snapshot_index_ = record.snapshot_index;
    snapshot_term_ = record.snapshot_term;
    if (record.log_after_snapshot == LogAfterSnapshot::kDiscard)
      entries_.clear();
    DropUpTo(snapshot_index_);
  }
  if (record.truncate_from != 0)
    TRY(Truncate(record.truncate_from));
  if (!record.entries.empty())
    TRY(AddEntries(record));
  return std::monostate();
}

void LogReplay::DropUpTo(Index index) {
  while (!entries_.empty() && first_index_ <= index) {
    entries_.pop_front();
    ++first_index_;
  }
}

DiskResult LogReplay::Truncate(Index from) {
  if (from <= snapshot_index_)
    return Gap("a removal reaches into the snapshot");
  while (!entries_.empty() && first_index_ + entries_.size() > from)
    entries_.pop_back();
  return std::monostate();
}

DiskResult LogReplay::AddEntries(const BatchRecord& record) {
  if (entries_.empty()) {
    first_index_ = record.first_index;
  } else if (record.first_index != first_index_ + entries_.size()) {
    return Gap("entry " + std::to_string(record.first_index) +
               " does not follow entry " +
               std::to_string(first_index_ + entries_.size() - 1));
  }
  if (record.first_index <= snapshot_index_)
    return Gap("an entry lies before the snapshot");
  std::copy(record.entries.begin(), record.entries.end(),
            std::back_inserter(entries_));
  return std::monostate();
}

base::Result<std::vector<Entry>> LogReplay::TakeEntries() {
  if (!entries_.empty() && first_index_ != snapshot_index_ + 1) {
    return Gap("entries after " + std::to_string(snapshot_index_) +
               " and before " + std::to_string(first_index_) + " are missing");
  }
  return std::vector<Entry>(std::make_move_iterator(entries_.begin()),
                            std::make_move_iterator(entries_.end()));
}

}  // namespace wigeonstair::consensus
