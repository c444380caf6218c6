#include "net/datagram.h"

#include <xxhash.h>

#include "net/datagram_socket.h"
#include "net/wire.h"

namespace wigeonstair::net {

namespace {

constexpr std::size_t kClusterOffset = 8;
constexpr std::size_t kTypeOffset = 16;
static_assert(kDatagramHeaderBytes == kTypeOffset + sizeof(MessageType));

std::uint64_t Checksum(std::string_view datagram) {
  return XXH3_64bits(datagram.data() + kClusterOffset,
                     datagram.size() - kClusterOffset);
}

}  // namespace

std::string EncodeDatagram(std::uint64_t cluster,
                           MessageType type,
                           std::string_view body) {
  std::string tail;
  tail.reserve(kDatagramHeaderBytes + body.size());
  AppendNumber(tail, std::uint64_t{0});
  AppendNumber(tail, cluster);
  AppendNumber(tail, type);
  tail += body;
  std::string datagram;
  datagram.reserve(tail.size());
  AppendNumber(datagram, Checksum(tail));
  datagram.append(tail, kClusterOffset);
  return datagram;
}

std::optional<Datagram> DecodeDatagram(std::uint64_t cluster,
                                       std::string_view bytes) {
  if (bytes.size() < kDatagramHeaderBytes ||
      bytes.size() > kMaximumDatagramBytes ||
      ReadNumber<std::uint64_t>(bytes, 0) != Checksum(bytes) ||
      ReadNumber<std::uint64_t>(bytes, kClusterOffset) != cluster)
    return std::nullopt;
  return Datagram{.type = ReadNumber<MessageType>(bytes, kTypeOffset),
                  .body = std::string(bytes.substr(kDatagramHeaderBytes))};
}

}  // namespace wigeonstair::net
