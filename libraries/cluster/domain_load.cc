#include "cluster/domain_load.h"

namespace wigeonstair::cluster {

namespace {

int AcceleratorsOf(const JobSpecification& job) {
  return job.tasks * job.accelerators_per_task;
}

}  // namespace

void DomainLoad::Add(const JobSpecification& job) {
  accelerators += AcceleratorsOf(job);
  cores += job.tasks * job.cores_per_task;
  ++jobs;
  if (AcceleratorsOf(job) != 0)
    accelerators_of[job.customer] += AcceleratorsOf(job);
}

void DomainLoad::Remove(const JobSpecification& job) {
  accelerators -= AcceleratorsOf(job);
  cores -= job.tasks * job.cores_per_task;
  --jobs;
  if (AcceleratorsOf(job) == 0)
    return;
  const auto customer = accelerators_of.try_emplace(job.customer, 0).first;
  customer->second -= AcceleratorsOf(job);
  if (customer->second == 0)
    accelerators_of.erase(customer);
}

void AddToLoad(DomainLoads& loads,
               const base::DomainId& domain,
               const JobSpecification& job) {
  loads[domain].Add(job);
}

void RemoveFromLoad(DomainLoads& loads,
                    const base::DomainId& domain,
                    const JobSpecification& job) {
  const auto load = loads.try_emplace(domain).first;
  load->second.Remove(job);
  if (load->second.jobs == 0)
    loads.erase(load);
}

}  // namespace wigeonstair::cluster
