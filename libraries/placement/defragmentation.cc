#include "placement/defragmentation.h"

#include <algorithm>
#include <map>
#include <optional>

#include "placement/borrow_planner.h"
#include "placement/gang_lifecycle.h"
#include "placement/reclaim_planner.h"

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;

// The gain must exceed the cost by this factor, because both are estimates.
constexpr double kRequiredGainFactor = 2;
// Minimum time between two defragmentations.
constexpr base::Duration kDefragmentationInterval = std::chrono::seconds(5);
constexpr int kMaximumMoves = 32;

// A slot that can run tasks of the gang after some jobs have been moved away.
struct ClearedSlot {
  SlotIndex slot = kNoSlot;
  int tasks = 0;
  std::vector<Job*> moves = {};
  int moved_accelerators = 0;
};

// An overdue gang may preempt small borrowed jobs even if these cannot continue
// elsewhere immediately; they keep their checkpoints. Guaranteed claims take
// precedence over reservations, so a reservation alone does not bound the wait.
bool IsOverdue(const EngineState& state, const Job& gang) {
  return state.now >= gang.queued_at + state.options.gang_preemption_delay;
}

bool IsMovable(const EngineState& state, const Job& job, const Job& gang) {
  if (job.state != JobState::kRunning || job.coverage != Coverage::kBorrowed)
    return false;
  // Gangs are moved only for a gang that was submitted before them.
  if (job.specification.tasks != 1)
    return IsOverdue(state, gang) && job.sequence > gang.sequence;
  return IsOverdue(state, gang) ||
         job.PredictedEnd(state.now) >
             state.now + 2 * state.migration_cost.value();
}

// Moves the smallest jobs first, and only jobs whose move lets more tasks of
// the gang fit.
ClearedSlot PlanClearedSlot(const EngineState& state,
                            const Job& gang,
                            SlotIndex index) {
  const Resources wanted = gang.task_resources();
  const int limit = gang.specification.tasks;
  const Slot& slot = state.hierarchy.slot(index);
  Resources free = slot.capacity - slot.granted - slot.earmarked;
  ClearedSlot clearing{.slot = index,
                       .tasks = CountFitting(wanted, free, limit)};
  std::vector<Job*> movable;
  for (const TaskReference& task : slot.tasks) {
    if (IsMovable(state, *task.job, gang) &&
        task.job->specification.accelerators_per_task > 0 &&
        std::find(movable.begin(), movable.end(), task.job) == movable.end())
      movable.push_back(task.job);
  }
  std::sort(movable.begin(), movable.end(),
            [](const Job* left, const Job* right) {
              return std::pair(left->accelerators(), left->sequence) <
                     std::pair(right->accelerators(), right->sequence);
            });
  std::vector<Job*> pending;
  int pending_accelerators = 0;
  for (Job* job : movable) {
    for (const TaskReference& task : slot.tasks) {
      if (task.job == job && HoldsResources(job->members[task.member].state))
        free += job->task_resources();
    }
    pending.push_back(job);
    pending_accelerators += job->accelerators();
    const int tasks = CountFitting(wanted, free, limit);
    if (tasks <= clearing.tasks)
      continue;
    clearing.tasks = tasks;
    clearing.moves.insert(clearing.moves.end(), pending.begin(), pending.end());
    clearing.moved_accelerators += pending_accelerators;
    pending.clear();
    pending_accelerators = 0;
  }
  return clearing;
}

struct MovePlan {
  std::vector<Member> members;
  std::vector<Claim> claims;
  std::vector<Job*> moves = {};
  int moved_accelerators = 0;
};

// Chooses the slots of one scope that move the fewest accelerators per task.
// Returns nothing if the gang does not fit, if no job needs to move or if too
// many do.
std::optional<MovePlan> PlanScope(std::vector<ClearedSlot> clearings,
                                  const Job& gang) {
  std::sort(clearings.begin(), clearings.end(),
            [](const ClearedSlot& left, const ClearedSlot& right) {
              return left.moved_accelerators * right.tasks <
                     right.moved_accelerators * left.tasks;
            });
  MovePlan plan;
  int wanted = gang.specification.tasks;
  for (const ClearedSlot& clearing : clearings) {
    if (wanted == 0)
      break;
    const int tasks = std::min(wanted, clearing.tasks);
    wanted -= tasks;
    plan.members.insert(plan.members.end(), tasks,
                        Member{.slot = clearing.slot});
    plan.claims.push_back(
        {.slot = clearing.slot, .resources = gang.task_resources() * tasks});
    for (Job* job : clearing.moves) {
      if (std::find(plan.moves.begin(), plan.moves.end(), job) !=
          plan.moves.end())
        continue;
      plan.moves.push_back(job);
      plan.moved_accelerators += job->accelerators();
    }
  }
  if (wanted > 0 || plan.moves.empty() ||
      static_cast<int>(plan.moves.size()) > kMaximumMoves)
    return std::nullopt;
  return plan;
}

