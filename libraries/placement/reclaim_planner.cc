#include "placement/reclaim_planner.h"

#include <algorithm>
#include <set>

#include "placement/gang_lifecycle.h"

namespace wigeonstair::placement {

namespace {

// A job whose claims wait for longer than this is queued again. By then,
// victims have been stopped after their grace period, and the lease of a worker
// that does not respond (10 s) has expired.
constexpr base::Duration kClaimTimeout = std::chrono::seconds(40);

bool IsStopping(const Job& job, int member) {
  return job.state == JobState::kCheckpointing ||
         job.members[member].state == MemberState::kStopping;
}

bool IsPreemptible(const Job& job) {
  return job.coverage == Coverage::kBorrowed &&
         (job.state == JobState::kRunning || job.state == JobState::kStarting ||
          job.state == JobState::kPreparing);
}

// Estimated work lost by stopping the job: writing the checkpoint and
// restarting, for all its accelerators. Grows with the time since the attempt
// started, because more work is lost if the checkpoint fails.
double StopCost(const EngineState& state, const Job& job) {
  const double size = job.accelerators() + 0.1 * job.specification.tasks *
                                               job.specification.cores_per_task;
  const double elapsed_seconds =
      job.state == JobState::kRunning
          ? std::chrono::duration<double>(state.now - job.started_at).count()
          : 0;
  const int priority = state.customers[job.customer].configuration.priority;
  return (size + 0.01) * (30 + std::min(elapsed_seconds, 3600.0)) *
         (1 + priority / 100.0);
}

class VictimSearch {
 public:
  explicit VictimSearch(EngineState& state) : state_(state) {}

  // Adds victims until the claim fits on its slot. Returns false when it
  // cannot.
  bool Satisfy(const Claim& claim) {
    const Slot& slot = state_.hierarchy.slot(claim.slot);
    Resources available = ExpectedFree(claim.slot);
    if (claim.resources.FitsIn(available))
      return true;
    for (Job* job : Candidates(slot, claim, available)) {
      if (claim.resources.FitsIn(available))
        break;
      if (!HoldsMissingResources(*job, claim.resources - available))
        continue;
      chosen_.insert(job->sequence);
      victims_.push_back(job);
      available = ExpectedFree(claim.slot);
    }
    return claim.resources.FitsIn(available);
  }

  std::vector<Job*> TakeVictims() { return std::move(victims_); }

 private:
  // Free resources of the slot after all stops in progress and all chosen
  // stops.
  Resources ExpectedFree(SlotIndex index) const {
    const Slot& slot = state_.hierarchy.slot(index);
    Resources expected = slot.capacity - slot.granted - slot.earmarked;
    for (const TaskReference& task : slot.tasks) {
      if (IsStopping(*task.job, task.member) ||
          chosen_.contains(task.job->sequence))
        expected += task.job->task_resources();
    }
    for (const Orphan& orphan : slot.orphans)
      expected += orphan.resources;
    for (const auto& [sequence, job] : state_.reclaiming) {
      if (!chosen_.contains(sequence))
        continue;
      for (const Claim& claim : job->claims) {
        if (claim.slot == index)
          expected += claim.resources;
      }
    }
    return expected;
  }

  static bool HoldsMissingResources(const Job& job, const Resources& missing) {
    const Resources task = job.task_resources();
    return (missing.accelerators > 0 && task.accelerators > 0) ||
           (missing.cores > 0 && task.cores > 0) ||
           (missing.memory_megabytes > 0 && task.memory_megabytes > 0);
  }

  // Jobs that may be stopped, cheapest first. Dropping the claims of a borrowed
  // job costs nothing, because its tasks do not run yet.
  std::vector<Job*> Candidates(const Slot& slot,
                               const Claim& claim,
                               const Resources& available) const {
    std::vector<std::pair<double, Job*>> ranked;
    for (const auto& [sequence, job] : state_.reclaiming) {
      const bool claims_slot = std::any_of(
          job->claims.begin(), job->claims.end(),
          [&](const Claim& other) { return other.slot == claim.slot; });
      if (claims_slot && job->planned_members.front().cell < 0 &&
          !chosen_.contains(sequence))
        ranked.emplace_back(0, job);
    }
    const Resources missing = claim.resources - available;
    std::set<std::int64_t> seen;
    for (const TaskReference& task : slot.tasks) {
      if (IsPreemptible(*task.job) &&
          HoldsMissingResources(*task.job, missing) &&
          HoldsResources(task.job->members[task.member].state) &&
          !chosen_.contains(task.job->sequence) &&
          seen.insert(task.job->sequence).second)
        ranked.emplace_back(StopCost(state_, *task.job), task.job);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) {
                return std::pair(left.first, left.second->sequence) <
                       std::pair(right.first, right.second->sequence);
              });
    std::vector<Job*> jobs;
    jobs.reserve(ranked.size());
    for (const auto& entry : ranked)
      jobs.push_back(entry.second);
    return jobs;
  }

