#ifndef WIGEONSTAIR_SERVICES_ENTRY_MESSAGE_RECORD_CLIENT_H_
#define WIGEONSTAIR_SERVICES_ENTRY_MESSAGE_RECORD_CLIENT_H_

#include <functional>
#include <string>

#include "net/event_loop.h"
#include "net/message_channel.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

// Accesses the request records through the message channel to the control
// process of the same host. Loop and channel must outlive this object.
class MessageRecordClient : public RecordClient {
 public:
  MessageRecordClient(net::EventLoop& loop, net::MessageChannel& channel)
      : loop_(loop), channel_(channel) {}

  void Propose(records::RecordCommand command,
               base::Duration timeout,
               std::function<void(Reply)> done) override;
  void Query(records::RecordQuery query,
             base::Duration timeout,
             std::function<void(Reply)> done) override;

 private:
  net::EventLoop& loop_;
  net::MessageChannel& channel_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_MESSAGE_RECORD_CLIENT_H_
