#include "placement/scheduling_pass.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "placement/borrow_planner.h"
#include "placement/cover_planner.h"
#include "placement/defragmentation.h"
#include "placement/gang_lifecycle.h"
#include "placement/gang_yield.h"
#include "placement/reclaim_planner.h"

namespace wigeonstair::placement {

namespace {

using cluster::AdjacencyFallback;
using cluster::CellLevel;
using cluster::JobSpecification;

// Jobs of each customer with guaranteed cells that one pass tries first.
constexpr int kClaimsPerCustomer = 64;
// With 2 reservations the p99 wait of gangs missed its target in 9 of 20
// benchmark runs (two deployments, two loads, five seeds), with 4 in 4 of them;
// 8 is no better.
constexpr std::size_t kMaximumReservations = 4;
// Bounds the comparisons for each waiting job.
constexpr std::size_t kMaximumFailedPlacements = 16;

std::optional<CoverPlan> PlanCoverWithFallback(const EngineState& state,
                                               const Job& job) {
  const JobSpecification& specification = job.specification;
  std::optional<CoverPlan> plan = PlanCover(state.hierarchy, state.ledger, job,
                                            specification.adjacency, state.now);
  if (!plan && specification.fallback == AdjacencyFallback::kAnywhere &&
      specification.adjacency != CellLevel::kDomain)
    plan = PlanCover(state.hierarchy, state.ledger, job, CellLevel::kDomain,
                     state.now);
  return plan;
}

bool TryReclaim(EngineState& state, Job& job, const CoverPlan& plan) {
  std::optional<std::vector<Job*>> victims = ChooseVictims(state, plan.demand);
  if (!victims)
    return false;
  const bool urgent = job.specification.urgency == cluster::Urgency::kUrgent;
  BeginReclaim(
      state, job,
      {.members = CommitCover(state.ledger, job, plan),
       .claims = plan.demand,
       .victims = *std::move(victims),
       .cause = StopCause::kReclaim,
       .grace = urgent ? state.options.urgent_checkpoint_grace
                       : state.options.checkpoint_grace,
       .reason = {.code = ReasonCode::kReclaim,
                  .text = Join("customer ", job.specification.customer.value(),
                               " claims its guarantee for job ",
                               job.specification.id.value())}});
  FinishReclaims(state);
  return true;
}

void StartCovered(EngineState& state, Job& job, const CoverPlan& plan) {
  Reason reason{.code = ReasonCode::kGuaranteed,
                .text = "the customer's guaranteed cells cover it"};
  reason.rejected.push_back(
      {.alternative = "borrowed resources",
       .why = "a free guaranteed cell cannot be reclaimed by others"});
  BeginPreparation(state, job, CommitCover(state.ledger, job, plan), reason);
}

void StartBorrowed(EngineState& state, Job& job, BorrowPlan& plan) {
  for (const Member& member : plan.members)
    RecordBackfill(state, job, member.slot);
  BeginPreparation(state, job, std::move(plan.members), plan.reason);
  if (state.HasFault(PlantedFault::kClaimWithoutCell)) {
    job.coverage = Coverage::kGuaranteed;
    state.customers[job.customer].borrowed_accelerators -= job.accelerators();
  }
}

// A job that did not fit in this pass. Jobs that need at least as much are not
// tried, so that a long queue of equal jobs costs one search.
struct FailedPlacement {
  const Job* job = nullptr;
  bool own_cells = false;

  // True when `other` cannot fit because it needs at least as much.
  bool Dominates(const Job& other, bool other_has_cells) const {
    const JobSpecification& mine = job->specification;
    const JobSpecification& theirs = other.specification;
    if ((own_cells || other_has_cells) && job->customer != other.customer)
      return false;
    return mine.tasks <= theirs.tasks &&
           job->task_resources().FitsIn(other.task_resources()) &&
           mine.adjacency >= theirs.adjacency &&
           (mine.fallback == AdjacencyFallback::kAnywhere ||
            theirs.fallback == AdjacencyFallback::kWait) &&
           job->upper_estimate <= other.upper_estimate &&
           mine.urgency >= theirs.urgency;
  }
};

// True for jobs that smaller jobs can starve: gangs, and tasks that need more
// than half of the largest worker.
bool IsLarge(const EngineState& state, const Job& job) {
  if (job.specification.tasks > 1)
    return true;
  return std::none_of(
      state.hierarchy.slots().begin(), state.hierarchy.slots().end(),
      [&](const Slot& slot) {
        return (job.task_resources() * 2).FitsIn(slot.cell_capacity());
      });
}

class Pass {
 public:
  explicit Pass(EngineState& state) : state_(state) {}

