#ifndef WIGEONSTAIR_SERVICES_CONTROL_MEMBER_API_H_
#define WIGEONSTAIR_SERVICES_CONTROL_MEMBER_API_H_

#include <vector>

#include "cluster/configuration.h"
#include "consensus/replica_runtime.h"
#include "net/http.h"

namespace wigeonstair::control {

struct MemberChangeTargets {
  // Hosts of the configuration in force.
  std::vector<cluster::HostConfiguration> hosts;
  consensus::ReplicaRuntime* cluster_replica = nullptr;
  // Null on a host without a disk.
  consensus::ReplicaRuntime* records_replica = nullptr;
};

// Answers POST /v1/members: adds a configured host to the replicated groups or
// removes one, first in group `cluster` and then in group `records`. Each step
// can be repeated after an error.
void HandleMemberChange(const net::HttpRequest& request,
                        const MemberChangeTargets& targets,
                        net::HttpResponder respond);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_MEMBER_API_H_
