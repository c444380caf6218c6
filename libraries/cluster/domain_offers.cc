#include "cluster/domain_offers.h"

#include <algorithm>
#include <optional>

namespace wigeonstair::cluster {

namespace {

int GuaranteedAccelerators(const ClusterConfiguration& configuration,
                           const base::CustomerId& customer,
                           const base::DomainId& domain) {
  int accelerators = 0;
  for (const CustomerConfiguration& candidate : configuration.customers) {
    if (candidate.id != customer)
      continue;
    for (const Guarantee& guarantee : candidate.guarantees) {
      if (guarantee.domain == domain)
        accelerators += guarantee.shape.accelerators * guarantee.count;
    }
  }
  return accelerators;
}

// Accelerators that the customer may still borrow over all domains. The limit
// is enforced here, on the replicated loads, because each domain decides
// independently which jobs it starts.
std::optional<int> RemainingBorrowing(const ClusterConfiguration& configuration,
                                      const DomainLoads& loads,
                                      const base::CustomerId& customer) {
  std::optional<int> remaining;
  for (const CustomerConfiguration& candidate : configuration.customers) {
    if (candidate.id == customer)
      remaining = candidate.borrowing_limit;
  }
  if (!remaining)
    return std::nullopt;
  for (const DomainConfiguration& domain : configuration.domains) {
    const auto load = loads.find(domain.id);
    if (load == loads.end())
      continue;
    const auto used = load->second.accelerators_of.find(customer);
    if (used == load->second.accelerators_of.end())
      continue;
    *remaining -=
        std::max(0, used->second - GuaranteedAccelerators(configuration,
                                                          customer, domain.id));
  }
  return std::max(*remaining, 0);
}

DomainOffer MakeOffer(const ClusterState& state,
                      const DomainConfiguration& domain,
                      const std::set<base::DomainId>& reachable,
                      const DomainLoads& loads,
                      const base::CustomerId& customer) {
  DomainOffer offer{.domain = domain.id,
                    .status = state.domain(domain.id).status};
  if (reachable.contains(domain.id))
    offer.reachability = DomainOffer::Reachability::kReachable;
  int cores = 0;
  for (const RackConfiguration& rack : domain.racks) {
    offer.total_accelerators += rack.workers * rack.accelerators_per_worker;
    cores += rack.workers * rack.cores_per_worker;
  }
  const auto found = loads.find(domain.id);
  static const DomainLoad kNoLoad;
  const DomainLoad& load = found == loads.end() ? kNoLoad : found->second;
  offer.free_accelerators = offer.total_accelerators - load.accelerators;
  offer.free_cores = cores - load.cores;
  offer.waiting_jobs = load.jobs;
  const auto claimed = load.accelerators_of.find(customer);
  offer.unclaimed_guarantee =
      GuaranteedAccelerators(state.configuration(), customer, domain.id) -
      (claimed == load.accelerators_of.end() ? 0 : claimed->second);
  return offer;
}

}  // namespace

std::vector<DomainOffer> MakeOffers(const ClusterState& state,
                                    const std::set<base::DomainId>& reachable,
                                    const DomainLoads& loads,
                                    const base::CustomerId& customer) {
  std::vector<DomainOffer> offers;
  const std::optional<int> remaining =
      RemainingBorrowing(state.configuration(), loads, customer);
  for (const DomainConfiguration& domain : state.configuration().domains) {
    offers.push_back(MakeOffer(state, domain, reachable, loads, customer));
    offers.back().borrowing_remaining = remaining;
  }
  return offers;
}

}  // namespace wigeonstair::cluster
