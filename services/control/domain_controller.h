#ifndef WIGEONSTAIR_SERVICES_CONTROL_DOMAIN_CONTROLLER_H_
#define WIGEONSTAIR_SERVICES_CONTROL_DOMAIN_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "authority/task_lease.h"
#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/result.h"
#include "cluster/host_supervision.h"
#include "consensus/replica_runtime.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/message_server.h"
#include "net/peer_channels.h"
#include "placement/views.h"
#include "services/control/cluster_access.h"
#include "services/control/operator_api.h"
#include "services/control/replicated_cluster.h"
#include "services/control/worker_table.h"
#include "settings/process_settings.h"

namespace wigeonstair::control {

struct DomainControllerOptions {
  // All outlive the controller.
  const settings::ProcessSettings* settings = nullptr;
  net::EventLoop* loop = nullptr;
  const ReplicatedCluster* cluster = nullptr;
  consensus::ReplicaRuntime* cluster_replica = nullptr;
  ClusterAccess* access = nullptr;
  net::PeerChannels* channels = nullptr;
  std::shared_ptr<base::EventLog> event_log;
  base::CounterRegistry* counters = nullptr;
};

// What this host knows of the other hosts and domains, and its part in the
// authority of its own domain: membership, election, the gate before starts,
// and which changes are in force. Thread-safe.
class DomainController {
 public:
  static base::Result<std::unique_ptr<DomainController>> create(
      DomainControllerOptions options);
  ~DomainController();
  DomainController(const DomainController&) = delete;
  DomainController& operator=(const DomainController&) = delete;

  // Called every 100 ms on the loop.
  void Tick(base::Instant now);
  void HandleMessage(net::MessageType type,
                     const std::string& body,
                     const net::MessageReply& reply);

  // The epoch of the authority's lease if this host holds it at `now`.
  std::optional<std::int64_t> HeldEpoch(base::Instant now) const;
  // Whether tasks may start in this domain at `now`.
  StartPermission PermitStart(base::Instant now) const;
  // The revisions of the cluster state on which this domain's control hosts are
  // known to act. Empty until this host acts on it.
  std::optional<authority::AppliedRevisions> applied_revisions() const;
  // HTTP address of the domain's authority, or empty.
  std::string AuthorityAddress() const;
  // HTTP address of the authority of any domain if it is on another host, or
  // empty.
  std::string AuthorityOf(const base::DomainId& domain) const;
  // A worker has seen this epoch.
  void SawEpoch(std::int64_t epoch);
  void PublishCapacity(const std::optional<placement::CapacityView>& capacity);

  // Domains whose authority is alive.
  std::set<base::DomainId> ReachableDomains() const;
  // Domains that are out, without a living authority, and have provably
  // stopped.
  std::set<base::DomainId> StoppedDomains() const;
  // For the leader, which suspends lost hosts.
  cluster::HostObservation ObserveHosts() const;
  std::vector<MissingPart> Missing(std::uint64_t revision) const;

  void TakeOutLocally(const base::DomainId& id);
  bool taken_out_locally() const;
  void AddStatus(settings::Value& value) const;
  void AddDomain(const base::DomainId& id, settings::Value& value) const;
  // Answers POST /v1/members.
  void ChangeMembers(const net::HttpRequest& request,
                     consensus::ReplicaRuntime* records_replica,
                     net::HttpResponder respond);

  // Gives the authority's lease back and leaves the cluster, before shutdown.
  void Release();
  void Stop();

 private:
  struct Implementation;
  explicit DomainController(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_DOMAIN_CONTROLLER_H_
