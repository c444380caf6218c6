#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_WORKLOAD_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_WORKLOAD_H_

#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "cluster/job.h"

namespace wigeonstair::placement {

enum class JobSize { kSmall, kLarge };

// A job with what the scheduler does not know about it.
struct WorkloadJob {
  cluster::JobSpecification specification = {};
  double submit_seconds = 0;
  double run_seconds = 0;
  JobSize size = JobSize::kSmall;
  // Seconds after submission at which it is cancelled; negative when never.
  double cancel_after_seconds = -1;

  int accelerators() const {
    return specification.tasks * specification.accelerators_per_task;
  }
};

struct Deployment {
  std::string name = {};
  // One failure domain; each has the same shape.
  cluster::DomainConfiguration domain = {};
  std::vector<cluster::CustomerConfiguration> customers = {};
  int domains = 1;

  int workers() const;
  int accelerators() const;
};

// The deployments of section 1.4 of the design page: Scheldebloem with 3
// domains of 16 workers, Polsterrücklauf with 4 domains of 12 workers.
Deployment Scheldebloem();
Deployment Polsterruecklauf();
// A domain of the workers of section 1.5, of which each domain has about 360.
Deployment LargeDomain(int workers);

// Bursts of small jobs and large gangs for `hours`, with `load` as the part of
// the domain's accelerators that they keep busy. Declared run times are off by
// up to a factor of ten either way.
std::vector<WorkloadJob> MixedWorkload(const Deployment& deployment,
                                       double hours,
                                       double load,
                                       std::uint64_t seed);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_WORKLOAD_H_
