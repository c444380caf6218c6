#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_STORAGE_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_STORAGE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "consensus/codec.h"
#include "consensus/disk.h"
#include "consensus/log_entry.h"
#include "consensus/log_replay.h"
#include "consensus/planted_fault.h"

namespace wigeonstair::consensus {

struct LogStorageOptions {
  // Outlives the storage.
  Disk* disk = nullptr;
  // A folder of another group or host is refused.
  std::string group;
  base::HostId host;
  // A new segment begins when the last one has reached this size.
  std::uint64_t segment_bytes = 4 * 1024 * 1024;
  // Space that is reserved at a time in a segment. One append in about a
  // thousand pays for it, and a whole segment at once would delay one by 4 ms.
  std::uint64_t reserve_bytes = 256 * 1024;
  // For tests only.
  PlantedFault fault = PlantedFault::kNone;
};

// What a start found besides the stored state.
struct RecoveryReport {
  // A write that did not finish before the last stop. Nothing in it had been
  // acknowledged.
  std::string torn_file;
  std::uint64_t torn_bytes = 0;
};

// The files of one replica. Not thread-safe. After a failed write it fails
// every further call until Recover() succeeds.
class LogStorage {
 public:
  // Reads the folder. Fails with kCorruptData, naming file and offset, when a
  // record other than the last one is damaged or missing.
  static base::Result<std::unique_ptr<LogStorage>> create(
      LogStorageOptions options);

  // What the folder holds; may be called once.
  StoredState TakeStoredState() { return std::move(stored_); }
  const RecoveryReport& recovery() const { return recovery_; }

  // Makes the batches durable, all together.
  DiskResult Write(std::span<const PersistBatch> batches);
  // After a failed Write(): cuts off what that write may have left behind, so
  // that it can be repeated. May be called again after a failure.
  DiskResult Recover();

  const std::optional<base::Error>& failure() const { return failure_; }

 private:
  struct Segment {
    std::uint64_t sequence = 0;
    // The highest index of an entry in it; 0 when it has none.
    Index last_index = 0;
    // The highest index of an entry in any segment before it. Empty when its
    // header does not tell.
    std::optional<Index> last_index_before;
  };

  static constexpr char kTemporarySnapshot[] = "snapshot.tmp";
  static constexpr std::uint32_t kFormat = 2;

  explicit LogStorage(LogStorageOptions options);

  DiskResult Load();
  // The first segment after the last gap in the sequence; 0 without a gap.
  std::size_t FirstAfterGap() const;
  DiskResult DropBeforeGap(std::size_t first, Index snapshot_index);
  DiskResult LoadSegment(std::size_t position, LogReplay& replay);
  DiskResult ReplayFrame(Segment& segment,
                         const std::string& name,
                         std::uint64_t offset,
                         std::string_view payload,
                         LogReplay& replay);
  DiskResult CutTornTail();
  DiskResult LoadSnapshot();
  DiskResult RemoveLeftovers();
  DiskResult WriteChecked(std::span<const PersistBatch> batches);
  DiskResult WriteSnapshot(const Snapshot& snapshot);
  DiskResult WriteFrame(std::string_view payload);
  DiskResult StartSegment();
  DiskResult CutFailedWrite();
  DiskResult CloseSegment();
  DiskResult SyncFile();
  void RemoveObsolete();

  LogStorageOptions options_;
  StoredState stored_;
  RecoveryReport recovery_;
  std::optional<base::Error> failure_;

  // In force after the last written batch.
  std::optional<HardState> hard_state_;
  Index snapshot_index_ = 0;
  Term snapshot_term_ = 0;

  std::deque<Segment> segments_;
  std::unique_ptr<DiskFile> file_;
  // Durable bytes of the open file.
  std::uint64_t file_bytes_ = 0;
  // The last segment was created and may not be durable.
  bool starting_segment_ = false;
  // The size of the open file, with the space reserved in it.
  std::uint64_t reserved_bytes_ = 0;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_STORAGE_H_
