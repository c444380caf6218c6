#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_JOB_FEASIBILITY_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_JOB_FEASIBILITY_H_

#include <string>

#include "cluster/configuration.h"
#include "cluster/job.h"

namespace wigeonstair::cluster {

// Returns why the job can never run under this configuration, even on an idle
// platform with all workers alive; empty when it might. This check answers the
// customer at submission; the placement engine of a domain checks more exactly.
std::string FindInfeasibility(const ClusterConfiguration& configuration,
                              const JobSpecification& job);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_JOB_FEASIBILITY_H_
