#ifndef WIGEONSTAIR_LIBRARIES_NET_DATAGRAM_SOCKET_H_
#define WIGEONSTAIR_LIBRARIES_NET_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/message_channel.h"

namespace wigeonstair::net {

// Fits one Ethernet frame with room for tunnel headers, so that datagrams are
// not fragmented.
inline constexpr std::size_t kMaximumDatagramBytes = 1200;
inline constexpr std::size_t kDatagramHeaderBytes = 18;
inline constexpr std::size_t kMaximumDatagramBodyBytes =
    kMaximumDatagramBytes - kDatagramHeaderBytes;

struct DatagramSocketOptions {
  // Port 0 lets the system choose.
  Address address;
  std::string cluster;
  // Runs on a loop thread and must not block.
  std::function<void(const Address& sender, MessageType type, std::string body)>
      handler;
};

// UDP with a checksum and a hash of the cluster's name in each datagram. Others
// are dropped and counted. No handler runs after destruction, which waits for a
// running one unless that one destroys the socket.
class DatagramSocket {
 public:
  static base::Result<std::unique_ptr<DatagramSocket>> create(
      EventLoop& loop,
      DatagramSocketOptions options);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Sends without a promise of delivery. A body that does not fit is dropped
  // and counted. Thread-safe.
  void Send(const Address& peer, MessageType type, const std::string& body);
  Address address() const;
  // Datagrams that were malformed, of another cluster, too long or refused by
  // the system.
  std::uint64_t dropped() const;

 private:
  struct Implementation;
  explicit DatagramSocket(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_DATAGRAM_SOCKET_H_
