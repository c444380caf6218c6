#ifndef WIGEONSTAIR_TESTS_OWN_IP_H_
#define WIGEONSTAIR_TESTS_OWN_IP_H_

#include <unistd.h>

#include <cstdint>
#include <string>

namespace wigeonstair {

// A loopback address for this process, so that tests that run at the same time
// cannot take each other's ports. Process ids have at most 22 bits, so no two
// processes share one.
inline std::string OwnIp() {
  constexpr unsigned kByte = 256;
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + process / kByte / kByte) + "." +
         std::to_string(process / kByte % kByte) + "." +
         std::to_string(process % kByte);
}

// A port of OwnIp() that stays free until the caller listens, and over its
// restarts: below the ports that the system gives to other sockets, and each
// one is returned once.
inline std::uint16_t NextOwnPort() {
  constexpr std::uint16_t kFirstPort = 20'000;
  static std::uint16_t last = kFirstPort;
  return ++last;
}

}  // namespace wigeonstair

#endif  // WIGEONSTAIR_TESTS_OWN_IP_H_