std::optional<MovePlan> PlanMoves(const EngineState& state, const Job& gang) {
  std::map<int, std::vector<ClearedSlot>> by_scope;
  const CellLevel adjacency = gang.specification.adjacency;
  for (SlotIndex i = 0; i < static_cast<int>(state.hierarchy.slots().size());
       ++i) {
    const Slot& slot = state.hierarchy.slot(i);
    if (!slot.live() || slot.health.state != WorkerHealthState::kHealthy)
      continue;
    const int scope = adjacency <= CellLevel::kWorker ? i
                      : adjacency == CellLevel::kRack ? slot.rack
                                                      : 0;
    ClearedSlot clearing = PlanClearedSlot(state, gang, i);
    if (clearing.tasks > 0)
      by_scope[scope].push_back(std::move(clearing));
  }
  std::optional<MovePlan> best;
  for (auto& [scope, clearings] : by_scope) {
    std::optional<MovePlan> plan = PlanScope(std::move(clearings), gang);
    if (plan && (!best || plan->moved_accelerators < best->moved_accelerators))
      best = std::move(plan);
  }
  return best;
}

// Returns the number of accelerators that are free outside of the slots of the
// plan.
int FreeAcceleratorsElsewhere(const EngineState& state, const MovePlan& plan) {
  int free = 0;
  for (SlotIndex i = 0; i < static_cast<int>(state.hierarchy.slots().size());
       ++i) {
    const bool used =
        std::any_of(plan.claims.begin(), plan.claims.end(),
                    [&](const Claim& claim) { return claim.slot == i; });
    if (!used && state.hierarchy.slot(i).usable())
      free += std::max(0, state.hierarchy.Free(i).accelerators);
  }
  return free;
}

// Compares accelerator time: the work lost by the moved jobs against the time
// that the gang gains.
bool IsWorthwhile(const EngineState& state,
                  const Job& gang,
                  const MovePlan& plan,
                  const Reservation& reservation) {
  if (IsOverdue(state, gang))
    return true;
  const double cost =
      plan.moved_accelerators *
      std::chrono::duration<double>(state.migration_cost.value()).count();
  const double gain = gang.accelerators() * std::chrono::duration<double>(
                                                reservation.start - state.now -
                                                state.migration_cost.value())
                                                .count();
  return gain > kRequiredGainFactor * cost &&
         FreeAcceleratorsElsewhere(state, plan) >= plan.moved_accelerators;
}

}  // namespace

bool TryDefragment(EngineState& state,
                   Job& beneficiary,
                   const Reservation& reservation) {
  if (beneficiary.specification.accelerators_per_task == 0 ||
      beneficiary.reason.code == ReasonCode::kBorrowingLimit ||
      state.now < state.last_defragmentation_at + kDefragmentationInterval)
    return false;
  std::optional<MovePlan> plan = PlanMoves(state, beneficiary);
  if (!plan || !IsWorthwhile(state, beneficiary, *plan, reservation))
    return false;
  state.last_defragmentation_at = state.now;
  const Reason reason{
      .code = ReasonCode::kDefragment,
      .text = Join("moves so that job ", beneficiary.specification.id.value(),
                   " starts before its reservation"),
      .rejected = {{.alternative = "wait for the reservation",
                    .why = IsOverdue(state, beneficiary)
                               ? "the gang has waited too long"
                               : "costs more than the move"}}};
  for (Job* job : plan->moves) {
    state.Emit(MigrateJob{.job = job->specification.id,
                          .beneficiary = beneficiary.specification.id,
                          .reason = reason});
  }
  BeginReclaim(state, beneficiary,
               {.members = std::move(plan->members),
                .claims = std::move(plan->claims),
                .victims = std::move(plan->moves),
                .cause = StopCause::kDefragment,
                .grace = state.options.checkpoint_grace,
                .reason = reason});
  return true;
}

}  // namespace wigeonstair::placement
