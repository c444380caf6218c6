#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_CHANGES_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_CHANGES_H_

#include <string>

#include "cluster/configuration.h"

namespace wigeonstair::cluster {

// Returns why this change of hosts is not allowed; empty when it is.
//
// A domain's authority is elected by a majority of the domain's hosts. Two
// majorities are sure to share a host only when the lists differ by one host,
// so one configuration may add or remove at most one host for each domain. A
// new domain may have any number.
std::string FindHostChangeFault(const ClusterConfiguration& before,
                                const ClusterConfiguration& after);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_HOST_CHANGES_H_
