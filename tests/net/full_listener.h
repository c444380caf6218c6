#ifndef WIGEONSTAIR_TESTS_NET_FULL_LISTENER_H_
#define WIGEONSTAIR_TESTS_NET_FULL_LISTENER_H_

#include <string>
#include <vector>

namespace wigeonstair::net {

// An address at which no further connection opens: the queue of the listener is
// full, so the kernel drops what would open one, as on the way to a host that
// is gone.
class FullListener {
 public:
  FullListener();
  ~FullListener();
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  std::string address() const { return address_; }

 private:
  std::vector<int> sockets_;
  std::string address_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_TESTS_NET_FULL_LISTENER_H_
