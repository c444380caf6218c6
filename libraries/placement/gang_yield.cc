#include "placement/gang_yield.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "placement/cover_planner.h"
#include "placement/gang_lifecycle.h"

namespace wigeonstair::placement {

namespace {

// A job is short if its expected run time, multiplied by this factor, is below
// the remaining run time of the gang.
constexpr int kShortRunFactor = 2;
// Waiting jobs that are considered at most; more than fit in place of the
// largest gang would not start.
constexpr std::size_t kMaximumWaitingJobs = 256;

bool WaitsForCapacity(const Job& job) {
  return job.specification.tasks == 1 &&
         job.specification.accelerators_per_task > 0 &&
         job.failed_slots.empty() &&
         (job.reason.code == ReasonCode::kNoCapacity ||
          job.reason.code == ReasonCode::kFragmented);
}

class YieldPlanner {
 public:
  explicit YieldPlanner(EngineState& state) : state_(state) {}

  void Run() {
    CollectWaiting();
    if (static_cast<int>(waiting_.size()) <
        state_.options.minimum_jobs_for_yield)
      return;
    const std::vector<Job*> gangs = CollectGangs();
    SkipJobsWithExpectedCapacity();
    for (Job* gang : gangs) {
      if (SelectJobsFor(*gang))
        Stop(*gang);
    }
  }

 private:
  void CollectWaiting() {
    for (const auto& [key, job] : state_.queue.order()) {
      if (waiting_.size() == kMaximumWaitingJobs)
        return;
      if (WaitsForCapacity(*job))
        waiting_.push_back(job);
    }
  }

  // Gangs that may yield, longest remaining run time first.
  std::vector<Job*> CollectGangs() {
    std::vector<std::pair<base::Duration, Job*>> ranked;
    for (const auto& [sequence, job] : state_.active) {
      if (job->state == JobState::kCheckpointing ||
          job->state == JobState::kStopping)
        expected_accelerators_ += job->accelerators();
      else if (MayYield(*job))
        ranked.emplace_back(job->RemainingAt(state_.now), job);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) {
                return std::pair(-left.first, left.second->sequence) <
                       std::pair(-right.first, right.second->sequence);
              });
    std::vector<Job*> gangs;
    gangs.reserve(ranked.size());
    for (const auto& [left, job] : ranked)
      gangs.push_back(job);
    return gangs;
  }

  bool MayYield(const Job& job) const {
    if (job.specification.tasks == 1 || job.state != JobState::kRunning ||
        job.coverage != Coverage::kBorrowed ||
        job.specification.urgency == cluster::Urgency::kUrgent)
      return false;
    const base::Duration elapsed = state_.now - job.started_at;
    const base::Duration waited =
        state_.now - job.submitted_at - elapsed -
        std::chrono::milliseconds(job.checkpoint_milliseconds);
    return elapsed >= state_.options.run_to_migration_ratio *
                          state_.migration_cost.value() &&
           waited <= state_.options.maximum_yield_loss;
  }

  // The first jobs in the queue will start on accelerators that become free
  // through stops already in progress.
  void SkipJobsWithExpectedCapacity() {
    for (; next_ < waiting_.size() && expected_accelerators_ > 0; ++next_)
      expected_accelerators_ -= waiting_[next_]->accelerators();
  }

  // True when the job is short compared to the gang, would precede it in the
  // queue, and each of its tasks fits in place of a task of the gang.
  bool YieldsTo(const Job& gang, const Job& job) const {
    const base::Duration left = gang.RemainingAt(state_.now);
    const int priority = state_.customers[gang.customer].configuration.priority;
    return job.Remaining() * kShortRunFactor < left &&
           job.key < JobQueue::KeyOf(gang, priority, left) &&
           job.task_resources().FitsIn(gang.task_resources());
  }

  // Selects waiting jobs to run in place of the gang. Returns false and selects
  // none when they are too few or would use less than half of its accelerators,
  // or when the gang could claim cells.
  bool SelectJobsFor(const Job& gang) {
    int accelerators = 0;
    int count = 0;
    std::size_t position = next_;
    for (; position < waiting_.size() && accelerators < gang.accelerators();
         ++position) {
      if (!YieldsTo(gang, *waiting_[position]))
        continue;
      accelerators += waiting_[position]->accelerators();
      ++count;
    }
    if (count < state_.options.minimum_jobs_for_yield ||
        2 * accelerators < gang.accelerators() || CouldClaimCells(gang))
      return false;
    next_ = position;
    return true;
  }

  // A gang that cells of its customer can cover would claim them and be started
  // again at once.
  bool CouldClaimCells(const Job& gang) const {
    return PlanCover(state_.hierarchy, state_.ledger, gang,
                     gang.specification.adjacency, state_.now)
        .has_value();
  }

  void Stop(Job& gang) {
    CheckpointAndStopGang(
        state_, gang, StopCause::kYield, state_.options.checkpoint_grace,
        {.code = ReasonCode::kYield,
         .text = "borrowed resources are given to short waiting jobs"});
  }

  EngineState& state_;
  std::vector<Job*> waiting_;
  // Position in `waiting_` of the first job for which no capacity is expected.
  std::size_t next_ = 0;
  int expected_accelerators_ = 0;
};

}  // namespace

void YieldGangs(EngineState& state) {
  YieldPlanner(state).Run();
}

}  // namespace wigeonstair::placement
