#include "net/datagram.h"

#include "fuzz/fuzz.h"

// The header and the checksum of a datagram.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wigeonstair;
  constexpr std::uint64_t kCluster = 0;
  const std::string_view bytes = fuzz::ToBytes(data, size);
  const auto decoded = net::DecodeDatagram(kCluster, bytes);
  if (decoded) {
    fuzz::Require(net::EncodeDatagram(kCluster, decoded->type, decoded->body) ==
                  bytes);
  }
  return 0;
}
