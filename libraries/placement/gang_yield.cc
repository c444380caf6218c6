#include "placement/gang_yield.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "placement/cover_planner.h"
#include "placement/gang_lifecycle.h"

namespace wigeonstair::placement {

namespace {

// A short job is expected to end within a half of what the gang has left.
constexpr int kShortness = 2;
// The looked-at part of the queue; more jobs than the largest gang has room
// for are of no use.
constexpr std::size_t kMaximumJobs = 256;

bool WaitsForRoom(const Job& job) {
  return job.specification.tasks == 1 &&
         job.specification.accelerators_per_task > 0 &&
         job.failed_slots.empty() &&
         (job.reason.code == ReasonCode::kNoCapacity ||
          job.reason.code == ReasonCode::kFragmented);
}

class Yield {
 public:
  explicit Yield(EngineState& state) : state_(state) {}

  void Run() {
    CollectWaiting();
    if (static_cast<int>(waiting_.size()) < state_.options.yield_jobs)
      return;
    const std::vector<Job*> gangs = CollectGangs();
    SkipJobsWithRoom();
    for (Job* gang : gangs) {
      if (TakeJobsFor(*gang))
        Stop(*gang);
    }
  }

 private:
  void CollectWaiting() {
    for (const auto& [key, job] : state_.queue.order()) {
      if (waiting_.size() == kMaximumJobs)
        return;
      if (WaitsForRoom(*job))
        waiting_.push_back(job);
    }
  }

  // Gangs that may yield, those with the longest time left first.
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
    return elapsed >= state_.options.run_per_migration *
                          state_.migration_cost.value() &&
           waited <= state_.options.maximum_yielded_wait;
  }

  // The first jobs of the queue get what is about to become free anyway.
  void SkipJobsWithRoom() {
    for (; next_ < waiting_.size() && expected_accelerators_ > 0; ++next_)
      expected_accelerators_ -= waiting_[next_]->accelerators();
  }

  // True when the job is short beside the gang, would be served before it and
  // fits in its place.
  bool GivesWay(const Job& gang, const Job& job) const {
    const base::Duration left = gang.RemainingAt(state_.now);
    const int priority = state_.customers[gang.customer].configuration.priority;
    return job.Remaining() * kShortness < left &&
           job.key < JobQueue::KeyOf(gang, priority, left) &&
           job.task_resources().FitsIn(gang.task_resources());
  }

  // Takes waiting jobs for the room of the gang. Returns false and takes none
  // when too few would use it.
  bool TakeJobsFor(const Job& gang) {
    int accelerators = 0;
    int count = 0;
    std::size_t position = next_;
    for (; position < waiting_.size() && accelerators < gang.accelerators();
         ++position) {
      if (!GivesWay(gang, *waiting_[position]))
        continue;
      accelerators += waiting_[position]->accelerators();
      ++count;
    }
    if (count < state_.options.yield_jobs ||
        2 * accelerators < gang.accelerators() || WouldClaim(gang))
      return false;
    next_ = position;
    return true;
  }

  // A gang that its customer's cells cover would take its room back at once.
  bool WouldClaim(const Job& gang) const {
    return PlanCover(state_.hierarchy, state_.ledger, gang,
                     gang.specification.adjacency, state_.now)
        .has_value();
  }

  void Stop(Job& gang) {
    CheckpointAndStopGang(
        state_, gang, StopCause::kYield, state_.options.checkpoint_grace,
        {.code = ReasonCode::kYield,
         .text = "borrowed room goes to short jobs that wait"});
  }

  EngineState& state_;
  std::vector<Job*> waiting_;
  // Position in `waiting_` of the first job that nobody makes room for yet.
  std::size_t next_ = 0;
  int expected_accelerators_ = 0;
};

}  // namespace

void YieldGangs(EngineState& state) {
  Yield(state).Run();
}

}  // namespace wigeonstair::placement
