#include "services/control/job_changes.h"

namespace wigeonstair::control {

void JobChanges::Add(std::uint64_t change, const base::JobId& job) {
  entries_.push_back({.change = change, .job = job});
  while (entries_.size() > limit_) {
    forgotten_ = entries_.front().change;
    entries_.pop_front();
  }
}

void JobChanges::Clear(std::uint64_t change) {
  entries_.clear();
  forgotten_ = change;
}

std::optional<std::set<base::JobId>> JobChanges::Since(
    std::uint64_t change) const {
  if (change < forgotten_)
    return std::nullopt;
  std::set<base::JobId> jobs;
  for (auto entry = entries_.rbegin();
       entry != entries_.rend() && entry->change > change; ++entry)
    jobs.insert(entry->job);
  return jobs;
}

}  // namespace wigeonstair::control
