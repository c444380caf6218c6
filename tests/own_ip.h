#ifndef WIGEONSTAIR_TESTS_OWN_IP_H_
#define WIGEONSTAIR_TESTS_OWN_IP_H_

#include <unistd.h>

#include <string>

namespace wigeonstair {

// A loopback address for this process, so that tests that run at the same time
// cannot take each other's ports.
inline std::string OwnIp() {
  const int process = getpid();
  return "127." + std::to_string(1 + process / 250 % 250) + "." +
         std::to_string(1 + process % 250) + ".1";
}

}  // namespace wigeonstair

#endif  // WIGEONSTAIR_TESTS_OWN_IP_H_
