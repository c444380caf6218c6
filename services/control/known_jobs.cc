#include "services/control/known_jobs.h"

#include <iterator>

namespace wigeonstair::control {

namespace {

// The record of the job if the domain has it, and null otherwise.
const cluster::JobRecord* FindAssigned(const cluster::ClusterState& state,
                                       const base::DomainId& domain,
                                       const base::JobId& job) {
  const auto found = state.jobs().find(job);
  if (found == state.jobs().end() ||
      found->second.phase != cluster::JobPhase::kAssigned ||
      found->second.domain != domain)
    return nullptr;
  return &found->second;
}

}  // namespace

std::vector<placement::Event> KnownJobs::FollowAll(
    const cluster::ClusterState& state,
    const base::DomainId& domain) {
  std::set<base::JobId> jobs = state.assigned_jobs(domain);
  for (const auto& [job, known] : jobs_)
    jobs.insert(job);
  return Follow(state, domain, jobs);
}

std::vector<placement::Event> KnownJobs::Follow(
    const cluster::ClusterState& state,
    const base::DomainId& domain,
    const std::set<base::JobId>& changed) {
  std::vector<placement::Event> cancelled;
  std::vector<placement::Event> submitted;
  for (const base::JobId& job : changed) {
    const cluster::JobRecord* record = FindAssigned(state, domain, job);
    const auto known = jobs_.find(job);
    if (known != jobs_.end()) {
      // A job that was taken away and assigned again is another assignment.
      if (record != nullptr && record->assignments == known->second.assignment)
        continue;
      cancelled.push_back(placement::JobCancelled{.job = job});
      jobs_.erase(known);
    }
    if (record == nullptr)
      continue;
    jobs_[job] = {.assignment = record->assignments,
                  .kept_checkpoint = record->checkpoint_milliseconds};
    submitted.push_back(placement::JobSubmitted{
        .specification = record->specification,
        .resume_from_milliseconds = record->checkpoint_milliseconds,
        .former_run = record->assignments == 1
                          ? later_
                          : placement::FormerRun::kPossible});
  }
  cancelled.insert(cancelled.end(), std::make_move_iterator(submitted.begin()),
                   std::make_move_iterator(submitted.end()));
  return cancelled;
}

void KnownJobs::Clear() {
  jobs_.clear();
  later_ = placement::FormerRun::kPossible;
}

KnownJob* KnownJobs::Find(const base::JobId& job) {
  const auto known = jobs_.find(job);
  return known == jobs_.end() ? nullptr : &known->second;
}

}  // namespace wigeonstair::control
