#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Part of the accelerators that work can use at best: gangs leave gaps.
constexpr double kUsableShare = 0.8;
// When callers that were refused may come back.
constexpr base::Duration kSoonestReturn = std::chrono::seconds(1);
constexpr base::Duration kLatestReturn = std::chrono::seconds(30);
constexpr double kReturnSpread = 0.5;

}  // namespace

double Dispatcher::WorkOf(const JobRecord& job, std::uint32_t step) const {
  return run_times_.Expect(job.queue, job.spec.steps[step].estimate_ms);
}

// The longest chain of steps that wait for each other, in milliseconds.
double Dispatcher::ChainOf(const std::string& queue,
                           const JobSpec& spec) const {
  std::vector<double> until(spec.steps.size());
  double longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    double begin = 0;
    for (const std::uint32_t earlier : spec.steps[i].depends_on)
      begin = std::max(begin, until[earlier]);
    until[i] = begin + run_times_.Expect(queue, spec.steps[i].estimate_ms);
    longest = std::max(longest, until[i]);
  }
  return longest;
}

double Dispatcher::RemainingMs(const RunKey& key,
                               const Run& run,
                               const Now& now) const {
  constexpr double kSoonMs = 200;
  if (run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding)
    return kSoonMs;
  const JobRecord* job = store_.FindJob(key.task.job);
  if (job == nullptr)
    return kSoonMs;
  const double whole =
      WorkOf(*job, key.task.step) * (run.remote ? options_.remote_factor : 1);
  const std::chrono::duration<double, std::milli> ran =
      now.instant - run.running_since.value_or(now.instant);
  return std::max(kSoonMs, whole - ran.count());
}

// Accelerator milliseconds that open jobs of this priority or a more urgent one
// still need.
double Dispatcher::WorkAhead(std::uint32_t priority, const Now& now) const {
  double ahead = 0;
  for (const auto& [key, run] : runs_) {
    if (run.priority <= priority) {
      ahead += static_cast<double>(run.resources.accelerators) *
               RemainingMs(key, run, now);
    }
  }
  for (const base::JobId& id : store_.open_jobs()) {
    const JobRecord& job = *store_.FindJob(id);
    if (job.policy.priority > priority || job.spec.repeat_count > 0)
      continue;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      const StepSpec& spec = job.spec.steps[step];
      const std::vector<TaskProgress>* tasks = job.FindProgress(0, step);
      const auto waiting =
          tasks == nullptr
              ? spec.count
              : std::count_if(tasks->begin(), tasks->end(),
                              [](const TaskProgress& task) {
                                return task.phase == TaskPhase::kWaiting;
                              });
      ahead += static_cast<double>(waiting) *
               static_cast<double>(spec.task.accelerators) * WorkOf(job, step);
    }
  }
  return ahead;
}

// Load pattern: more work than the fleet can do before it is worth nothing. A
// caller that is told at once can turn elsewhere; one that waits cannot.
std::optional<base::Duration> Dispatcher::RefusalOf(const QueuePolicy& policy,
                                                    const std::string& queue,
                                                    const JobRecord& job,
                                                    const Now& now) const {
  const std::vector<WorkerRoom> rooms = Rooms(now);
  std::uint64_t capacity = 0;
  for (const WorkerRoom& room : rooms)
    capacity += room.capacity.accelerators;
  if (capacity == 0 || !IsBusy(rooms) || job.spec.repeat_count > 0 ||
      policy.priority == 0) {
    return std::nullopt;
  }
  const double chain = ChainOf(queue, job.spec);
  const double end_ms =
      chain + WorkAhead(policy.priority, now) /
                  (kUsableShare * static_cast<double>(capacity));
  const double worthless_ms =
      kWorthlessAfter * (policy.stretch * chain + policy.completion_target_ms);
  if (end_ms <= worthless_ms)
    return std::nullopt;
  // Callers that were refused together come back apart.
  const double spread =
      1 +
      kReturnSpread *
          static_cast<double>(std::hash<std::string>()(job.id.value()) % 1000) /
          1000;
  const auto excess = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(end_ms - worthless_ms));
  return std::chrono::duration_cast<base::Duration>(
      std::clamp(excess, kSoonestReturn, kLatestReturn) * spread);
}

}  // namespace wigeonstair::jobs