  EngineState& state_;
  std::set<std::int64_t> chosen_;
  std::vector<Job*> victims_;
};

// Shortens the deadlines of checkpoints in progress to the claimant's grace
// period.
void ShortenGracePeriods(EngineState& state,
                         const std::vector<Claim>& claims,
                         base::Duration grace) {
  for (const Claim& claim : claims) {
    for (const TaskReference& task : state.hierarchy.slot(claim.slot).tasks) {
      Job& job = *task.job;
      if (job.state == JobState::kCheckpointing && job.deadline &&
          *job.deadline > state.now + grace)
        state.SetDeadline(job, state.now + grace);
    }
  }
}

void StopVictim(EngineState& state, Job& victim, const ReclaimPlan& plan) {
  if (victim.state == JobState::kReclaiming) {
    DropClaims(state, victim);
    Enqueue(state, victim, plan.reason);
    return;
  }
  CheckpointAndStopGang(state, victim, plan.cause, plan.grace, plan.reason);
}

}  // namespace

std::optional<std::vector<Job*>> ChooseVictims(
    EngineState& state,
    const std::vector<Claim>& claims) {
  VictimSearch search(state);
  for (const Claim& claim : claims) {
    if (!search.Satisfy(claim))
      return std::nullopt;
  }
  return search.TakeVictims();
}

void BeginReclaim(EngineState& state, Job& claimant, ReclaimPlan plan) {
  state.queue.Remove(claimant);
  claimant.state = JobState::kReclaiming;
  state.reclaiming[claimant.sequence] = &claimant;
  state.SetDeadline(claimant, state.now + kClaimTimeout);
  ShortenGracePeriods(state, plan.claims, plan.grace);
  const Reason waiting{
      .code = plan.reason.code,
      .text =
          Join("waiting for ", static_cast<std::int64_t>(plan.victims.size()),
               " borrowed jobs to stop")};
  state.RecordReason(claimant, "reclaim", waiting);
  state.Emit(JobWaiting{.job = claimant.specification.id,
                        .expected_wait = plan.grace,
                        .reason = waiting});
  for (Job* victim : plan.victims)
    StopVictim(state, *victim, plan);
  for (const Claim& claim : plan.claims)
    state.hierarchy.slot(claim.slot).earmarked += claim.resources;
  claimant.claims = std::move(plan.claims);
  claimant.planned_members = std::move(plan.members);
}

void FinishReclaims(EngineState& state) {
  std::vector<Job*> ready;
  for (const auto& [sequence, job] : state.reclaiming) {
    const bool room = std::all_of(
        job->claims.begin(), job->claims.end(), [&](const Claim& claim) {
          return claim.resources.FitsIn(state.hierarchy.Ungranted(claim.slot));
        });
    if (!room)
      continue;
    for (const Claim& claim : job->claims)
      state.hierarchy.slot(claim.slot).earmarked -= claim.resources;
    job->claims.clear();
    const bool covered = job->planned_members.front().cell >= 0;
    BeginPreparation(
        state, *job, std::move(job->planned_members),
        {.code = covered ? ReasonCode::kGuaranteed : ReasonCode::kDefragment,
         .text = "the claimed resources are free"});
    job->planned_members.clear();
    ready.push_back(job);
  }
  for (const Job* job : ready)
    state.reclaiming.erase(job->sequence);
}

void DropClaimsOn(EngineState& state, SlotIndex slot) {
  std::vector<Job*> affected;
  for (const auto& [sequence, job] : state.reclaiming) {
    if (std::any_of(job->claims.begin(), job->claims.end(),
                    [&](const Claim& claim) { return claim.slot == slot; }))
      affected.push_back(job);
  }
  for (Job* job : affected) {
    DropClaims(state, *job);
    Enqueue(state, *job,
            {.code = ReasonCode::kNoCapacity,
             .text = "a worker with claimed resources was lost"});
  }
}

void DropAllClaims(EngineState& state, const Reason& reason) {
  while (!state.reclaiming.empty()) {
    Job& job = *state.reclaiming.begin()->second;
    DropClaims(state, job);
    Enqueue(state, job, reason);
  }
}

}  // namespace wigeonstair::placement
