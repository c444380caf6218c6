#include "consensus/log_segment.h"

#include <charconv>

#include "consensus/codec.h"

namespace wigeonstair::consensus {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::size_t kNameDigits = 20;

void PutInteger(std::string& bytes, std::uint64_t value, int size) {
  for (int i = 0; i < size; ++i)
    bytes.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t TakeInteger(std::string_view bytes, int size) {
  std::uint64_t value = 0;
  for (int i = 0; i < size; ++i) {
    const auto byte =
        static_cast<std::uint8_t>(bytes[static_cast<std::size_t>(i)]);
    value |= static_cast<std::uint64_t>(byte) << (8 * i);
  }
  return value;
}

std::size_t SizeOf(std::span<const std::string_view> parts) {
  std::size_t size = 0;
  for (const std::string_view part : parts)
    size += part.size();
  return size;
}

std::uint64_t FrameChecksum(std::uint64_t segment,
                            std::uint64_t offset,
                            std::span<const std::string_view> payload) {
  std::string place;
  PutInteger(place, segment, 8);
  PutInteger(place, offset, 8);
  PutInteger(place, SizeOf(payload), 8);
  return Checksum(payload, Checksum(place));
}

// The payload of the frame at `offset`, or nothing when it is not valid.
std::optional<std::string_view> FrameAt(std::uint64_t segment,
                                        std::string_view bytes,
                                        std::uint64_t offset) {
  if (bytes.size() - offset < kFrameHeaderBytes)
    return std::nullopt;
  const std::uint64_t length = TakeInteger(bytes.substr(offset), 4);
  const std::uint64_t checksum = TakeInteger(bytes.substr(offset + 4), 8);
  const std::uint64_t start = offset + kFrameHeaderBytes;
  if (length == 0 || length > bytes.size() - start)
    return std::nullopt;
  const std::string_view payload = bytes.substr(start, length);
  if (FrameChecksum(segment, offset, {&payload, 1}) != checksum)
    return std::nullopt;
  return payload;
}

std::string MakeName(std::string_view prefix, std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(prefix) + std::string(kNameDigits - digits.size(), '0') +
         digits;
}

std::optional<std::uint64_t> ParseName(std::string_view prefix,
                                       std::string_view name) {
  if (!name.starts_with(prefix) || name.size() != prefix.size() + kNameDigits)
    return std::nullopt;
  name.remove_prefix(prefix.size());
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc() || end != name.data() + name.size())
    return std::nullopt;
  return number;
}

}  // namespace

std::string MakeFrame(std::uint64_t segment,
                      std::uint64_t offset,
                      std::string_view payload) {
  return MakeFrameHeader(segment, offset, {&payload, 1}).append(payload);
}

std::string MakeFrameHeader(std::uint64_t segment,
                            std::uint64_t offset,
                            std::span<const std::string_view> parts) {
  std::string header;
  PutInteger(header, SizeOf(parts), 4);
  PutInteger(header, FrameChecksum(segment, offset, parts), 8);
  return header;
}

base::Result<SegmentFrames> SplitSegment(std::uint64_t segment,
                                         const std::string& file,
                                         std::string_view bytes,
                                         PlantedFault fault) {
  SegmentFrames frames;
  while (frames.valid_bytes < bytes.size()) {
    const auto payload = FrameAt(segment, bytes, frames.valid_bytes);
    if (!payload)
      break;
    frames.payloads.push_back(*payload);
    frames.valid_bytes += kFrameHeaderBytes + payload->size();
  }
  const std::string_view rest = bytes.substr(frames.valid_bytes);
  const std::size_t last = rest.find_last_not_of('\0');
  if (last == std::string_view::npos)
    return frames;
  if (fault == PlantedFault::kStopAtZeros && rest.front() == '\0')
    return frames;
  frames.torn_bytes = last + 1;
  for (std::uint64_t offset = frames.valid_bytes + 1;
       offset + kFrameHeaderBytes <= bytes.size(); ++offset) {
    if (FrameAt(segment, bytes, offset)) {
      return base::Fail(
          base::ErrorCode::kCorruptData, "read log segment", file,
          "the record at offset " + std::to_string(frames.valid_bytes) +
              " is damaged but the one at offset " + std::to_string(offset) +
              " is intact; replace this host's data folder");
    }
  }
  return frames;
}

std::string SegmentName(std::uint64_t sequence) {
  return MakeName(kSegmentPrefix, sequence);
}

std::string SnapshotName(std::uint64_t index) {
  return MakeName(kSnapshotPrefix, index);
}

std::optional<std::uint64_t> ParseSegmentName(std::string_view name) {
  return ParseName(kSegmentPrefix, name);
}

std::optional<std::uint64_t> ParseSnapshotName(std::string_view name) {
  return ParseName(kSnapshotPrefix, name);
}

}  // namespace wigeonstair::consensus
