#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SERVICE_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/result.h"
#include "membership/snapshot.h"
#include "membership/table.h"
#include "net/event_loop.h"
#include "net/message_server.h"

namespace wigeonstair::membership {

struct ServiceOptions {
  TableOptions table;
  std::string cluster;
  // Message addresses of other members, to join through. At least one of the
  // own domain, if there is one, because only its copy has the upstreams.
  std::vector<net::Address> seeds;
  // Sends a datagram from the process's socket. Thread-safe.
  std::function<
      void(const net::Address&, net::MessageType, const std::string& body)>
      send;
  // Runs after a change, on a loop thread, and must not block or call the
  // service other than snapshot().
  std::function<void(std::shared_ptr<const Snapshot>)> on_change;
  std::shared_ptr<base::EventLog> log;
  // Optional; outlives the service.
  base::CounterRegistry* counters = nullptr;
};

// Runs a Table on an event loop. The process owns the datagram socket and the
// message server, which several libraries share on one port, and passes on what
// arrives with the message types 400 to 409. Thread-safe.
class Service {
 public:
  static base::Result<std::unique_ptr<Service>> create(net::EventLoop& loop,
                                                       ServiceOptions options);
  // No on_change runs after this returns. Not to be called by on_change.
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // kGossipMessageType.
  void HandleDatagram(const net::Address& sender, const std::string& body);
  // kJoinMessageType.
  void HandleJoin(const std::string& body, const net::MessageReply& reply);

  void SetStatus(const LocalStatus& status);
  // For the holder of the domain's authority.
  void SetCapacity(std::uint64_t epoch, const CapacitySummary& capacity);
  UpstreamOutcome Announce(const UpstreamAnnouncement& announcement);
  UpstreamOutcome Heartbeat(const base::UpstreamId& id,
                            std::uint64_t incarnation);
  UpstreamOutcome LeaveUpstream(const base::UpstreamId& id,
                                std::uint64_t incarnation);
  // Tells the others that this process ends.
  void LeaveCluster();

  // Never null.
  std::shared_ptr<const Snapshot> snapshot() const;
  TableCounters counters() const;

 private:
  struct Implementation;
  explicit Service(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SERVICE_H_
