#include "net/peer_channels.h"

#include <utility>
#include <variant>

namespace wigeonstair::net {

PeerChannels::PeerChannels(EventLoop& loop, std::string cluster)
    : loop_(loop), cluster_(std::move(cluster)) {}

std::shared_ptr<MessageChannel> PeerChannels::Open(const std::string& address) {
  std::lock_guard lock(mutex_);
  const auto known = channels_.find(address);
  if (known != channels_.end())
    return known->second;
  auto created =
      base::Capture([&]() -> base::Result<std::shared_ptr<MessageChannel>> {
        std::shared_ptr<MessageChannel> channel = TRY(MessageChannel::create(
            loop_, {.peer = TRY(ParseAddress(address)), .cluster = cluster_}));
        return channel;
      });
  if (std::holds_alternative<base::Error>(created))
    return nullptr;
  return channels_[address] =
             std::get<std::shared_ptr<MessageChannel>>(created);
}

void PeerChannels::Forget(const std::string& address) {
  std::shared_ptr<MessageChannel> dropped;
  {
    std::lock_guard lock(mutex_);
    const auto known = channels_.find(address);
    if (known == channels_.end())
      return;
    dropped = std::move(known->second);
    channels_.erase(known);
  }
  // Not here: a callback of the channel may be what asks for this.
  loop_.Post([dropped = std::move(dropped)] {});
}

void PeerChannels::Close() {
  std::map<std::string, std::shared_ptr<MessageChannel>> closing;
  std::lock_guard lock(mutex_);
  closing.swap(channels_);
}

}  // namespace wigeonstair::net
