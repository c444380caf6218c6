#include "cluster/queued_jobs.h"

namespace wigeonstair::cluster {

QueuedJobs::QueuedJobs(const std::vector<base::JobId>& jobs) {
  for (const base::JobId& id : jobs)
    PushBack(id);
}

void QueuedJobs::PushBack(const base::JobId& id) {
  Insert(order_.empty() ? 0 : order_.rbegin()->first + 1, id);
}

void QueuedJobs::PushFront(const base::JobId& id) {
  Insert(order_.empty() ? 0 : order_.begin()->first - 1, id);
}

void QueuedJobs::Remove(const base::JobId& id) {
  const auto found = positions_.find(id);
  if (found == positions_.end())
    return;
  order_.erase(found->second);
  positions_.erase(found);
}

std::vector<base::JobId> QueuedJobs::ids() const {
  std::vector<base::JobId> ids;
  ids.reserve(order_.size());
  for (const auto& [position, id] : order_)
    ids.push_back(id);
  return ids;
}

void QueuedJobs::Insert(std::int64_t position, const base::JobId& id) {
  if (positions_.emplace(id, position).second)
    order_.emplace(position, id);
}

}  // namespace wigeonstair::cluster
