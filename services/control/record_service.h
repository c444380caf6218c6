#ifndef WIGEONSTAIR_SERVICES_CONTROL_RECORD_SERVICE_H_
#define WIGEONSTAIR_SERVICES_CONTROL_RECORD_SERVICE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_clock.h"
#include "consensus/replica_runtime.h"
#include "net/message_server.h"
#include "net/peer_channels.h"
#include "records/messages.h"
#include "services/control/replicated_records.h"

namespace wigeonstair::control {

struct RecordServiceOptions {
  // Null on a host without a disk, which has no replica of the records.
  consensus::ReplicaRuntime* replica = nullptr;
  const ReplicatedRecords* records = nullptr;
  // Outlives the service.
  net::PeerChannels* channels = nullptr;
  // Message addresses of the hosts with a replica, nearest first. Used when
  // this host has none.
  std::vector<std::string> replica_hosts;
  base::Duration timeout = std::chrono::seconds(5);
};

// The check of ReplicaRuntimeOptions for group `records`: refuses a command
// whose time does not agree with this host's clock.
std::optional<base::Error> CheckRecordTime(std::string_view command);

// Answers the calls of entry processes about request records. Thread-safe.
class RecordService {
 public:
  explicit RecordService(RecordServiceOptions options);

  // Handles messages of type 200 to 299.
  void Handle(net::MessageType type, std::string body, net::MessageReply reply);

 private:
  void Propose(const std::string& body, net::MessageReply reply);
  void Query(const std::string& body, net::MessageReply reply);
  // Passes the call to the replica host of this position; on proof that it was
  // not proposed there, to the next one.
  void Forward(net::MessageType type,
               std::string body,
               std::size_t position,
               net::MessageReply reply);

  const RecordServiceOptions options_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_RECORD_SERVICE_H_
