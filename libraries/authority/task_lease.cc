#include "authority/task_lease.h"

#include <algorithm>
#include <limits>
#include <set>

namespace wigeonstair::authority {

namespace {

using cluster::HostList;
using cluster::WorkerCount;

// The clocks of two hosts differ in rate by at most 1%.
constexpr double kDriftFactor = 1.01;

base::Duration WithDrift(base::Duration lease) {
  return std::chrono::duration_cast<base::Duration>(lease * kDriftFactor);
}

// The earliest revision on which any host that may become the authority can
// act. A host competes only under one of `lists`, and only after it has applied
// the first of those that contain it.
std::uint64_t EarliestRevision(const std::vector<HostList>& lists,
                               const AppliedRevisions& applied) {
  std::uint64_t earliest = std::numeric_limits<std::uint64_t>::max();
  std::set<base::HostId> seen;
  for (const HostList& list : lists) {
    for (const auto& [host, address] : list.hosts) {
      if (!seen.insert(host).second)
        continue;
      const auto known = applied.find(host);
      const std::uint64_t revision = known == applied.end() ? 0 : known->second;
      earliest = std::min(earliest, std::max(revision, list.revision));
    }
  }
  return seen.empty() ? 0 : earliest;
}

// The index of the count in force at `revision`; 0 when all counts are newer.
std::size_t InForceAt(const std::vector<WorkerCount>& counts,
                      std::uint64_t revision) {
  std::size_t position = 0;
  while (position + 1 < counts.size() &&
         counts[position + 1].revision <= revision)
    ++position;
  return position;
}

// The largest number of workers in the counts before index `end`.
std::uint64_t Most(const std::vector<WorkerCount>& counts, std::size_t end) {
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < end; ++i)
    most = std::max(most, counts[i].most);
  return most;
}

// The smallest number of workers in the counts from index `begin` on.
std::uint64_t Fewest(const std::vector<WorkerCount>& counts,
                     std::size_t begin) {
  std::uint64_t fewest = counts.back().fewest;
  for (std::size_t i = begin; i < counts.size(); ++i)
    fewest = std::min(fewest, counts[i].fewest);
  return fewest;
}

}  // namespace

void TaskLeases::Update(const TaskLeaseInput& input, base::Instant now) {
  const std::vector<WorkerCount>& counts = *input.counts;
  if (counts.empty() || !input.applied) {
    // Grants the shortest lease, for which every new authority waits.
    schedule_ = ScheduleReports(0, limits_);
    former_lease_.reset();
    return;
  }
  const std::size_t oldest =
      InForceAt(counts, EarliestRevision(*input.lists, *input.applied));
  const std::size_t first = fault_ == PlantedFault::kIgnoreOtherRevisions
                                ? counts.size() - 1
                                : oldest;
  schedule_ = ScheduleReports(Fewest(counts, first), limits_);
  most_workers_ = Most(counts, counts.size());
  const std::uint64_t waited_for = fault_ == PlantedFault::kWaitForOwnLease
                                       ? counts.back().most
                                       : most_workers_;
  former_lease_ = ScheduleReports(waited_for, limits_).lease;
  TrackReplacedCounts(counts, oldest, now);
}

void TaskLeases::TrackReplacedCounts(const std::vector<WorkerCount>& counts,
                                     std::size_t oldest,
                                     base::Instant now) {
  // Keeps the counts that already wait for their retirement, so that a later
  // change does not delay it.
  const bool pending =
      replaced_counts_ &&
      std::any_of(counts.begin() + 1, counts.end(),
                  [this](const WorkerCount& count) {
                    return count.revision == replaced_counts_->revision;
                  });
  if (pending)
    return;
  replaced_counts_.reset();
  if (oldest == 0)
    return;
  replaced_counts_ = ReplacedCounts{
      .revision = counts[oldest].revision,
      .since = now,
      .longest_lease = ScheduleReports(Most(counts, oldest), limits_).lease};
}

bool TaskLeases::FormerLeasesEnded(base::Instant now) const {
  return former_lease_ && now >= start_ + WithDrift(*former_lease_);
}

std::optional<std::uint64_t> TaskLeases::RetirableRevision(
    base::Instant now) const {
  if (!replaced_counts_)
    return std::nullopt;
  const bool ended = now >= replaced_counts_->since +
                                WithDrift(replaced_counts_->longest_lease) ||
                     fault_ == PlantedFault::kRetireAtOnce;
  return ended ? std::optional(replaced_counts_->revision) : std::nullopt;
}

}  // namespace wigeonstair::authority
