#include "cluster/job_feasibility.h"

#include <algorithm>
#include <limits>

namespace wigeonstair::cluster {

namespace {

constexpr int kMaximumTasks = 4096;

// Number of tasks of the job that fit on one worker of the rack.
std::int64_t TasksPerWorker(const RackConfiguration& rack,
                            const JobSpecification& job) {
  std::int64_t tasks = std::numeric_limits<int>::max();
  if (job.accelerators_per_task > 0)
    tasks = std::min<std::int64_t>(
        tasks, rack.accelerators_per_worker / job.accelerators_per_task);
  if (job.cores_per_task > 0)
    tasks = std::min<std::int64_t>(tasks,
                                   rack.cores_per_worker / job.cores_per_task);
  if (job.memory_megabytes_per_task > 0)
    tasks = std::min<std::int64_t>(tasks, rack.memory_megabytes_per_worker /
                                              job.memory_megabytes_per_task);
  return tasks;
}

// Number of tasks that fit into the largest cell of the domain with the job's
// adjacency.
std::int64_t LargestCell(const DomainConfiguration& domain,
                         const JobSpecification& job) {
  std::int64_t largest = 0;
  std::int64_t domain_tasks = 0;
  for (const RackConfiguration& rack : domain.racks) {
    const std::int64_t worker_tasks = TasksPerWorker(rack, job);
    const std::int64_t rack_tasks = worker_tasks * rack.workers;
    domain_tasks += rack_tasks;
    const bool one_worker = job.adjacency == CellLevel::kWorker ||
                            job.adjacency == CellLevel::kAccelerator;
    largest = std::max(largest, one_worker ? worker_tasks : rack_tasks);
  }
  const bool anywhere = job.adjacency == CellLevel::kDomain ||
                        job.fallback == AdjacencyFallback::kAnywhere;
  return anywhere ? domain_tasks : largest;
}

bool IsAllowed(const JobSpecification& job, const base::DomainId& domain) {
  return job.allowed_domains.empty() ||
         std::find(job.allowed_domains.begin(), job.allowed_domains.end(),
                   domain) != job.allowed_domains.end();
}

}  // namespace

std::string FindInfeasibility(const ClusterConfiguration& configuration,
                              const JobSpecification& job) {
  const bool known_customer = std::any_of(
      configuration.customers.begin(), configuration.customers.end(),
      [&](const CustomerConfiguration& customer) {
        return customer.id == job.customer;
      });
  if (!known_customer)
    return "there is no customer " + job.customer.value();
  if (job.tasks < 1 || job.tasks > kMaximumTasks)
    return "a job has 1 to " + std::to_string(kMaximumTasks) + " tasks";
  std::int64_t largest = 0;
  bool allowed_domain = false;
  for (const DomainConfiguration& domain : configuration.domains) {
    if (!IsAllowed(job, domain.id))
      continue;
    allowed_domain = true;
    largest = std::max(largest, LargestCell(domain, job));
  }
  if (!allowed_domain)
    return "none of the allowed failure domains exists";
  if (largest < job.tasks) {
    return "no failure domain can hold " + std::to_string(job.tasks) +
           " tasks of " + std::to_string(job.accelerators_per_task) +
           " accelerators and " + std::to_string(job.cores_per_task) +
           " cores with this adjacency; the largest cell holds " +
           std::to_string(largest);
  }
  return {};
}

}  // namespace wigeonstair::cluster
