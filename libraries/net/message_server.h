#ifndef WIGEONSTAIR_LIBRARIES_NET_MESSAGE_SERVER_H_
#define WIGEONSTAIR_LIBRARIES_NET_MESSAGE_SERVER_H_

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

// Sends the answer to a call; does nothing for a one-way frame. May be called
// from any thread, at most once, also after the server was destroyed.
using MessageReply = std::function<void(std::string body)>;

// Runs on a loop thread and must not block.
using MessageHandler =
    std::function<void(MessageType type, std::string body, MessageReply reply)>;

struct MessageServerOptions {
  // Port 0 lets the system choose.
  Address address;
  std::string cluster;
  MessageHandler handler;
  // A larger frame closes the connection.
  std::size_t frame_limit_bytes = 16UL * 1024 * 1024;
  int connection_limit = 256;
};

// Accepts message channels. Malformed frames, frames with a wrong checksum or
// of another cluster close their connection and are counted. The handler runs
// for one frame at a time. It does not run after destruction, which waits for a
// running handler unless that one destroys the server.
class MessageServer {
 public:
  static base::Result<std::unique_ptr<MessageServer>> create(
      EventLoop& loop,
      MessageServerOptions options);
  ~MessageServer();
  MessageServer(const MessageServer&) = delete;
  MessageServer& operator=(const MessageServer&) = delete;

  // The address in use, with the port that was chosen.
  Address address() const;
  // Malformed frames and frames of another cluster.
  std::uint64_t refused_frames() const;

 private:
  struct Implementation;
  explicit MessageServer(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_MESSAGE_SERVER_H_
