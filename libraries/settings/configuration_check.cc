#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

#include "settings/cluster_configuration.h"

namespace wigeonstair::settings {

namespace {

using cluster::CellLevel;
using cluster::ClusterConfiguration;
using cluster::DomainConfiguration;
using cluster::Guarantee;
using cluster::HostConfiguration;

std::string Indexed(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

// Adds a fault for each text that occurs a second time.
class UniqueTexts {
 public:
  UniqueTexts(std::string what, Faults& faults)
      : what_(std::move(what)), faults_(faults) {}

  void Add(const std::string& text, const std::string& path) {
    const auto [found, inserted] = paths_.emplace(text, path);
    if (inserted)
      return;
    faults_.push_back({.line = 0,
                       .path = path,
                       .message = "the " + what_ + " '" + text +
                                  "' is already used at " + found->second});
  }

 private:
  std::string what_;
  Faults& faults_;
  std::map<std::string, std::string> paths_;
};

void CheckDomains(const ClusterConfiguration& configuration, Faults& faults) {
  UniqueTexts domains("failure domain", faults);
  UniqueTexts racks("rack", faults);
  for (std::size_t i = 0; i < configuration.domains.size(); ++i) {
    const std::string path = Indexed("domains", i);
    const DomainConfiguration& domain = configuration.domains[i];
    domains.Add(domain.id.value(), path + ".id");
    for (std::size_t j = 0; j < domain.racks.size(); ++j) {
      racks.Add(domain.racks[j].id.value(),
                Indexed(path + ".racks", j) + ".id");
    }
  }
}

const DomainConfiguration* FindDomain(const ClusterConfiguration& configuration,
                                      const base::DomainId& id) {
  const auto found =
      std::find_if(configuration.domains.begin(), configuration.domains.end(),
                   [&id](const auto& domain) { return domain.id == id; });
  return found == configuration.domains.end() ? nullptr : &*found;
}

int LargestWorker(const DomainConfiguration& domain) {
  int largest = 0;
  for (const auto& rack : domain.racks)
    largest = std::max(largest, rack.accelerators_per_worker);
  return largest;
}

// Whether some rack's workers divide a cell into whole workers.
bool ConsistsOfWholeWorkers(const DomainConfiguration& domain,
                            int accelerators) {
  return std::any_of(domain.racks.begin(), domain.racks.end(),
                     [&](const auto& rack) {
                       return rack.accelerators_per_worker > 0 &&
                              accelerators % rack.accelerators_per_worker == 0;
                     });
}

std::string ShapeFault(const DomainConfiguration& domain,
                       const Guarantee& guarantee) {
  const int accelerators = guarantee.shape.accelerators;
  const int largest = LargestWorker(domain);
  if (guarantee.shape.level == CellLevel::kAccelerator && accelerators != 1)
    return "a cell of level accelerator has exactly 1 accelerator";
  if (guarantee.shape.level == CellLevel::kWorker && accelerators > largest) {
    return "the largest worker of '" + domain.id.value() + "' has " +
           std::to_string(largest) + " accelerators, fewer than the cell's " +
           std::to_string(accelerators);
  }
  if (accelerators > largest && !ConsistsOfWholeWorkers(domain, accelerators)) {
    return "a cell larger than a worker consists of whole workers; " +
           std::to_string(accelerators) +
           " is no multiple of a worker's accelerators in '" +
           domain.id.value() + "'";
  }
  return {};
}

void CheckCustomers(const ClusterConfiguration& configuration, Faults& faults) {
  UniqueTexts customers("customer", faults);
  for (std::size_t i = 0; i < configuration.customers.size(); ++i) {
    const std::string path = Indexed("customers", i);
    const auto& customer = configuration.customers[i];
    customers.Add(customer.id.value(), path + ".id");
    for (std::size_t j = 0; j < customer.guarantees.size(); ++j) {
      const std::string place = Indexed(path + ".guarantees", j);
      const Guarantee& guarantee = customer.guarantees[j];
      const auto* domain = FindDomain(configuration, guarantee.domain);
      if (domain == nullptr) {
        faults.push_back({.line = 0,
                          .path = place + ".domain",
                          .message = "there is no failure domain '" +
                                     guarantee.domain.value() + "'"});
        continue;
      }
      std::string fault = ShapeFault(*domain, guarantee);
      if (!fault.empty()) {
        faults.push_back({.line = 0,
                          .path = place + ".accelerators",
                          .message = std::move(fault)});
      }
    }
  }
}

void CheckHostDomains(const ClusterConfiguration& configuration,
                      Faults& faults) {
  bool any_disk = false;
  for (std::size_t i = 0; i < configuration.hosts.size(); ++i) {
    const HostConfiguration& host = configuration.hosts[i];
    any_disk |= host.storage == cluster::HostStorage::kDisk;
    if (FindDomain(configuration, host.domain) == nullptr) {
      faults.push_back({.line = 0,
                        .path = Indexed("hosts", i) + ".domain",
                        .message = "there is no failure domain '" +
                                   host.domain.value() + "'"});
    }
  }
  if (!any_disk) {
    faults.push_back({.line = 0,
                      .path = "hosts",
                      .message = "no host has 'storage: disk'; at least one "
                                 "must vote in the replicated groups"});
  }
  for (std::size_t i = 0; i < configuration.domains.size(); ++i) {
    const auto& id = configuration.domains[i].id;
    if (std::none_of(configuration.hosts.begin(), configuration.hosts.end(),
                     [&id](const auto& host) { return host.domain == id; })) {
      faults.push_back(
          {.line = 0,
           .path = Indexed("domains", i) + ".id",
           .message = "the failure domain '" + id.value() + "' has no host"});
    }
  }
}

// The next step of a path such as "customers[1].priority"; advances `path`.
const Value* Step(const Value& value, std::string_view& path) {
  if (path.starts_with("[")) {
    const auto index = static_cast<std::size_t>(
        std::strtoul(path.substr(1).data(), nullptr, 10));
    path.remove_prefix(path.find(']') + 1);
    return index < value.items.size() ? &value.items[index] : nullptr;
  }
  if (path.starts_with("."))
    path.remove_prefix(1);
  const auto end = path.find_first_of(".[");
  const std::string_view key = path.substr(0, end);
  path.remove_prefix(key.size());
  return value.Find(key);
}

int LineOf(const Value& root, std::string_view path) {
  const Value* value = &root;
  int line = root.line;
  while (!path.empty()) {
    value = Step(*value, path);
    // A default value is not in the document; its mapping is the nearest.
    if (value == nullptr)
      return line;
    line = value->line;
  }
  return line;
}

}  // namespace

void CheckHosts(const std::vector<HostConfiguration>& hosts,
                const std::string& path,
                Faults& faults) {
  UniqueTexts ids("host", faults);
  UniqueTexts addresses("address", faults);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const std::string place = Indexed(path, i);
    ids.Add(hosts[i].id.value(), place + ".id");
    addresses.Add(hosts[i].control_http, place + ".control_http");
    addresses.Add(hosts[i].control_messages, place + ".control_messages");
    addresses.Add(hosts[i].entry_http, place + ".entry_http");
    addresses.Add(hosts[i].entry_messages, place + ".entry_messages");
  }
}

Faults CheckClusterConfiguration(const ClusterConfiguration& configuration) {
  Faults faults;
  CheckDomains(configuration, faults);
  CheckCustomers(configuration, faults);
  CheckHosts(configuration.hosts, "hosts", faults);
  CheckHostDomains(configuration, faults);
  return faults;
}

void LocateFaults(const Value& root, Faults& faults) {
  for (Fault& fault : faults) {
    if (fault.line == 0)
      fault.line = LineOf(root, fault.path);
  }
}

}  // namespace wigeonstair::settings
