#ifndef WIGEONSTAIR_LIBRARIES_NET_MESSAGE_CHANNEL_H_
#define WIGEONSTAIR_LIBRARIES_NET_MESSAGE_CHANNEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace wigeonstair::net {

// Says how the receiver decodes the body. Each library owns a range:
// consensus 100-199, records 200-299, cluster 300-399, membership 400-499,
// routing 500-599.
using MessageType = std::uint16_t;

// The answer's body, or why there is none. kUnavailable means that the request
// was not sent; kTimeout means that the peer may have acted on it.
using CallOutcome = std::variant<std::string, base::Error>;

struct MessageChannelOptions {
  Address peer;
  // Frames of another cluster are refused.
  std::string cluster;
  // Frames waiting for the connection; further ones are dropped.
  std::size_t queue_limit_bytes = 4UL * 1024 * 1024;
  base::Duration connect_timeout = std::chrono::milliseconds(500);
};

// A connection to one peer that reconnects with a growing delay. Thread-safe.
class MessageChannel {
 public:
  static base::Result<std::unique_ptr<MessageChannel>> create(
      EventLoop& loop,
      MessageChannelOptions options);
  ~MessageChannel();
  MessageChannel(const MessageChannel&) = delete;
  MessageChannel& operator=(const MessageChannel&) = delete;

  // Sends a frame that has no answer. It may be lost.
  void Send(MessageType type, std::string body);
  // Sends a frame and waits for its answer. `done` runs once, on a loop thread.
  // The destructor fails the open calls in this way and returns when no `done`
  // runs any more, so it must not hold a lock that a `done` takes. A call whose
  // frame waits for the connection fails when its timeout has passed.
  void Call(MessageType type,
            std::string body,
            base::Duration timeout,
            std::function<void(CallOutcome)> done);

 private:
  struct Implementation;
  explicit MessageChannel(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_MESSAGE_CHANNEL_H_