  void Run() {
    FinishReclaims(state_);
    DropStaleReservations();
    for (int i = 0; i < static_cast<int>(state_.customers.size()); ++i) {
      if (!state_.ledger.cells_of(i).empty())
        Visit(state_.queue.order_of(i), kClaimsPerCustomer);
    }
    Visit(state_.queue.order(), state_.options.maximum_jobs_per_pass);
    if (std::exchange(state_.replan_reservations, false)) {
      state_.last_reservations_at = state_.now;
      YieldGangs(state_);
      Reserve();
    }
  }

 private:
  // Starting a job modifies the queue, so the jobs are copied first.
  void Visit(const JobQueue::Order& order, int limit) {
    std::vector<Job*> jobs;
    for (const auto& [key, job] : order) {
      if (static_cast<int>(jobs.size()) == limit)
        break;
      jobs.push_back(job);
    }
    for (Job* job : jobs) {
      if (job->queued)
        VisitJob(*job);
    }
  }

  void VisitJob(Job& job) {
    const bool has_cells = job.specification.accelerators_per_task > 0 &&
                           !state_.ledger.cells_of(job.customer).empty();
    for (const FailedPlacement& failure : failed_placements_) {
      if (failure.Dominates(job, has_cells)) {
        AddBlocked(job);
        if (job.reason.code == failure.job->reason.code)
          return;
        ReportWaiting(
            state_, job,
            {.code = failure.job->reason.code,
             .text = Join("job ", failure.job->specification.id.value(),
                          " needs at most as much and does not fit: ",
                          failure.job->reason.text)});
        return;
      }
    }
    if (TryStart(state_, job) == StartAttempt::kStarted)
      return;
    AddBlocked(job);
    if (failed_placements_.size() < kMaximumFailedPlacements &&
        job.failed_slots.empty() &&
        job.reason.code != ReasonCode::kBorrowingLimit)
      failed_placements_.push_back({.job = &job, .own_cells = has_cells});
  }

  void AddBlocked(Job& job) {
    if (IsLarge(state_, job) && job.reason.code != ReasonCode::kBorrowingLimit)
      blocked_.push_back(&job);
  }

  void DropStaleReservations() {
    std::erase_if(state_.reservations, [&](const Reservation& reservation) {
      const Job* job = state_.FindJob(reservation.job);
      return !job || !job->queued || job->sequence != reservation.sequence;
    });
  }

  // Plans reservations for large jobs that did not fit, in order of submission.
  void Reserve() {
    std::sort(blocked_.begin(), blocked_.end(),
              [](const Job* left, const Job* right) {
                return left->sequence < right->sequence;
              });
    blocked_.erase(std::unique(blocked_.begin(), blocked_.end()),
                   blocked_.end());
    const std::vector<Reservation> previous =
        std::exchange(state_.reservations, {});
    for (Job* job : blocked_) {
      if (state_.reservations.size() >= kMaximumReservations)
        break;
      if (!job->queued)
        continue;
      std::optional<Reservation> reservation =
          UpdateOrPlanReservation(state_, *job, previous);
      // A gang that fits now but did not start is blocked by something else,
      // such as the unclaimed guarantees of other customers, which a
      // reservation cannot resolve. Its reservation would block other jobs
      // indefinitely.
      if (!reservation || reservation->start <= state_.now)
        continue;
      state_.reservations.push_back(*std::move(reservation));
      if (TryDefragment(state_, *job, state_.reservations.back()))
        state_.reservations.pop_back();
    }
  }

