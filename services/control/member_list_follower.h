#ifndef WIGEONSTAIR_SERVICES_CONTROL_MEMBER_LIST_FOLLOWER_H_
#define WIGEONSTAIR_SERVICES_CONTROL_MEMBER_LIST_FOLLOWER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "authority/service.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/host_lists.h"
#include "services/control/cluster_access.h"
#include "services/control/replicated_cluster.h"
#include "settings/process_settings.h"

namespace wigeonstair::control {

struct MemberListFollowerOptions {
  // All outlive the follower.
  const settings::ProcessSettings* settings = nullptr;
  const ReplicatedCluster* cluster = nullptr;
  ClusterAccess* access = nullptr;
  authority::Service* authority = nullptr;
  base::Instant started{};
};

// Hands the host lists of this domain from the cluster state to the election,
// each one in its order, and records in the log which older ones are retired.
// Called on one thread, except for the accessors.
class MemberListFollower {
 public:
  explicit MemberListFollower(MemberListFollowerOptions options);

  // `caught_up` says whether this host has applied, since its start, all that
  // the leader had committed at a contact.
  void Tick(bool caught_up, base::Instant now);
  // A control process of this domain has said that it follows `revision`.
  void SawRevision(const base::HostId& host, std::uint64_t revision);

  // Whether this host acts on the cluster state. A host that has just started
  // may still be behind a state on which it acted before.
  bool follows() const { return follows_.load(std::memory_order_acquire); }
  // The revision that the election follows; 0 before it follows any.
  std::uint64_t revision() const {
    return revision_.load(std::memory_order_acquire);
  }

 private:
  bool MayFollow(bool caught_up, base::Instant now) const;
  void FollowSettings(base::Instant now);
  void FollowLists();
  void FollowStoppedHosts();
  void ProposeRetirement();
  void SetMembers(const std::map<base::HostId, std::string>& hosts,
                  std::uint64_t version);

  const MemberListFollowerOptions options_;
  std::atomic<bool> follows_{false};
  std::atomic<std::uint64_t> revision_{0};
  std::uint64_t version_ = 0;
  // Shared with the callback of a proposal, which may outlive this object.
  std::shared_ptr<std::atomic<bool>> proposing_ =
      std::make_shared<std::atomic<bool>>(false);
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_MEMBER_LIST_FOLLOWER_H_
