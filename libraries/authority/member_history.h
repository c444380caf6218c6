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

// The control hosts of a domain under a revision of the cluster log.
struct MemberList {
  std::uint64_t version = 0;
  std::set<base::HostId> hosts;

  auto operator<=>(const MemberList&) const = default;
  std::size_t majority() const { return hosts.size() / 2 + 1; }
};

// The member lists that this host has applied, as far as a lease may still be
// held under them. Majorities of two lists are sure to share a host only when
// the lists differ by at most one host. A host therefore competes under a list
// only after every older list that differs by more is retired: so many of its
// hosts have applied a newer one that the others are no majority, and the
// leases for which they voted before have run out.
class MemberHistory {
 public:
  // `wait` covers the longest lease.
  explicit MemberHistory(base::Duration longest_lease)
      : longest_lease_(longest_lease) {}

  const MemberList& current() const { return current_; }
  bool Contains(const base::HostId& host) const;
  // False for a list that is not newer.
  bool Apply(MemberList list, base::Instant now);
  // `host` never votes under a list older than `version` again.
  void SawVersion(const base::HostId& host,
                  std::uint64_t version,
                  base::Instant now);
  // Another host has found that lists up to `version` are retired.
  void SawRetired(std::uint64_t version);
  void DropRetired(base::Instant now);
  bool MayCompete() const;
  // Whether no older list is kept.
  bool settled() const { return old_lists_.empty(); }
  // Lists up to this version are retired.
  std::uint64_t retired_version() const { return retired_version_; }
  // Whether the host is in any list kept.
  bool ListsHost(const base::HostId& host) const;
  // Hosts of all lists kept.
  std::set<base::HostId> AllHosts() const;

 private:
  struct OldList {
    MemberList list;
    // When its hosts could no longer form a majority under it.
    std::optional<base::Instant> lost_majority_at;
  };

  void MarkLostMajorities(base::Instant now);

  base::Duration longest_lease_;
  MemberList current_;
  std::vector<OldList> old_lists_;
  std::uint64_t retired_version_ = 0;
  std::map<base::HostId, std::uint64_t> versions_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_MEMBER_HISTORY_H_
