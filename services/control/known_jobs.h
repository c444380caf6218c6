#ifndef WIGEONSTAIR_SERVICES_CONTROL_KNOWN_JOBS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_KNOWN_JOBS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/strong_id.h"
#include "cluster/cluster_state.h"
#include "placement/events.h"

namespace wigeonstair::control {

struct KnownJob {
  std::uint32_t assignment = 0;
  std::int64_t kept_checkpoint = 0;
};

// The jobs of a domain that its placement engine knows. Not thread-safe.
class KnownJobs {
 public:
  // What has changed in the log since the last call: jobs that the domain does
  // not have any more, then those that it got. Compares all jobs.
  std::vector<placement::Event> FollowAll(const cluster::ClusterState& state,
                                          const base::DomainId& domain);
  // The same when no other job than `changed` has changed.
  std::vector<placement::Event> Follow(const cluster::ClusterState& state,
                                       const base::DomainId& domain,
                                       const std::set<base::JobId>& changed);
  // To be called after Follow(), when it has seen every assignment on which a
  // former authority can have acted. A job that is assigned for the first time
  // later was never given to one. One that was assigned before counts as
  // possibly started: it may come back after a release.
  void SawFormerAssignments() { later_ = placement::FormerRun::kImpossible; }
  // Null for a job that the domain does not have.
  KnownJob* Find(const base::JobId& job);
  void Clear();

 private:
  std::map<base::JobId, KnownJob> jobs_;
  // Of jobs that are assigned for the first time.
  placement::FormerRun later_ = placement::FormerRun::kPossible;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_KNOWN_JOBS_H_
