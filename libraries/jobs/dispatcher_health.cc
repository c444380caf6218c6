#include <algorithm>
#include <limits>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Number of workers that left a call unanswered since the last answer from
// their domain, from which the whole domain is treated as unresponsive.
constexpr std::size_t kUnresponsiveThreshold = 2;
// How long an unanswered call counts against the domain. A worker that answers
// is used again immediately.
constexpr base::Duration kSuspectPeriod = std::chrono::seconds(3);
// A run without progress for this time is considered hanging. Lists arrive at
// least every 1.5 s.
constexpr base::Duration kHangTimeout = std::chrono::milliseconds(3200);
// Minimum time between two samples of `percent`.
constexpr base::Duration kSampleInterval = std::chrono::milliseconds(1000);
// Progress of a healthy run from which its speed is computed. With less, the
// rounding to whole percents makes healthy runs look several times slower than
// others.
constexpr double kMinimumSamplePercent = 5;
// A task is moved when the median speed of its siblings is this many times its
// own. The speeds of tasks of one step differ by less than half; slow workers
// are slower by a factor of four or more.
constexpr double kSlowFactor = 3.5;
// With fewer siblings the median is not meaningful.
constexpr std::size_t kMinimumSiblings = 3;
// Runs beyond this progress are not moved.
constexpr std::uint32_t kNearlyDonePercent = 85;
// Time for the stop of a run, its last checkpoint and the list with its end
// before the worker ends.
constexpr base::Duration kStopBeforeLeaving = std::chrono::milliseconds(1200);

}  // namespace

void Dispatcher::RecordAnswer(Worker& worker, const Now& now) {
  worker.last_contact_at = now.instant;
  worker.answered_at = now.instant;
  worker.unanswered_at.reset();
}

void Dispatcher::RecordUnanswered(Worker& worker, const Now& now) {
  if (!worker.unanswered_at)
    worker.unanswered_at = now.instant;
}

// Load pattern: a domain is partitioned from the network during a burst. Starts
// that are sent to it stay in doubt until the leases of its workers expire, so
// the domain gets no new tasks as soon as two of its workers do not answer.
// Only calls since the last answer from the domain count: in a domain of a
// hundred workers some always fail, and the others must stay in use.
std::set<base::DomainId> Dispatcher::UnresponsiveDomains(const Now& now) const {
  const auto suspects =
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& item) {
        const auto& since = item.second.unanswered_at;
        return since && now.instant - *since < kSuspectPeriod;
      });
  if (static_cast<std::size_t>(suspects) < kUnresponsiveThreshold)
    return {};
  std::map<base::DomainId, base::Instant> last_answers;
  for (const auto& [id, worker] : workers_) {
    base::Instant& last = last_answers[worker.description.domain];
    last = std::max(last, worker.answered_at);
  }
  std::map<base::DomainId, std::size_t> silent;
  for (const auto& [id, worker] : workers_) {
    const base::DomainId& domain = worker.description.domain;
    if (worker.unanswered_at && *worker.unanswered_at > last_answers[domain] &&
        now.instant - *worker.unanswered_at < kSuspectPeriod) {
      ++silent[domain];
    }
  }
  std::set<base::DomainId> domains;
  for (const auto& [domain, count] : silent) {
    if (count >= kUnresponsiveThreshold)
      domains.insert(domain);
  }
  return domains;
}

base::Duration Dispatcher::SampleInterval(const RunKey& key) const {
  const JobRecord* job = store_.FindJobOf(key.task);
  if (job == nullptr)
    return kSampleInterval;
  const auto expected = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(
          ExpectedTaskMs(*job, key.task.step) * kMinimumSamplePercent / 100));
  return std::max(kSampleInterval, expected);
}

void Dispatcher::Sample(const RunKey& key,
                        Run& run,
                        std::uint32_t percent,
                        const Now& now) {
  run.listed_at = now.instant;
  if (run.sampled_at) {
    const base::Duration passed = now.instant - *run.sampled_at;
    if (passed < SampleInterval(key))
      return;
    run.sample_seconds = std::chrono::duration<double>(passed).count();
    run.speed = (static_cast<double>(percent) - run.sampled_percent) /
                run.sample_seconds;
  }
  run.sampled_at = now.instant;
  run.sampled_percent = percent;
}

