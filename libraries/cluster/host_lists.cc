#include "cluster/host_lists.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonstair::cluster {

namespace {

std::map<base::HostId, std::string> HostsOf(
    const base::DomainId& domain,
    const ClusterConfiguration& configuration,
    const std::set<base::HostId>& suspended) {
  std::map<base::HostId, std::string> hosts;
  for (const HostConfiguration& host : configuration.hosts) {
    if (host.domain == domain && !suspended.contains(host.id))
      hosts[host.id] = host.control_messages;
  }
  return hosts;
}

}  // namespace

void HostListHistory::Record(const ClusterConfiguration& configuration,
                             const std::set<base::HostId>& suspended,
                             std::uint64_t revision) {
  std::map<base::DomainId, std::vector<HostList>> kept;
  for (const DomainConfiguration& domain : configuration.domains) {
    std::vector<HostList>& lists = kept[domain.id];
    lists = std::move(lists_[domain.id]);
    auto hosts = HostsOf(domain.id, configuration, suspended);
    if (lists.empty() || lists.back().hosts != hosts)
      lists.push_back({.revision = revision, .hosts = std::move(hosts)});
    if (lists.size() > kMaximumLists)
      lists.erase(lists.begin());
  }
  lists_ = std::move(kept);
}

void HostListHistory::Retire(const base::DomainId& domain,
                             std::uint64_t revision) {
  const auto found = lists_.find(domain);
  if (found == lists_.end())
    return;
  std::vector<HostList>& lists = found->second;
  // A list is replaced at the revision of the next one.
  while (lists.size() > 1 && std::next(lists.begin())->revision <= revision)
    lists.erase(lists.begin());
}

const std::vector<HostList>& HostListHistory::lists(
    const base::DomainId& domain) const {
  static const std::vector<HostList> kNone;
  const auto found = lists_.find(domain);
  return found == lists_.end() ? kNone : found->second;
}

bool HostListHistory::ListsHost(const base::HostId& host) const {
  return std::any_of(lists_.begin(), lists_.end(), [&](const auto& entry) {
    return std::any_of(
        entry.second.begin(), entry.second.end(),
        [&](const HostList& list) { return list.hosts.contains(host); });
  });
}

}  // namespace wigeonstair::cluster
