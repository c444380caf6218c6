#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_SEGMENT_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_SEGMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/planted_fault.h"

namespace wigeonstair::consensus {

// A segment file is a sequence of frames:
//   length of the payload (4 bytes), checksum (8 bytes), payload
// with little-endian integers. The checksum covers the payload, and is seeded
// with the segment's sequence, the frame's offset and its length, so that a
// stale or moved frame is not valid.
//
// Each frame is written and made durable before the next one is written, so at
// most the last frame of the last segment can be torn.
//
// Zeros may follow the last frame of the last segment: space that was reserved
// so that an append does not change the file's size. They are cut, durably,
// before the next segment is created. A payload is never empty, so zeros are
// not a frame.

constexpr std::size_t kFrameHeaderBytes = 12;

// The frame of `payload` at `offset` of the segment with this sequence.
std::string MakeFrame(std::uint64_t segment,
                      std::uint64_t offset,
                      std::string_view payload);

// What stands before a payload that is written in parts.
std::string MakeFrameHeader(std::uint64_t segment,
                            std::uint64_t offset,
                            std::span<const std::string_view> parts);

struct SegmentFrames {
  // Views into the segment's bytes.
  std::vector<std::string_view> payloads;
  // The bytes up to here are valid.
  std::uint64_t valid_bytes = 0;
  // From there to the last byte that is not zero; 0 without a torn frame.
  std::uint64_t torn_bytes = 0;
};

// Splits a segment. Stops at a frame that is cut off or does not match its
// checksum when nothing valid follows it. Fails with kCorruptData, naming file
// and offset, when a valid frame follows.
base::Result<SegmentFrames> SplitSegment(
    std::uint64_t segment,
    const std::string& file,
    std::string_view bytes,
    PlantedFault fault = PlantedFault::kNone);

// "log-<sequence>" and "snapshot-<index>" with 20 digits, so that names sort.
std::string SegmentName(std::uint64_t sequence);
std::string SnapshotName(std::uint64_t index);
std::optional<std::uint64_t> ParseSegmentName(std::string_view name);
std::optional<std::uint64_t> ParseSnapshotName(std::string_view name);

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_LOG_SEGMENT_H_
