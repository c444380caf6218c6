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

// The revision of the cluster state that each control host is known to act on.
// A host that restarts acts on no older one.
using AppliedRevisions = std::map<base::HostId, std::uint64_t>;

// What the holder of a domain's authority knows when it renews task leases.
struct TaskLeaseInput {
  // Of the domain, from the cluster state of this host. Outlive the call.
  const std::vector<cluster::WorkerCount>* counts = nullptr;
  const std::vector<cluster::HostList>* lists = nullptr;
  // Empty while this host does not act on the cluster state, because it may be
  // behind a state on which it acted before a restart.
  std::optional<AppliedRevisions> applied;
};

// How long task leases may be and how long a new authority waits for those of
// the former one, which may have applied a newer or an older configuration.
//
// Each host that may become the authority has applied at least the
// configuration in force at the earliest revision that the others know of it. A
// holder therefore renews leases for the smallest number of workers of that
// configuration and all later ones that it has applied itself, and a new
// authority waits for the largest number that is not retired. A number is
// retired when every control host has applied a later one and the leases that
// follow from it have run out. Not thread-safe.
class TaskLeases {
 public:
  TaskLeases(const ReportScheduleLimits& limits, base::Instant start)
      : limits_(limits), start_(start) {}

  // Called at least every few hundred milliseconds, before leases are renewed.
  void Update(const TaskLeaseInput& input, base::Instant now);

  const ReportSchedule& schedule() const { return schedule_; }
  // The largest number of workers that a former authority may have had.
  std::uint64_t most_workers() const { return most_workers_; }
  // Whether the leases that former authorities granted have run out.
  bool FormerLeasesEnded(base::Instant now) const;
  // When counts that were replaced at this revision or before can be retired;
  // empty when there are none.
  std::optional<std::uint64_t> RetirableRevision(base::Instant now) const;

  void set_fault_for_testing(PlantedFault fault) { fault_ = fault; }

 private:
  struct ReplacedCounts {
    std::uint64_t revision = 0;
    // When every control host was known to have applied `revision`.
    base::Instant since{};
    // Of the counts before `revision`.
    base::Duration longest_lease{};
  };

  void TrackReplacedCounts(const std::vector<cluster::WorkerCount>& counts,
                           std::size_t oldest,
                           base::Instant now);

  ReportScheduleLimits limits_;
  base::Instant start_;
  PlantedFault fault_ = PlantedFault::kNone;
  ReportSchedule schedule_;
  std::uint64_t most_workers_ = 0;
  // How long former authorities' leases may run; empty while it is not known.
  std::optional<base::Duration> former_lease_;
  std::optional<ReplacedCounts> replaced_counts_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_TASK_LEASE_H_
