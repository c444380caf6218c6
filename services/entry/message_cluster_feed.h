#ifndef WIGEONSTAIR_SERVICES_ENTRY_MESSAGE_CLUSTER_FEED_H_
#define WIGEONSTAIR_SERVICES_ENTRY_MESSAGE_CLUSTER_FEED_H_

#include <cstdint>
#include <mutex>

#include "cluster/messages.h"
#include "net/event_loop.h"
#include "net/message_channel.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

// Polls the control process of the same host twice a second for changes of the
// cluster state. While it does not answer, the last view remains valid. Loop
// and channel must outlive this object. The owner must stop the loop before
// destroying it, so that no reply arrives afterwards.
class MessageClusterFeed : public ClusterFeed {
 public:
  MessageClusterFeed(net::EventLoop& loop, net::MessageChannel& channel);
  ~MessageClusterFeed() override;

  routing::ClusterView Latest() override;

 private:
  void Poll();
  void Receive(const net::CallOutcome& outcome,
               std::uint64_t requested_revision);

  net::EventLoop& loop_;
  net::MessageChannel& channel_;
  net::EventLoop::TimerId timer_;
  std::mutex mutex_;
  cluster::View view_;
  routing::ClusterView latest_;
  // Set when a reply could not be decoded or applied to the current view. The
  // next poll then requests the whole view instead of the changes.
  bool full_view_required_ = false;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_MESSAGE_CLUSTER_FEED_H_
