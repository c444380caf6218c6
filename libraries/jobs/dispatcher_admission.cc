#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Achievable share of accelerators in use; gangs leave some of them idle.
constexpr double kMaximumUtilization = 0.8;
// Bounds of the time after which a refused caller may retry, before jitter.
constexpr base::Duration kMinimumRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kMaximumRetryAfter = std::chrono::seconds(30);
constexpr double kRetryAfterJitter = 0.5;

}  // namespace

double Dispatcher::RemainingMs(const RunKey& key,
                               const Run& run,
                               const Now& now) const {
  constexpr double kMinimumRemainingMs = 200;
  if (run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding)
    return kMinimumRemainingMs;
  const JobRecord* job = store_.FindJob(key.task.job);
  if (job == nullptr)
    return kMinimumRemainingMs;
  const bool learned =
      std::holds_alternative<LearnedRunTimes>(options_.run_times);
  if (learned && run.speed && *run.speed > 0 && run.listed_at) {
    const std::chrono::duration<double, std::milli> since_list =
        now.instant - *run.listed_at;
    const double left = ProjectedMs(run) * (100.0 - run.percent) / 100;
    return std::max(kMinimumRemainingMs, left - since_list.count());
  }
  const double slowness =
      learned && !run.gang
          ? store_.run_times().speeds().SlownessOf(run.worker.id)
          : 1;
  const double whole = ExpectedTaskMs(*job, key.task.step) * slowness *
                       (run.remote ? options_.remote_factor : 1);
  const std::chrono::duration<double, std::milli> ran =
      now.instant - run.running_since.value_or(now.instant);
  return std::max(kMinimumRemainingMs, whole - ran.count());
}

// Remaining work of open jobs of this or a more urgent priority, in
// accelerator-milliseconds.
double Dispatcher::BacklogMs(std::uint32_t priority, const Now& now) const {
  double backlog = 0;
  for (const auto& [key, run] : runs_) {
    if (run.priority <= priority) {
      backlog += static_cast<double>(run.resources.accelerators) *
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
      backlog += static_cast<double>(waiting) *
                 static_cast<double>(spec.task.accelerators) *
                 ExpectedTaskMs(job, step);
    }
  }
  return backlog;
}

// Load pattern: more work than the fleet can complete before its value drops to
// zero. A caller that is refused immediately can use another service; one whose
// job is queued cannot.
std::optional<base::Duration> Dispatcher::CheckAdmission(
    const QueuePolicy& policy,
    const std::string& queue,
    const JobRecord& job,
    const Now& now) const {
  const std::vector<CandidateWorker> workers = CandidateWorkers(now);
  std::uint64_t capacity = 0;
  for (const CandidateWorker& candidate : workers)
    capacity += candidate.capacity.accelerators;
  if (capacity == 0 || !IsBusy(workers) || job.spec.repeat_count > 0 ||
      policy.priority == 0) {
    return std::nullopt;
  }
  const double critical_path = CriticalPathMs(queue, job.spec, job.customer);
  const double end_ms =
      critical_path + BacklogMs(policy.priority, now) /
                          (kMaximumUtilization * static_cast<double>(capacity));
  const double zero_value_ms =
      kZeroValueFactor *
      (policy.stretch * critical_path + policy.completion_target_ms);
  if (end_ms <= zero_value_ms)
    return std::nullopt;
  // Jitter, so that callers that were refused together do not retry together.
  const double jitter =
      1 +
      kRetryAfterJitter *
          static_cast<double>(std::hash<std::string>()(job.id.value()) % 1000) /
          1000;
  const auto excess = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(end_ms - zero_value_ms));
  return std::chrono::duration_cast<base::Duration>(
      std::clamp(excess, kMinimumRetryAfter, kMaximumRetryAfter) * jitter);
}

}  // namespace wigeonstair::jobs
