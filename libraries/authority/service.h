#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_SERVICE_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "authority/election.h"
#include "base/event_log.h"
#include "base/result.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "net/message_channel.h"

namespace wigeonstair::authority {

// The control hosts of the domain and the addresses of their datagram sockets.
using MemberAddresses = std::map<base::HostId, net::Address>;

struct ServiceOptions {
  // Outlives the service.
  net::EventLoop* loop = nullptr;
  base::DomainId domain;
  // The service fills in `first_epoch` and `seed` when they are 0.
  ElectionOptions election;
  // The interval of TickEvent.
  base::Duration tick = std::chrono::milliseconds(50);
  std::function<
      void(const net::Address& to, net::MessageType type, std::string body)>
      send;
  // Called in the order of the changes. HeldEpoch() and the other accessors do
  // not wait for it. May be empty.
  std::function<void(const StateChange&)> on_change;
  std::shared_ptr<base::EventLog> event_log;
};

// Runs the election of one domain: drives it by a timer, sends and receives its
// messages and logs its changes. Thread-safe.
class Service {
 public:
  // Fails with kInvalidArgument when `loop`, `send`, `event_log` or the own
  // host id is missing.
  static base::Result<std::unique_ptr<Service>> create(ServiceOptions options);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // Handles a datagram from a control host. Drops and counts it when it is
  // malformed or `sender` is not the address of the host that it names.
  void Receive(const net::Address& sender,
               net::MessageType type,
               const std::string& body);
  // Sets the member list; a version that is not newer is ignored. The version
  // is a revision of the cluster log, also for a change that leaves the hosts
  // as they are: hosts that have applied a take-out of the domain then refuse
  // their votes to a host that has not.
  void SetMembers(const MemberAddresses& members, std::uint64_t version);
  // Another host has applied the member list of this version or a newer one.
  void SawListApplied(const base::HostId& host, std::uint64_t version);
  // A worker has reported this epoch.
  void SawEpoch(std::int64_t epoch);
  // Releases the lease before a shutdown and ends all attempts for good.
  void Release();
  // Stops the service; no callback runs after the return. Idempotent. Must not
  // be called from a callback.
  void Stop();

  // The epoch if this host holds the lease at `now`. Callers read the clock and
  // check this immediately before each effect that needs the lease.
  std::optional<std::int64_t> HeldEpoch(base::Instant now) const;
  // See Election for the following three.
  std::optional<KnownHolder> holder() const;
  std::uint64_t retired_version() const;
  bool settled() const;
  // The number of datagrams that Receive() dropped.
  std::uint64_t dropped() const;

 private:
  struct Implementation;
  explicit Service(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_SERVICE_H_
