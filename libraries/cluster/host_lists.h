#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_LISTS_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_LISTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::cluster {

// The control hosts that vote for a domain's placement authority from a
// revision on.
struct HostList {
  std::uint64_t revision = 0;
  // Message addresses by host. They are kept here because a removed host is
  // still asked whether it has applied a newer list.
  std::map<base::HostId, std::string> hosts;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const HostList&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(revision, hosts);
  }
};

// The host lists of each domain, oldest first, under which a lease may still be
// held. Replicated, so that a host that applies several changes at once or
// starts from a snapshot knows every list that another host may still use.
class HostListHistory {
 public:
  // The oldest lists are dropped beyond this number. A list is added only when
  // a host is added, removed, lost or restored, and the number grows only while
  // no host of the domain can retire lists.
  static constexpr std::size_t kMaximumLists = 64;

  // Records the hosts of each domain as of `revision`.
  void Record(const ClusterConfiguration& configuration,
              const std::set<base::HostId>& suspended,
              std::uint64_t revision);
  // Removes the lists of `domain` that were replaced at `revision` or before,
  // because no lease can be held under them any more.
  void Retire(const base::DomainId& domain, std::uint64_t revision);
  // The last one is in force. Empty for an unknown domain.
  const std::vector<HostList>& lists(const base::DomainId& domain) const;
  // Whether any list of any domain contains the host.
  bool ListsHost(const base::HostId& host) const;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const HostListHistory&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(lists_);
  }

 private:
  std::map<base::DomainId, std::vector<HostList>> lists_;
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_LISTS_H_
