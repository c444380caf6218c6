#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_BUILDER_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_BUILDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/configuration.h"
#include "routing/health_tracker.h"
#include "routing/service_gate.h"
#include "routing/slot_share.h"
#include "routing/snapshot.h"
#include "routing/upstream.h"

namespace wigeonstair::routing {

// The part of the cluster state that entry hosts use.
struct ClusterView {
  // Configuration revision; 0 when nothing was received yet.
  std::uint64_t revision = 0;
  std::vector<cluster::CustomerConfiguration> customers;
  // Domains that operators have taken out of service.
  std::vector<base::DomainId> domains_out;

  bool operator==(const ClusterView&) const = default;
};

// A service that another domain has upstreams for, and the entry hosts there.
struct RemoteService {
  std::string service;
  RemoteDomain remote;
};

struct SnapshotBuilderOptions {
  base::DomainId own_domain;
  HealthOptions health;
  ServiceGateOptions gate;
};

// Builds snapshots from the state of the controllers. Keeps the loads of
// upstreams, customers and remote domains, and the gates of services, from one
// snapshot to the next. Deterministic, without I/O; not thread-safe.
class SnapshotBuilder {
 public:
  explicit SnapshotBuilder(SnapshotBuilderOptions options);

  std::unique_ptr<const Snapshot> Build(
      const std::vector<KnownUpstream>& upstreams,
      const SlotShare& share,
      const ClusterView& view,
      const std::vector<RemoteService>& remotes,
      base::Instant now);

 private:
  struct UsableUpstream {
    const KnownUpstream* known = nullptr;
    std::shared_ptr<UpstreamLoad> load;
  };
  using ByService = std::map<std::string, std::vector<UsableUpstream>>;

  ByService UsableUpstreams(const std::vector<KnownUpstream>& upstreams);
  void AddService(Snapshot& snapshot,
                  const std::string& service,
                  const std::vector<UsableUpstream>& usable,
                  const SlotShare& share,
                  base::Instant now);
  // Returns the entry of a service in the snapshot, with its gate set.
  ServiceEntry& FindOrAddService(Snapshot& snapshot,
                                 const std::string& service);
  void AddCustomers(Snapshot& snapshot, const ClusterView& view);
  void RemoveUnused(const std::vector<KnownUpstream>& upstreams,
                    const ClusterView& view);

  SnapshotBuilderOptions options_;
  HealthTracker health_;
  std::map<base::UpstreamId, std::shared_ptr<UpstreamLoad>> upstream_loads_;
  std::map<base::CustomerId, std::shared_ptr<CustomerLoad>> customer_loads_;
  // By service and domain: a domain that is full for one service may have
  // capacity for another.
  std::map<std::pair<std::string, base::DomainId>, std::shared_ptr<RemoteLoad>>
      remote_loads_;
  // Never removed: the number of services is bounded by the number of upstreams
  // that were ever known.
  std::map<std::string, std::shared_ptr<ServiceGate>> gates_;
  std::uint64_t version_ = 0;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_BUILDER_H_
