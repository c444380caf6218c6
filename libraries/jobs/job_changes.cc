#include "jobs/job_changes.h"

namespace wigeonstair::jobs {

void JobChanges::Add(const base::JobId& job) {
  ++revision_;
  last_.push_back(job);
  if (last_.size() > kKept)
    last_.pop_front();
}

void JobChanges::AddAll() {
  ++revision_;
  last_.clear();
}

std::optional<std::vector<base::JobId>> JobChanges::Since(
    std::uint64_t revision) const {
  const std::uint64_t missed = revision_ - revision;
  if (revision > revision_ || missed > last_.size())
    return std::nullopt;
  return std::vector<base::JobId>(
      last_.end() - static_cast<std::ptrdiff_t>(missed), last_.end());
}

}  // namespace wigeonstair::jobs
