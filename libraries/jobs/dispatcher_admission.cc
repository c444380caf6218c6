#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Achievable share of the scarcest resource in use; gangs leave some of it
// idle.
constexpr double kMaximumUtilization = 0.8;
// Bounds of the time after which a refused caller may retry, before jitter.
constexpr base::Duration kMinimumRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kMaximumRetryAfter = std::chrono::seconds(30);
constexpr double kRetryAfterJitter = 0.5;

}  // namespace

double Dispatcher::RemainingMs(const RunKey& key,
                               const Run& run,
                               const Now& now) const {
  return RemainingMs(store_.FindJobOf(key.task), key, run, now);
}

double Dispatcher::RemainingMs(const JobRecord* job,
                               const RunKey& key,
                               const Run& run,
                               const Now& now) const {
  constexpr double kMinimumRemainingMs = 200;
  if (run.phase == RunPhase::kStopping || run.phase == RunPhase::kEnding ||
      job == nullptr)
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

// Remaining work of the open jobs of a pool with this or a more urgent
// priority: resources times milliseconds.
ResourceAmounts Dispatcher::BacklogMs(std::uint32_t priority,
                                      const std::string& pool,
                                      const Now& now) const {
  ResourceAmounts backlog;
  const RunKey* last = nullptr;
  const JobRecord* holder = nullptr;
  for (const auto& [key, run] : runs_) {
    if (run.priority > priority)
      continue;
    // The runs of a job are neighbours.
    if (last == nullptr || last->task.job != key.task.job)
      holder = store_.FindJob(key.task.job);
    last = &key;
    if (holder == nullptr || holder->pool == pool) {
      backlog = backlog +
                RemainingMs(holder, key, run, now) * AmountsOf(run.resources);
    }
  }
  open_jobs_.VisitUnplaced([&](const JobRecord& job, std::uint32_t step,
                               std::uint32_t tasks) {
    if (job.policy.priority > priority || job.pool != pool || tasks == 0)
      return;
    backlog = backlog + static_cast<double>(tasks) * ExpectedTaskMs(job, step) *
                            AmountsOf(ReservedResources(job.spec.steps[step]));
  });
  return backlog;
}

// Load pattern: more work than the fleet can complete before its value drops to
// zero. A caller that is refused immediately can use another service; one whose
// job is queued cannot.
std::optional<base::Duration> Dispatcher::CheckAdmission(
    const QueuePolicy& policy,
    const std::string& queue,
    const JobRecord& job,
    const Now& now) {
  if (job.spec.repeat_count > 0 || policy.priority == 0)
    return std::nullopt;
  UpdateCandidates(now);
  Resources capacity;
  Resources free;
  for (const CandidateWorker& candidate : candidates_) {
    if (candidate.pool != job.pool)
      continue;
    capacity += candidate.capacity;
    free += candidate.free;
  }
  if (!IsBusy(capacity, free))
    return std::nullopt;
  RefreshOpenJobs(now);
  const double critical_path = CriticalPathMs(queue, job.spec, job.customer);
  // Work for resources that no usable worker has delays no other job.
  const ResourceAmounts backlog =
      PresentIn(BacklogMs(policy.priority, job.pool, now), capacity);
  const double end_ms =
      critical_path +
      DominantShare(backlog, kMaximumUtilization * AmountsOf(capacity));
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
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const Milliseconds excess(end_ms - zero_value_ms);
  return std::chrono::duration_cast<base::Duration>(
      std::clamp(excess, Milliseconds(kMinimumRetryAfter),
                 Milliseconds(kMaximumRetryAfter)) *
      jitter);
}

}  // namespace wigeonstair::jobs
