#include "cluster/host_changes.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <vector>

namespace wigeonstair::cluster {

namespace {

using HostsByDomain = std::map<base::DomainId, std::set<base::HostId>>;

HostsByDomain GroupHosts(const ClusterConfiguration& configuration) {
  HostsByDomain hosts;
  for (const HostConfiguration& host : configuration.hosts)
    hosts[host.domain].insert(host.id);
  return hosts;
}

}  // namespace

std::string FindHostChangeFault(const ClusterConfiguration& before,
                                const ClusterConfiguration& after) {
  const HostsByDomain old_hosts = GroupHosts(before);
  const HostsByDomain new_hosts = GroupHosts(after);
  for (const auto& [domain, old_set] : old_hosts) {
    const auto found = new_hosts.find(domain);
    if (found == new_hosts.end())
      continue;
    std::vector<base::HostId> difference;
    std::set_symmetric_difference(old_set.begin(), old_set.end(),
                                  found->second.begin(), found->second.end(),
                                  std::back_inserter(difference));
    if (difference.size() > 1) {
      return "failure domain " + domain.value() + " changes " +
             std::to_string(difference.size()) + " hosts at once (" +
             difference[0].value() + ", " + difference[1].value() +
             "); add or remove one host in each configuration";
    }
  }
  return {};
}

}  // namespace wigeonstair::cluster
