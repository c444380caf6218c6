#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_MEMBER_HISTORY_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_MEMBER_HISTORY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"

namespace wigeonstair::authority {

// The control hosts of a domain as of one revision of the cluster log.
struct MemberList {
  std::uint64_t version = 0;
  std::set<base::HostId> hosts;

  auto operator<=>(const MemberList&) const = default;
  // The smallest number of hosts that is a majority.
  std::size_t majority() const { return hosts.size() / 2 + 1; }
};

// The current member list and the older ones under which another host may still
// hold a lease. Majorities of two lists are certain to share a host only when
// the lists differ by at most one host. A host therefore competes under a list
// only after every older list that differs by more is retired. A list is
// retired when so many of its hosts have applied a newer one that the rest is
// no majority, and the leases granted by the former majority have expired.
class MemberHistory {
 public:
  // `longest_lease` is the lease duration including clock drift.
  explicit MemberHistory(base::Duration longest_lease)
      : longest_lease_(longest_lease) {}

  const MemberList& current() const { return current_; }
  bool Contains(const base::HostId& host) const;
  // Returns false and changes nothing when `list` is not newer.
  bool Apply(MemberList list, base::Instant now);
  // Records that `host` will never vote again under a list older than
  // `version`.
  void SawVersion(const base::HostId& host,
                  std::uint64_t version,
                  base::Instant now);
  // Drops the lists up to `version`, which another host has found retired.
  void SawRetired(std::uint64_t version);
  // Drops the lists that are retired at `now`.
  void DropRetired(base::Instant now);
  // Whether every older list kept differs from the current one by at most one
  // host.
  bool MayCompete() const;
  // Whether all older lists are retired.
  bool settled() const { return old_lists_.empty(); }
  // All lists up to this version are retired.
  std::uint64_t retired_version() const { return retired_version_; }
  // Whether the host is in any list kept.
  bool ListsHost(const base::HostId& host) const;
  // Hosts of all lists kept.
  std::set<base::HostId> AllHosts() const;

 private:
  struct OldList {
    MemberList list;
    // When the hosts that may still vote under the list stopped being a
    // majority of it.
    std::optional<base::Instant> lost_majority_at;
  };

  void MarkLostMajorities(base::Instant now);

  base::Duration longest_lease_;
  MemberList current_;
  // Oldest first.
  std::vector<OldList> old_lists_;
  std::uint64_t retired_version_ = 0;
  // The newest list version that each host is known to have applied.
  std::map<base::HostId, std::uint64_t> versions_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_MEMBER_HISTORY_H_
