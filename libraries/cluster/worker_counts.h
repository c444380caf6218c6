#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_WORKER_COUNTS_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_WORKER_COUNTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::cluster {

std::uint64_t CountWorkers(const DomainConfiguration& domain);

// The number of workers of a domain from configuration `revision` until the
// next entry. `fewest` and `most` differ only in merged entries.
struct WorkerCount {
  std::uint64_t revision = 0;
  std::uint64_t fewest = 0;
  std::uint64_t most = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const WorkerCount&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(revision, fewest, most);
  }
};

// The worker counts of each domain, oldest first, on which a task lease that is
// still running may be based. Replicated, so that a new placement authority
// that has applied several changes at once knows the leases granted before.
class WorkerCountHistory {
 public:
  // The two oldest entries are merged beyond this number. An entry is retired
  // about 10 s after all control hosts have applied the next one.
  static constexpr std::size_t kMaximumCounts = 16;

  // Records the worker counts as of `revision`. The entries of a removed domain
  // stay, because it may be added again while its tasks still run.
  void Record(const ClusterConfiguration& configuration,
              std::uint64_t revision);
  // Removes the counts of `domain` that were replaced at `revision` or before,
  // because no running task lease is based on them any more.
  void Retire(const base::DomainId& domain, std::uint64_t revision);
  // The last one is in force. Empty for a domain that was never configured.
  const std::vector<WorkerCount>& counts(const base::DomainId& domain) const;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const WorkerCountHistory&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(counts_);
  }

 private:
  std::map<base::DomainId, std::vector<WorkerCount>> counts_;
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_WORKER_COUNTS_H_