// Load pattern: workers that hang or are slow during a burst. Their tasks
// occupy resources that others could use, and end far too late.
std::optional<std::string> Dispatcher::DetectStall(const CheckedRun& checked,
                                                   const Now& now) const {
  const RunKey& key = checked.key;
  const Run& run = checked.run;
  const JobRecord* job = checked.step.job;
  const Worker* worker = checked.worker;
  // Without a recent list the progress of the run is unknown.
  const bool listed = worker != nullptr && run.listed_at &&
                      now.instant - *run.listed_at < kHangTimeout;
  if (!listed || job == nullptr || run.percent >= kNearlyDonePercent ||
      job->spec.steps[key.task.step].long_running) {
    return std::nullopt;
  }
  const RunTimeExpectation expected =
      Expect(job->queue, job->customer, job->spec.steps[key.task.step]);
  const auto longest_percent = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(expected.high_ms / 100));
  if (now.instant - run.progress_at > std::max(kHangTimeout, longest_percent))
    return "hangs";
  // The members of a gang progress at the same speed.
  // The median cannot exceed the highest speed.
  if (!run.gang && run.speed &&
      *run.speed * kSlowFactor < checked.step.fastest &&
      IsSlowestOfStep(key, run) && IsSlowByItsWorker(key, run, expected))
    return "slow_worker";
  return std::nullopt;
}

// Load pattern: one task of thirty takes several times as long as the others. A
// move would throw its work away, and it would take as long again.
bool Dispatcher::IsSlowByItsWorker(const RunKey& key,
                                   const Run& run,
                                   const RunTimeExpectation& expected) const {
  if (!std::holds_alternative<LearnedRunTimes>(options_.run_times) ||
      ShortestMs(run) > expected.high_ms) {
    return true;
  }
  const auto here = runs_by_worker_.find(run.worker);
  if (here == runs_by_worker_.end())
    return false;
  std::size_t others = 0;
  std::size_t slow = 0;
  for (const auto& [other_key, other] : here->second.runs) {
    const JobRecord* job = store_.FindJob(other_key.task.job);
    if (other_key == key || !other->speed || job == nullptr)
      continue;
    ++others;
    if (ProjectedMs(*other) >
        kSlowFactor * ExpectedTaskMs(*job, other_key.task.step)) {
      ++slow;
    }
  }
  return others > 0 && 2 * slow >= others;
}

double Dispatcher::ProjectedMs(const Run& run) {
  constexpr double kPercentMs = 100.0 * 1000;
  return *run.speed > 0 ? kPercentMs / *run.speed
                        : std::numeric_limits<double>::infinity();
}

// Two rounded percents differ by up to one less than the progress between them.
double Dispatcher::ShortestMs(const Run& run) {
  constexpr double kPercentMs = 100.0 * 1000;
  return kPercentMs / (*run.speed + 1 / run.sample_seconds);
}

double Dispatcher::FastestOfStep(const RunKey& key) const {
  const auto is_sibling = [&](const TaskRef& task) {
    return task.step == key.task.step &&
           task.occurrence == key.task.occurrence && task.job == key.task.job;
  };
  double fastest = 0;
  for (auto run = runs_.lower_bound({.task = {.job = key.task.job,
                                             .occurrence = key.task.occurrence,
                                             .step = key.task.step}});
       run != runs_.end() && is_sibling(run->first.task); ++run) {
    fastest = std::max(fastest, run->second.speed.value_or(0));
  }
  return fastest;
}

bool Dispatcher::IsSlowestOfStep(const RunKey& key, const Run& run) const {
  std::vector<double> speeds;
  const StepRef step = StepOf(key.task);
  const RunKey first{.task = {.job = step.job,
                              .occurrence = step.occurrence,
                              .step = step.step}};
  for (auto sibling = runs_.lower_bound(first);
       sibling != runs_.end() && StepOf(sibling->first.task) == step;
       ++sibling) {
    if (sibling->second.speed && sibling->second.phase == RunPhase::kRunning)
      speeds.push_back(*sibling->second.speed);
  }
  if (speeds.size() < kMinimumSiblings)
    return false;
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  // Tasks may take far longer than expected. Two rounded percents differ by up
  // to one less than the progress between them.
  return *middle * run.sample_seconds >= kMinimumSamplePercent - 1 &&
         *run.speed * kSlowFactor < *middle;
}

// Load pattern: workers are taken away at short notice during a burst. A run
// that is still there when its worker ends loses its work. Workers may stay
// longer than they announce, so a run without checkpoints goes on: a move would
// lose its work in any case.
bool Dispatcher::MustLeaveWorker(const CheckedRun& checked,
                                 const Now& now) const {
  const Run& run = checked.run;
  const JobRecord* job = checked.step.job;
  const Worker* worker = checked.worker;
  if (worker != nullptr && worker->deregisters_at)
    return true;
  if (worker == nullptr || !worker->leaves_at || !run.checkpointing)
    return false;
  const std::chrono::duration<double, std::milli> left =
      *worker->leaves_at - now.instant;
  const bool ends_by_itself =
      job != nullptr && !job->spec.steps[checked.key.task.step].long_running;
  if (ends_by_itself && RemainingMs(checked.key, run, now) <= left.count())
    return false;
  return left <= kStopBeforeLeaving;
}

}  // namespace wigeonstair::jobs
