#ifndef WIGEONSTAIR_LIBRARIES_NET_ADDRESS_H_
#define WIGEONSTAIR_LIBRARIES_NET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace wigeonstair::net {

// An IPv4 address and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const Address&) const = default;

  // "ip:port".
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// Parses "ip:port". Fails with kInvalidArgument.
base::Result<Address> ParseAddress(std::string_view text);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_ADDRESS_H_
