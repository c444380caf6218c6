#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_TASK_LEASE_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_TASK_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "authority/planted_fault.h"
#include "authority/report_schedule.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/host_lists.h"
#include "cluster/worker_counts.h"

namespace wigeonstair::authority {

// The revision of the cluster state that each control host is known to have
// reached. A host never acts on an older one, not even after a restart.
using AppliedRevisions = std::map<base::HostId, std::uint64_t>;

// The state of the holder of a domain's authority when it renews task leases.
struct TaskLeaseInput {
  // The histories of the domain in the cluster state of this host. Both must
  // outlive the call.
  const std::vector<cluster::WorkerCount>* counts = nullptr;
  const std::vector<cluster::HostList>* lists = nullptr;
  // Empty while this host does not yet act on the cluster state, because it may
  // be older than the one on which it acted before a restart.
  std::optional<AppliedRevisions> applied;
};

// Computes how long task leases may be, and how long a new authority waits for
// those that former ones granted. The length depends on the domain's number of
// workers, and a former authority may have applied a newer or an older
// configuration.
//
// Every host that may become the authority has applied at least the
// configuration in force at the earliest revision that any of these hosts is
// known to have applied. A holder therefore renews leases for the smallest
// number of workers in that configuration and all later ones that it has
// applied itself. A new authority waits for the lease of the largest number
// that is not retired. A count is retired when every control host has applied a
// later one and the leases derived from it have expired. Not thread-safe.
class TaskLeases {
 public:
  TaskLeases(const ReportScheduleLimits& limits, base::Instant start)
      : limits_(limits), start_(start) {}

  // Must be called at least every few hundred milliseconds and before leases
  // are renewed.
  void Update(const TaskLeaseInput& input, base::Instant now);

  // The report interval and the task lease to grant now.
  const ReportSchedule& schedule() const { return schedule_; }
  // The largest number of workers that a former authority may have had.
  std::uint64_t most_workers() const { return most_workers_; }
  // Whether all leases that former authorities granted have expired.
  bool FormerLeasesEnded(base::Instant now) const;
  // Counts that were replaced at this revision or before can be retired. Empty
  // when there are none.
  std::optional<std::uint64_t> RetirableRevision(base::Instant now) const;

  void set_fault_for_testing(PlantedFault fault) { fault_ = fault; }

 private:
  struct ReplacedCounts {
    std::uint64_t revision = 0;
    // When every control host was known to have applied `revision`.
    base::Instant since{};
    // The longest lease that follows from the counts before `revision`.
    base::Duration longest_lease{};
  };

  void TrackReplacedCounts(const std::vector<cluster::WorkerCount>& counts,
                           std::size_t oldest,
                           base::Instant now);

  ReportScheduleLimits limits_;
  // When this host became the authority.
  base::Instant start_;
  PlantedFault fault_ = PlantedFault::kNone;
  ReportSchedule schedule_;
  std::uint64_t most_workers_ = 0;
  // The longest lease of a former authority; empty while it is not known.
  std::optional<base::Duration> former_lease_;
  // The counts that wait for their retirement.
  std::optional<ReplacedCounts> replaced_counts_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_TASK_LEASE_H_
