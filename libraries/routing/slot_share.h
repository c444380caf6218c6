#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_SLOT_SHARE_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_SLOT_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class ShareFault : std::uint8_t {
  kNone,
  kIgnoreIncarnations,
  kRaiseImmediately,  // A host uses its new share before the view has settled.
  kUseShareAtStart,   // A new host uses its share without waiting.
  kIgnoreFreeze,      // A host that was frozen keeps using its old view.
  kIgnorePartition,   // A host without a majority divides the whole limit.
  // A host that sees a majority again does not wait for settle_time.
  kRaiseAfterPartition,
};

// Whether a host sees a majority of the hosts of the cluster, itself included.
enum class ClusterReach : std::uint8_t { kMinority, kMajority };

// A live entry host of the domain.
struct EntryHost {
  base::HostId id;
  // Increases with each restart and each time the host returns after having
  // been suspected. Without it, some hosts would not notice that a host left
  // and returned quickly, and hosts with different views would both consider
  // theirs settled.
  std::uint64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const EntryHost&) const = default;
};

struct SlotShareOptions {
  base::HostId self;
  // The time within which every host of the domain sees a membership change:
  // failure detection (2 s) plus dissemination (2 s). Zero means that the
  // domain has no other entry host; the whole limit is then used immediately.
  base::Duration settle_time = std::chrono::seconds(4);
  // When the view was not updated for longer than this, the process was frozen
  // or its timers did not run, and the other hosts may have taken over its
  // share.
  base::Duration freeze_limit = std::chrono::seconds(1);
  // Number of entry hosts configured for the domain, including this one; the
  // same on every host. Zero disables the handling of network partitions.
  std::size_t domain_hosts = 0;
  ShareFault fault = ShareFault::kNone;
};

// Divides the slots of an upstream among the entry hosts of its domain. Each
// host computes its share from the membership views it saw over time, without
// coordination. Deterministic, without I/O or clock access.
//
// The sum of the shares stays within the limit although hosts see membership
// changes at different times, provided each change reaches each host within
// settle_time:
//  * A host whose view did not change for settle_time knows exactly the members
//    of settle_time ago, as all such hosts do; they divide all slots, including
//    the remainder.
//  * Any other host divides by the number of all members that it saw within
//    settle_time. These include the members of settle_time ago, so its share,
//    rounded down, is at most its share in the settled view.
//  * A host that started, or was frozen, within settle_time uses no slots.
//
// The other hosts take over the share of a dead host, and a host behind a
// network partition looks dead to them. The two cases are told apart by the
// view of the whole cluster, in which a member that any host can reach is alive
// for all. A host that sees a majority of the cluster's hosts considers the
// missing ones dead. A host that does not, or did not within settle_time, uses
// at most limit / domain_hosts. So a domain that is partitioned from the
// cluster as a whole stays within the limit. Only a partition that splits a
// domain can make the sum exceed the limit, by limit / domain_hosts for each
// host without a majority; the upstream itself then refuses the excess.
class SlotShare {
 public:
  explicit SlotShare(SlotShareOptions options);

  // Sets the other live entry hosts of the domain. Must be called at least once
  // per freeze_limit, with a `now` that never decreases.
  void Update(std::vector<EntryHost> others,
              base::Instant now,
              ClusterReach reach = ClusterReach::kMajority);

  // This host's share of `limit`. The hosts that get one slot of the remainder
  // depend on `upstream`, so that they differ between upstreams.
  int Share(int limit,
            const base::UpstreamId& upstream,
            base::Instant now) const;

  // Whether the view did not change for settle_time, so that the shares stay
  // the same until the next membership change.
  bool Settled(base::Instant now) const;

 private:
  struct View {
    base::Instant since;
    // Sorted; includes this host.
    std::vector<EntryHost> members;
    ClusterReach reach = ClusterReach::kMajority;
  };

  // Number of distinct members in the views of the last settle_time.
  std::size_t CountSeenMembers(base::Instant now) const;
  // Whether a view of the last settle_time lacked a majority.
  bool LackedMajority(base::Instant now) const;
  // Upper bound of the number of hosts that use a share: the members seen
  // within settle_time or, if the majority was lacking, at least domain_hosts.
  std::size_t MaximumMembers(base::Instant now) const;
  bool IsPartitioned(const View& view) const;

  SlotShareOptions options_;
  base::Instant started_{};
  base::Instant updated_{};
  // Oldest first; the last one is current. Empty before the first Update().
  std::deque<View> views_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SLOT_SHARE_H_
