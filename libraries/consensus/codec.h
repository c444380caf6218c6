#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_CODEC_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_CODEC_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/log_entry.h"
#include "consensus/member.h"
#include "consensus/message.h"

namespace wigeonstair::consensus {

// Encoders and decoders of everything that crosses the network or the disk.
// Decoders accept any bytes, need memory in proportion to them, refuse bytes
// that are left over, and fail with kCorruptData.
std::string Encode(const Message& message);
std::string Encode(const Snapshot& snapshot);
// Encode(snapshot) is these parts, one after the other. Its state is not
// copied, because it may be as large as everything else that the process holds.
struct SnapshotParts {
  std::string before;
  std::string_view state;
  std::string after;
};
SnapshotParts EncodeParts(const Snapshot& snapshot);
std::string Encode(const MemberList& members);
std::string Encode(const MemberChange& change);

template <typename T>
base::Result<T> Decode(std::string_view bytes);

// The stored form of a batch. The snapshot's state has a file of its own.
struct BatchRecord {
  // 0 or 1.
  std::uint8_t has_hard_state = 0;
  HardState hard_state;
  // 0 without a snapshot.
  Index snapshot_index = 0;
  Term snapshot_term = 0;
  LogAfterSnapshot log_after_snapshot = LogAfterSnapshot::kKeep;
  Index truncate_from = 0;
  Index first_index = 0;
  std::vector<Entry> entries;

  bool operator==(const BatchRecord&) const = default;
  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(has_hard_state, hard_state, snapshot_index, snapshot_term,
            log_after_snapshot, truncate_from, first_index);
    SaveList(archive, entries);
  }
  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    archive(has_hard_state, hard_state, snapshot_index, snapshot_term,
            log_after_snapshot, truncate_from, first_index);
    LoadList(archive, entries);
  }
};

// The first frame of a segment. Its batch repeats the hard state and the
// snapshot in force, so that earlier segments can be removed. Without entries,
// its `first_index` follows the highest index in all earlier segments; 0 in
// segments of older versions.
struct SegmentHeader {
  std::uint32_t format = 0;
  std::string group;
  base::HostId host;
  BatchRecord state;

  bool operator==(const SegmentHeader&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(format, group, host, state);
  }
};

// The batches that were written and made durable together.
using BatchRecords = std::vector<BatchRecord>;

std::string Encode(const SegmentHeader& header);
std::string Encode(const BatchRecords& records);

// xxHash64 of the bytes, started from `seed`.
std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed = 0);
// The same of the parts, one after the other.
std::uint64_t Checksum(std::span<const std::string_view> parts,
                       std::uint64_t seed);

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_CODEC_H_
