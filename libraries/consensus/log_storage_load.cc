#include <algorithm>
#include <string>
#include <utility>

#include "consensus/log_segment.h"
#include "consensus/log_storage.h"

namespace wigeonstair::consensus {

namespace {

base::Result<SegmentHeader> CheckHeader(const LogStorageOptions& options,
                                        std::uint32_t format,
                                        const std::string& file,
                                        std::string_view payload) {
  SegmentHeader header = TRY(Decode<SegmentHeader>(payload));
  if (header.format != format) {
    return base::Fail(base::ErrorCode::kCorruptData, "read log segment", file,
                      "format " + std::to_string(header.format) +
                          " is not known to this version");
  }
  if (header.group != options.group || header.host != options.host) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "read log segment",
                      file,
                      "the folder belongs to group '" + header.group +
                          "' of host '" + header.host.value() + "'");
  }
  return header;
}

}  // namespace

DiskResult LogStorage::Load() {
  std::vector<std::string> names = TRY(options_.disk->List());
  std::sort(names.begin(), names.end());
  for (const std::string& name : names) {
    if (const auto sequence = ParseSegmentName(name))
      segments_.push_back({.sequence = *sequence});
  }
  LogReplay replay;
  const std::size_t first = FirstAfterGap();
  for (std::size_t i = first; i < segments_.size(); ++i)
    TRY(LoadSegment(i, replay));
  if (first > 0)
    TRY(DropBeforeGap(first, replay.snapshot_index()));
  if (recovery_.torn_bytes > 0)
    TRY(CutTornTail());
  hard_state_ = stored_.hard_state = replay.hard_state();
  snapshot_index_ = replay.snapshot_index();
  snapshot_term_ = replay.snapshot_term();
  stored_.entries = TRY(replay.TakeEntries());
  if (snapshot_index_ != 0)
    TRY(LoadSnapshot());
  TRY(RemoveLeftovers());
  reserved_bytes_ = file_bytes_;
  if (segments_.empty() || file_)
    return std::monostate();
  file_ = TRY(options_.disk->OpenAt(SegmentName(segments_.back().sequence),
                                    file_bytes_));
  return std::monostate();
}

std::size_t LogStorage::FirstAfterGap() const {
  for (std::size_t i = segments_.size(); i > 1; --i) {
    if (segments_[i - 1].sequence != segments_[i - 2].sequence + 1)
      return i - 1;
  }
  return 0;
}

// Removals that were not synced are undone independently by a loss of power, so
// obsolete segments may be back while later ones are not. A segment is obsolete
// when the snapshot covers its entries; any other one that is missing was lost.
DiskResult LogStorage::DropBeforeGap(std::size_t first, Index snapshot_index) {
  const std::optional<Index> last_index = segments_[first].last_index_before;
  if (!last_index || *last_index > snapshot_index) {
    return base::Fail(base::ErrorCode::kCorruptData, "read log segment",
                      SegmentName(segments_[first - 1].sequence + 1),
                      "the file is missing");
  }
  for (; first > 0; --first) {
    TRY(options_.disk->Remove(SegmentName(segments_.front().sequence)));
    segments_.pop_front();
  }
  return std::monostate();
}

DiskResult LogStorage::LoadSegment(std::size_t position, LogReplay& replay) {
  Segment& segment = segments_[position];
  const std::string name = SegmentName(segment.sequence);
  const std::string bytes = TRY(options_.disk->Read(name));
  const SegmentFrames frames =
      TRY(SplitSegment(segment.sequence, name, bytes, options_.fault));
  const std::uint64_t torn = frames.torn_bytes;
  const bool is_last = position + 1 == segments_.size();
  // A full segment has no reserved space, so zeros at its end are damage.
  if (!is_last &&
      (frames.valid_bytes < bytes.size() || frames.payloads.empty())) {
    return base::Fail(base::ErrorCode::kCorruptData, "read log segment", name,
                      "the record at offset " +
                          std::to_string(frames.valid_bytes) +
                          " is damaged and later segments follow");
  }
  file_bytes_ = frames.valid_bytes;
  if (torn > 0 || frames.payloads.empty()) {
    recovery_ = {.torn_file = name,
                 // An empty file is a torn creation.
                 .torn_bytes = std::max<std::uint64_t>(torn, 1)};
  }
  std::uint64_t offset = 0;
  for (const std::string_view payload : frames.payloads) {
    TRY(ReplayFrame(segment, name, offset, payload, replay));
    offset += kFrameHeaderBytes + payload.size();
  }
  return std::monostate();
}

DiskResult LogStorage::ReplayFrame(Segment& segment,
                                   const std::string& name,
                                   std::uint64_t offset,
                                   std::string_view payload,
                                   LogReplay& replay) {
  BatchRecords records;
  auto outcome = base::Capture([&]() -> DiskResult {
    if (offset == 0) {
      records = {TRY(CheckHeader(options_, kFormat, name, payload)).state};
      if (records.front().first_index > 0)
        segment.last_index_before = records.front().first_index - 1;
    } else {
      records = TRY(Decode<BatchRecords>(payload));
    }
    for (const BatchRecord& record : records)
      TRY(replay.Apply(record));
    return std::monostate();
  });
  if (auto* error = std::get_if<base::Error>(&outcome)) {
    error->peer = name;
    error->detail =
        "record at offset " + std::to_string(offset) + ": " + error->detail;
    return base::Fail(std::move(*error));
  }
  for (const BatchRecord& record : records) {
    if (!record.entries.empty()) {
      segment.last_index = std::max(
          segment.last_index, record.first_index + record.entries.size() - 1);
    }
  }
  return std::monostate();
}

// The cut is made durable before anything is appended after it.
DiskResult LogStorage::CutTornTail() {
  if (file_bytes_ == 0) {
    // The segment's creation was torn; everything in force is in the one
    // before it.
    TRY(options_.disk->Remove(recovery_.torn_file));
    TRY(options_.disk->SyncFolder());
    segments_.pop_back();
    if (segments_.empty())
      return std::monostate();
    const std::string name = SegmentName(segments_.back().sequence);
    file_bytes_ = TRY(options_.disk->Read(name)).size();
    return std::monostate();
  }
  file_ = TRY(options_.disk->OpenAt(recovery_.torn_file, file_bytes_));
  return file_->Sync();
}

DiskResult LogStorage::LoadSnapshot() {
  const std::string name = SnapshotName(snapshot_index_);
  const std::string bytes = TRY(options_.disk->Read(name));
  const SegmentFrames frames = TRY(SplitSegment(0, name, bytes));
  if (frames.payloads.size() != 1 || frames.valid_bytes != bytes.size()) {
    return base::Fail(base::ErrorCode::kCorruptData, "read snapshot", name,
                      "the record at offset 0 is damaged");
  }
  Snapshot snapshot = TRY(Decode<Snapshot>(frames.payloads.front()));
  if (snapshot.index != snapshot_index_ || snapshot.term != snapshot_term_) {
    return base::Fail(base::ErrorCode::kCorruptData, "read snapshot", name,
                      "the file holds another snapshot");
  }
  stored_.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  return std::monostate();
}

// Removes snapshots that the log does not name: older ones, and one whose
// record was not written before the last stop.
DiskResult LogStorage::RemoveLeftovers() {
  const std::vector<std::string> names = TRY(options_.disk->List());
  for (const std::string& name : names) {
    const auto index = ParseSnapshotName(name);
    if ((index && *index != snapshot_index_) || name == kTemporarySnapshot)
      TRY(options_.disk->Remove(name));
  }
  return std::monostate();
}

}  // namespace wigeonstair::consensus