  EngineState& state_;
  std::vector<FailedPlacement> failed_placements_;
  std::vector<Job*> blocked_;
};

// True when every cell that a single task could claim is larger than the task.
// Such a task borrows first, which avoids a search of all cells and workers.
bool CoverWastesCapacity(const EngineState& state, const Job& job) {
  if (job.specification.tasks != 1 ||
      job.specification.accelerators_per_task == 0)
    return false;
  const Resources task = job.task_resources();
  for (const int index : state.ledger.cells_of(job.customer)) {
    const Cell& cell = state.ledger.cells()[index];
    if (!cell.placed())
      continue;
    if (!cell.claimed()) {
      if (cell.shape.accelerators <= task.accelerators)
        return false;
      continue;
    }
    for (int i = 0; i < static_cast<int>(cell.segments.size()); ++i) {
      if (task.FitsIn(state.ledger.Unused(state.hierarchy, index, i)))
        return false;
    }
  }
  return true;
}

// During recovery, starts only jobs that cannot already be running on a worker
// that has not reported yet, and only on free unclaimed cells of their own
// customers. The cells of other customers are not affected: cells are planned
// on all configured workers, and none is given up for a reported task. Nothing
// is borrowed or reclaimed, because it is not known what the reported tasks
// borrow until they are adopted.
void StartDuringRecovery(EngineState& state) {
  std::vector<Job*> jobs;
  for (const auto& [key, job] : state.queue.order()) {
    const bool safe = job->former_run == FormerRun::kImpossible ||
                      state.HasFault(PlantedFault::kStartAnyInRecovery);
    if (safe &&
        static_cast<int>(jobs.size()) < state.options.maximum_jobs_per_pass)
      jobs.push_back(job);
  }
  for (Job* job : jobs) {
    const std::optional<CoverPlan> cover = PlanCoverWithFallback(state, *job);
    if (cover && !cover->needs_reclaim)
      StartCovered(state, *job, *cover);
  }
}

}  // namespace

StartAttempt TryStart(EngineState& state, Job& job) {
  state.free_index.Refresh(state.hierarchy, state.ledger);
  const bool urgent = job.specification.urgency == cluster::Urgency::kUrgent;
  std::optional<BorrowPlan> borrow;
  if (!urgent && CoverWastesCapacity(state, job)) {
    borrow = PlanBorrow(state, job);
    if (!borrow->members.empty()) {
      StartBorrowed(state, job, *borrow);
      return StartAttempt::kStarted;
    }
  }
  const std::optional<CoverPlan> cover = PlanCoverWithFallback(state, job);
  // A job that would claim a larger cell than it needs borrows first. It is
  // then packed beside other small jobs, and the cell stays available as a
  // whole.
  const bool fits_closely = cover && cover->wasted_accelerators <= 0;
  if (cover && !cover->needs_reclaim && (fits_closely || urgent)) {
    StartCovered(state, job, *cover);
    return StartAttempt::kStarted;
  }
  if (cover && urgent && TryReclaim(state, job, *cover))
    return StartAttempt::kStarted;
  if (!borrow)
    borrow = PlanBorrow(state, job);
  if (!borrow->members.empty()) {
    StartBorrowed(state, job, *borrow);
    return StartAttempt::kStarted;
  }
  if (cover && !cover->needs_reclaim) {
    StartCovered(state, job, *cover);
    return StartAttempt::kStarted;
  }
  const bool waited =
      fits_closely ||
      state.now >= job.submitted_at + state.options.claim_preemption_delay;
  if (cover && !urgent && waited && TryReclaim(state, job, *cover))
    return StartAttempt::kStarted;
  ReportWaiting(state, job, std::move(borrow->reason));
  return StartAttempt::kWaits;
}

void RunPass(EngineState& state) {
  state.last_pass_at = state.now;
  state.pass_needed = false;
  if (state.MayStart())
    Pass(state).Run();
  else if (state.MayStartSomeJobs())
    StartDuringRecovery(state);
}

}  // namespace wigeonstair::placement
