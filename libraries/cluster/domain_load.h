#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_LOAD_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_LOAD_H_

#include <compare>
#include <map>

#include "base/strong_id.h"
#include "cluster/job.h"

namespace wigeonstair::cluster {

// Resources requested by the jobs assigned to one domain, running or waiting.
struct DomainLoad {
  int accelerators = 0;
  int cores = 0;
  int jobs = 0;
  // Entries of zero are erased, so that equal sets of jobs compare equal.
  std::map<base::CustomerId, int> accelerators_of;

  auto operator<=>(const DomainLoad&) const = default;

  void Add(const JobSpecification& job);
  void Remove(const JobSpecification& job);
};

// Domains without jobs are left out.
using DomainLoads = std::map<base::DomainId, DomainLoad>;

void AddToLoad(DomainLoads& loads,
               const base::DomainId& domain,
               const JobSpecification& job);
void RemoveFromLoad(DomainLoads& loads,
                    const base::DomainId& domain,
                    const JobSpecification& job);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_LOAD_H_
