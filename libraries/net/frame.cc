#include "net/frame.h"

#include <xxhash.h>

#include "net/wire.h"

namespace wigeonstair::net {

namespace {

constexpr std::uint8_t kFrameVersion = 1;

constexpr std::size_t kTypeOffset = 4;
constexpr std::size_t kKindOffset = 6;
constexpr std::size_t kVersionOffset = 7;
constexpr std::size_t kClusterOffset = 8;
constexpr std::size_t kCallOffset = 16;
constexpr std::size_t kChecksumOffset = 24;

std::uint64_t Checksum(std::string_view header, std::string_view body) {
  const std::uint64_t seed = XXH3_64bits(header.data(), kChecksumOffset);
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

}  // namespace

std::uint64_t ClusterFingerprint(std::string_view cluster) {
  return XXH3_64bits(cluster.data(), cluster.size());
}

std::string EncodeFrame(std::uint64_t cluster, const Frame& frame) {
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + frame.body.size());
  AppendNumber(bytes, static_cast<std::uint32_t>(frame.body.size()));
  AppendNumber(bytes, frame.type);
  AppendNumber(bytes, static_cast<std::uint8_t>(frame.kind));
  AppendNumber(bytes, kFrameVersion);
  AppendNumber(bytes, cluster);
  AppendNumber(bytes, frame.call);
  AppendNumber(bytes, Checksum(bytes, frame.body));
  bytes.append(frame.body);
  return bytes;
}

std::variant<NeedMoreBytes, Frame, FrameFault> FrameReader::Next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  const auto need_more = [this] {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return NeedMoreBytes{};
  };
  if (rest.size() < kFrameHeaderBytes)
    return need_more();
  if (ReadNumber<std::uint8_t>(rest, kVersionOffset) != kFrameVersion)
    return FrameFault::kVersion;
  if (ReadNumber<std::uint64_t>(rest, kClusterOffset) != cluster_)
    return FrameFault::kCluster;
  const auto kind = ReadNumber<std::uint8_t>(rest, kKindOffset);
  if (kind > static_cast<std::uint8_t>(FrameKind::kAnswer))
    return FrameFault::kKind;
  const std::size_t length = ReadNumber<std::uint32_t>(rest, 0);
  if (length > frame_limit_bytes_)
    return FrameFault::kLength;
  if (rest.size() < kFrameHeaderBytes + length)
    return need_more();
  const std::string_view body = rest.substr(kFrameHeaderBytes, length);
  if (ReadNumber<std::uint64_t>(rest, kChecksumOffset) != Checksum(rest, body))
    return FrameFault::kChecksum;
  Frame frame{.type = ReadNumber<MessageType>(rest, kTypeOffset),
              .kind = static_cast<FrameKind>(kind),
              .call = ReadNumber<std::uint64_t>(rest, kCallOffset),
              .body = std::string(body)};
  consumed_ += kFrameHeaderBytes + length;
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  }
  return frame;
}

}  // namespace wigeonstair::net
