#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_OFFERS_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_OFFERS_H_

#include <set>
#include <vector>

#include "base/strong_id.h"
#include "cluster/cluster_state.h"
#include "cluster/domain_choice.h"
#include "cluster/domain_load.h"

namespace wigeonstair::cluster {

// Returns what each domain offers to the next job of `customer`. `reachable`
// holds the domains whose placement authority responds.
std::vector<DomainOffer> MakeOffers(const ClusterState& state,
                                    const std::set<base::DomainId>& reachable,
                                    const DomainLoads& loads,
                                    const base::CustomerId& customer);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_OFFERS_H_
