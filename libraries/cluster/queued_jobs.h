#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_QUEUED_JOBS_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_QUEUED_JOBS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/strong_id.h"

namespace wigeonstair::cluster {

// An ordered queue of distinct job ids. Removal does not scan the queue, so
// that each cancellation of a large batch costs the same.
class QueuedJobs {
 public:
  // Jobs by position. Only their order is part of the replicated state, not the
  // positions.
  using Order = std::map<std::int64_t, base::JobId>;

  QueuedJobs() = default;
  explicit QueuedJobs(const std::vector<base::JobId>& jobs);

  void PushBack(const base::JobId& id);
  void PushFront(const base::JobId& id);
  // Does nothing when the job is not queued.
  void Remove(const base::JobId& id);

  const Order& order() const { return order_; }
  std::size_t size() const { return order_.size(); }
  bool empty() const { return order_.empty(); }
  // All job ids in queue order.
  std::vector<base::JobId> ids() const;

 private:
  void Insert(std::int64_t position, const base::JobId& id);

  Order order_;
  std::unordered_map<base::JobId, std::int64_t> positions_;
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_QUEUED_JOBS_H_
