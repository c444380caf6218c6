#include "cluster/configuration_patch.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

#include "net/codec.h"

namespace wigeonstair::cluster {

namespace {

template <typename Item>
void SortById(std::vector<Item>& items) {
  std::sort(
      items.begin(), items.end(),
      [](const Item& left, const Item& right) { return left.id < right.id; });
}

template <typename Item, typename Id>
void DiffItems(const std::vector<Item>& from,
               const std::vector<Item>& to,
               std::vector<Item>& changed,
               std::vector<Id>& removed) {
  std::map<Id, const Item*> before;
  for (const Item& item : from)
    before[item.id] = &item;
  for (const Item& item : to) {
    const auto found = before.find(item.id);
    if (found == before.end() || *found->second != item)
      changed.push_back(item);
    if (found != before.end())
      before.erase(found);
  }
  for (const auto& [id, item] : before)
    removed.push_back(id);
}

template <typename Item, typename Id>
void PatchItems(std::vector<Item>& items,
                const std::vector<Item>& changed,
                const std::vector<Id>& removed) {
  std::map<Id, Item> by_id;
  for (Item& item : items) {
    const Id id = item.id;
    by_id.emplace(id, std::move(item));
  }
  for (const Id& id : removed)
    by_id.erase(id);
  for (const Item& item : changed)
    by_id.insert_or_assign(item.id, item);
  items.clear();
  for (auto& [id, item] : by_id)
    items.push_back(std::move(item));
}

}  // namespace

ClusterConfiguration Normalize(ClusterConfiguration configuration) {
  SortById(configuration.domains);
  SortById(configuration.customers);
  SortById(configuration.hosts);
  return configuration;
}

ConfigurationPatch DiffConfigurations(const ClusterConfiguration& from,
                                      const ClusterConfiguration& to) {
  ConfigurationPatch patch;
  patch.cluster = to.cluster;
  DiffItems(from.domains, to.domains, patch.changed_domains,
            patch.removed_domains);
  DiffItems(from.customers, to.customers, patch.changed_customers,
            patch.removed_customers);
  DiffItems(from.hosts, to.hosts, patch.changed_hosts, patch.removed_hosts);
  return patch;
}

ClusterConfiguration ApplyPatch(ClusterConfiguration base,
                                const ConfigurationPatch& patch) {
  base.cluster = patch.cluster;
  PatchItems(base.domains, patch.changed_domains, patch.removed_domains);
  PatchItems(base.customers, patch.changed_customers, patch.removed_customers);
  PatchItems(base.hosts, patch.changed_hosts, patch.removed_hosts);
  return base;
}

std::uint64_t HashConfiguration(const ClusterConfiguration& configuration) {
  const std::string bytes = net::Encode(configuration);
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace wigeonstair::cluster
