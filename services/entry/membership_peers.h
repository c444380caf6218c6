#ifndef WIGEONSTAIR_SERVICES_ENTRY_MEMBERSHIP_PEERS_H_
#define WIGEONSTAIR_SERVICES_ENTRY_MEMBERSHIP_PEERS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "membership/service.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

// Serves the upstreams and entry hosts from the snapshots of the membership
// library. The membership service must outlive this object.
class MembershipPeers : public UpstreamDirectory, public EntryPeers {
 public:
  // `cluster_hosts` is the number of hosts listed in the settings.
  MembershipPeers(base::HostId self,
                  base::DomainId domain,
                  std::size_t cluster_hosts,
                  membership::Service& service)
      : self_(std::move(self)),
        domain_(std::move(domain)),
        cluster_hosts_(cluster_hosts),
        service_(service) {}

  base::Result<std::uint64_t> Announce(
      const routing::Announcement& announcement,
      base::Instant now) override;
  routing::HeartbeatResult Heartbeat(const base::UpstreamId& id,
                                     std::uint64_t incarnation,
                                     base::Instant now) override;
  routing::HeartbeatResult Leave(const base::UpstreamId& id,
                                 std::uint64_t incarnation,
                                 base::Instant now) override;
  void Tick(base::Instant now) override { now_ = now; }
  std::vector<routing::KnownUpstream> Upstreams() override;

  std::vector<routing::EntryHost> LiveHosts() override;
  routing::ClusterReach Reach() override;
  std::vector<routing::RemoteService> RemoteServices() override;

 private:
  // State of an upstream at the last call of Upstreams(). `alive_since` is the
  // time from which the incarnation has been usable.
  struct UpstreamObservation {
    std::uint64_t incarnation = 0;
    bool alive = false;
    base::Instant alive_since{};
  };

  base::HostId self_;
  base::DomainId domain_;
  std::size_t cluster_hosts_;
  membership::Service& service_;
  base::Instant now_{};
  std::map<base::UpstreamId, UpstreamObservation> observations_;
  // Upstreams announced through this host that the membership snapshot does not
  // contain yet.
  std::map<base::UpstreamId, routing::KnownUpstream> pending_announcements_;
  // Incarnations that left through this host. The membership snapshot may still
  // contain them for a short time.
  std::map<base::UpstreamId, std::uint64_t> left_incarnations_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_MEMBERSHIP_PEERS_H_
