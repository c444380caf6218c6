#include "consensus/log_storage.h"

#include <algorithm>
#include <array>
#include <utility>

#include "consensus/log_segment.h"

namespace wigeonstair::consensus {

namespace {

BatchRecord ToRecord(const PersistBatch& batch) {
  BatchRecord record{
      .has_hard_state = batch.hard_state ? std::uint8_t{1} : std::uint8_t{0},
      .hard_state = batch.hard_state.value_or(HardState()),
      .log_after_snapshot = batch.log_after_snapshot,
      .truncate_from = batch.truncate_from,
      .first_index = batch.first_index,
      .entries = batch.entries};
  if (batch.snapshot) {
    record.snapshot_index = batch.snapshot->index;
    record.snapshot_term = batch.snapshot->term;
  }
  return record;
}

}  // namespace

LogStorage::LogStorage(LogStorageOptions options)
    : options_(std::move(options)) {}

base::Result<std::unique_ptr<LogStorage>> LogStorage::create(
    LogStorageOptions options) {
  std::unique_ptr<LogStorage> storage(new LogStorage(std::move(options)));
  TRY(storage->Load());
  return storage;
}

DiskResult LogStorage::WriteFrame(std::string_view payload) {
  const std::string frame =
      MakeFrame(segments_.back().sequence, file_bytes_, payload);
  const std::uint64_t end = file_bytes_ + frame.size();
  if (end > reserved_bytes_) {
    TRY(file_->Reserve(end + options_.reserve_bytes));
    reserved_bytes_ = end + options_.reserve_bytes;
  }
  TRY(file_->Append(frame));
  TRY(SyncFile());
  file_bytes_ += frame.size();
  return std::monostate();
}

DiskResult LogStorage::SyncFile() {
  if (options_.fault == PlantedFault::kSkipSync)
    return std::monostate();
  if (options_.fault == PlantedFault::kIgnoreFailedSync) {
    base::Capture([&] { return file_->Sync(); });
    return std::monostate();
  }
  return file_->Sync();
}

// Reserved space in a segment that is not the last would look like damage, so
// its removal is durable before the next segment exists.
DiskResult LogStorage::CloseSegment() {
  if (!file_ || options_.fault == PlantedFault::kSkipTrim)
    return std::monostate();
  TRY(file_->Trim());
  return SyncFile();
}

DiskResult LogStorage::StartSegment() {
  TRY(CloseSegment());
  const std::uint64_t sequence =
      segments_.empty() ? 1 : segments_.back().sequence + 1;
  SegmentHeader header{.format = kFormat,
                       .group = options_.group,
                       .host = options_.host,
                       .state = {}};
  header.state.has_hard_state = hard_state_ ? 1 : 0;
  header.state.hard_state = hard_state_.value_or(HardState());
  header.state.snapshot_index = snapshot_index_;
  header.state.snapshot_term = snapshot_term_;
  // Segments that were removed had no entry after the snapshot.
  Index last_index_before = snapshot_index_;
  for (const Segment& segment : segments_)
    last_index_before = std::max(last_index_before, segment.last_index);
  header.state.first_index = last_index_before + 1;
  file_ = TRY(options_.disk->Create(SegmentName(sequence)));
  file_bytes_ = 0;
  reserved_bytes_ = 0;
  segments_.push_back(
      {.sequence = sequence, .last_index_before = last_index_before});
  starting_segment_ = true;
  TRY(WriteFrame(Encode(header)));
  TRY(options_.disk->SyncFolder());
  starting_segment_ = false;
  return std::monostate();
}

DiskResult LogStorage::WriteSnapshot(const Snapshot& snapshot) {
  const SnapshotParts encoded = EncodeParts(snapshot);
  const std::array<std::string_view, 3> parts = {encoded.before, encoded.state,
                                                 encoded.after};
  auto file = TRY(options_.disk->Create(kTemporarySnapshot));
  // Frame 0 of "segment" 0, so a snapshot file has the checksum of a record.
  TRY(file->Append(MakeFrameHeader(0, 0, parts)));
  for (const std::string_view part : parts)
    TRY(file->Append(part));
  TRY(file->Sync());
  file.reset();
  TRY(options_.disk->Rename(kTemporarySnapshot, SnapshotName(snapshot.index)));
  return options_.disk->SyncFolder();
}

DiskResult LogStorage::Write(std::span<const PersistBatch> batches) {
  if (failure_)
    return base::Fail(*failure_);
  auto outcome = base::Capture([&] { return WriteChecked(batches); });
  if (auto* error = std::get_if<base::Error>(&outcome)) {
    failure_ = *error;
    return base::Fail(std::move(*error));
  }
  return std::monostate();
}

DiskResult LogStorage::Recover() {
  if (!failure_)
    return std::monostate();
  TRY(CutFailedWrite());
  base::Capture([&] { return options_.disk->Remove(kTemporarySnapshot); });
  failure_.reset();
  return std::monostate();
}

// All bytes up to `file_bytes_` were synced before the failed write.
DiskResult LogStorage::CutFailedWrite() {
  if (starting_segment_) {
    TRY(options_.disk->Remove(SegmentName(segments_.back().sequence)));
    TRY(options_.disk->SyncFolder());
    // The segment before it was closed.
    file_.reset();
    segments_.pop_back();
    starting_segment_ = false;
    return std::monostate();
  }
  if (!file_)
    return std::monostate();
  auto file = TRY(options_.disk->OpenAt(SegmentName(segments_.back().sequence),
                                        file_bytes_));
  TRY(file->Sync());
  file_ = std::move(file);
  reserved_bytes_ = file_bytes_;
  return std::monostate();
}

DiskResult LogStorage::WriteChecked(std::span<const PersistBatch> batches) {
  if (!file_ || file_bytes_ >= options_.segment_bytes)
    TRY(StartSegment());
  BatchRecords records;
  bool has_snapshot = false;
  for (const PersistBatch& batch : batches) {
    if (batch.snapshot) {
      TRY(WriteSnapshot(*batch.snapshot));
      has_snapshot = true;
    }
    records.push_back(ToRecord(batch));
  }
  TRY(WriteFrame(Encode(records)));
  for (const BatchRecord& record : records) {
    if (record.has_hard_state != 0)
      hard_state_ = record.hard_state;
    if (record.snapshot_index != 0) {
      snapshot_index_ = record.snapshot_index;
      snapshot_term_ = record.snapshot_term;
    }
    if (!record.entries.empty()) {
      Index& last = segments_.back().last_index;
      last = std::max(last, record.first_index + record.entries.size() - 1);
    }
  }
  if (has_snapshot)
    RemoveObsolete();
  return std::monostate();
}

// The record that names the new snapshot is durable, so files that only the old
// one needs may go. The folder is not synced: a loss of power may bring back
// any of them, which Load() accepts. A file that stays is only space.
void LogStorage::RemoveObsolete() {
  while (segments_.size() > 1 &&
         segments_.front().last_index <= snapshot_index_) {
    const std::string name = SegmentName(segments_.front().sequence);
    const auto removed =
        base::Capture([&] { return options_.disk->Remove(name); });
    if (std::holds_alternative<base::Error>(removed))
      return;
    segments_.pop_front();
  }
  base::Capture([&] { return RemoveLeftovers(); });
}

}  // namespace wigeonstair::consensus
