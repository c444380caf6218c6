#include "cluster/worker_counts.h"

#include <algorithm>
#include <iterator>

namespace wigeonstair::cluster {

std::uint64_t CountWorkers(const DomainConfiguration& domain) {
  std::uint64_t workers = 0;
  for (const RackConfiguration& rack : domain.racks)
    workers += static_cast<std::uint64_t>(rack.workers);
  return workers;
}

void WorkerCountHistory::Record(const ClusterConfiguration& configuration,
                                std::uint64_t revision) {
  for (const DomainConfiguration& domain : configuration.domains) {
    std::vector<WorkerCount>& counts = counts_[domain.id];
    const std::uint64_t workers = CountWorkers(domain);
    const bool unchanged = !counts.empty() && counts.back().fewest == workers &&
                           counts.back().most == workers;
    if (unchanged)
      continue;
    counts.push_back(
        {.revision = revision, .fewest = workers, .most = workers});
    if (counts.size() <= kMaximumCounts)
      continue;
    counts[1] = {.revision = counts[0].revision,
                 .fewest = std::min(counts[0].fewest, counts[1].fewest),
                 .most = std::max(counts[0].most, counts[1].most)};
    counts.erase(counts.begin());
  }
}

void WorkerCountHistory::Retire(const base::DomainId& domain,
                                std::uint64_t revision) {
  const auto found = counts_.find(domain);
  if (found == counts_.end())
    return;
  std::vector<WorkerCount>& counts = found->second;
  // A count is replaced at the revision of the next one.
  while (counts.size() > 1 && std::next(counts.begin())->revision <= revision)
    counts.erase(counts.begin());
}

const std::vector<WorkerCount>& WorkerCountHistory::counts(
    const base::DomainId& domain) const {
  static const std::vector<WorkerCount> kNone;
  const auto found = counts_.find(domain);
  return found == counts_.end() ? kNone : found->second;
}

}  // namespace wigeonstair::cluster
