#ifndef WIGEONSTAIR_LIBRARIES_NET_FRAME_H_
#define WIGEONSTAIR_LIBRARIES_NET_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "net/message_channel.h"

namespace wigeonstair::net {

enum class FrameKind : std::uint8_t { kOneWay, kCall, kAnswer };

// One message on a TCP connection.
//
// Layout, little-endian: body length (4), type (2), kind (1), version (1),
// cluster (8), call id (8), checksum (8), body. The checksum covers the header
// before it and the body.
struct Frame {
  MessageType type = 0;
  FrameKind kind = FrameKind::kOneWay;
  // Pairs an answer with its call; zero in a one-way frame.
  std::uint64_t call = 0;
  std::string body;

  auto operator<=>(const Frame&) const = default;
};

inline constexpr std::size_t kFrameHeaderBytes = 32;
inline constexpr std::size_t kDefaultFrameLimitBytes = 16UL * 1024 * 1024;

// A hash of the cluster's name, which keeps frames short.
std::uint64_t ClusterFingerprint(std::string_view cluster);

std::string EncodeFrame(std::uint64_t cluster, const Frame& frame);

enum class FrameFault { kVersion, kCluster, kKind, kLength, kChecksum };

struct NeedMoreBytes {};

// Cuts a byte stream into frames. Its memory grows with the bytes received,
// not with the length that a header claims. After a fault the stream cannot be
// read on.
class FrameReader {
 public:
  FrameReader(std::uint64_t cluster, std::size_t frame_limit_bytes)
      : cluster_(cluster), frame_limit_bytes_(frame_limit_bytes) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  std::variant<NeedMoreBytes, Frame, FrameFault> Next();

 private:
  std::uint64_t cluster_;
  std::size_t frame_limit_bytes_;
  std::string buffer_;
  // Bytes of the buffer that were already returned as frames.
  std::size_t consumed_ = 0;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_FRAME_H_
