#ifndef WIGEONSTAIR_LIBRARIES_NET_DATAGRAM_H_
#define WIGEONSTAIR_LIBRARIES_NET_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/message_channel.h"

namespace wigeonstair::net {

// One message in one UDP datagram.
//
// Layout, little-endian: checksum of the rest (8), cluster (8), type (2), body.
struct Datagram {
  MessageType type = 0;
  std::string body;

  auto operator<=>(const Datagram&) const = default;
};

std::string EncodeDatagram(std::uint64_t cluster,
                           MessageType type,
                           std::string_view body);

// Nothing when the datagram is too short or too long, damaged, or of another
// cluster.
std::optional<Datagram> DecodeDatagram(std::uint64_t cluster,
                                       std::string_view bytes);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_DATAGRAM_H_
