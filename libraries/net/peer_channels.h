#ifndef WIGEONSTAIR_LIBRARIES_NET_PEER_CHANNELS_H_
#define WIGEONSTAIR_LIBRARIES_NET_PEER_CHANNELS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "net/event_loop.h"
#include "net/message_channel.h"

namespace wigeonstair::net {

// One message channel for each peer address, opened at first use. Thread-safe.
class PeerChannels {
 public:
  // `loop` must outlive the object.
  PeerChannels(EventLoop& loop, std::string cluster);

  // Null when the address is malformed.
  std::shared_ptr<MessageChannel> Open(const std::string& address);
  // Drops the channel to an address, so that the next Open() connects anew.
  // Calls in progress on it end with an error.
  void Forget(const std::string& address);
  // Closes all channels; calls in progress end with an error.
  void Close();

 private:
  EventLoop& loop_;
  const std::string cluster_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<MessageChannel>> channels_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_PEER_CHANNELS_H_
