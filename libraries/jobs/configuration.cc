#include "jobs/configuration.h"

#include <algorithm>

namespace wigeonstair::jobs {

std::optional<QueueMatch> Configuration::Match(std::string_view host,
                                               std::string_view path) const {
  // The Host header may contain a port.
  const std::string_view name = host.substr(0, host.find(':'));
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    const bool matches =
        queue.host == name && path.starts_with(queue.path_prefix);
    if (matches &&
        (!best || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  if (!best)
    return std::nullopt;
  return QueueMatch{.queue = best,
                    .rest = path.substr(best->path_prefix.size())};
}

bool Configuration::UsesPool(std::string_view pool) const {
  return std::any_of(queues.begin(), queues.end(),
                     [&](const Queue& queue) { return queue.pool == pool; });
}

const Customer* Configuration::FindCustomer(std::string_view key) const {
  for (const Customer& customer : customers) {
    if (std::find(customer.keys.begin(), customer.keys.end(), key) !=
        customer.keys.end()) {
      return &customer;
    }
  }
  return nullptr;
}

const Customer* Configuration::FindCustomer(const base::CustomerId& id) const {
  const auto found =
      std::find_if(customers.begin(), customers.end(),
                   [&](const Customer& customer) { return customer.id == id; });
  return found == customers.end() ? nullptr : &*found;
}

std::vector<CustomerLimits> LimitsOf(const Configuration& configuration) {
  std::vector<CustomerLimits> limits;
  for (std::size_t i = 0; i < configuration.customers.size(); ++i) {
    const Customer& customer = configuration.customers[i];
    CustomerLimits entry{.customer = static_cast<std::uint32_t>(i)};
    const bool differs =
        customer.weight != entry.weight || customer.cap != entry.cap;
    if (!differs)
      continue;
    entry.weight = customer.weight;
    entry.cap = customer.cap;
    limits.push_back(entry);
  }
  return limits;
}

void SetLimits(Configuration& configuration,
               const std::vector<CustomerLimits>& limits) {
  for (const CustomerLimits& entry : limits) {
    if (entry.customer >= configuration.customers.size())
      continue;
    Customer& customer = configuration.customers[entry.customer];
    customer.weight = entry.weight;
    customer.cap = entry.cap;
  }
}

}  // namespace wigeonstair::jobs
