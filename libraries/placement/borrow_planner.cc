#include "placement/borrow_planner.h"

#include <algorithm>
#include <limits>
#include <map>

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;

struct Candidate {
  SlotIndex slot = kNoSlot;
  int scope = 0;
  int tasks = 0;
  // See BorrowScore(); the smallest is the best fit.
  std::int64_t score = 0;
};

class BorrowSearch {
 public:
  BorrowSearch(const EngineState& state, const Job& job, CellLevel adjacency)
      : state_(state),
        job_(job),
        task_(job.task_resources()),
        wanted_tasks_(job.specification.tasks),
        adjacency_(adjacency) {}

  BorrowPlan Run() {
    BorrowPlan plan;
    if (wanted_tasks_ == 1 && ChooseSingle(plan))
      return plan;
    const int bound = state_.free_index.TaskUpperBound(task_, wanted_tasks_);
    if (bound < wanted_tasks_) {
      fitting_tasks_ = bound;
      free_accelerators_ = state_.free_index.free_accelerators();
      Explain(plan);
      return plan;
    }
    Collect();
    const std::vector<Candidate> chosen = ChooseScope();
    for (const Candidate& candidate : chosen) {
      for (int i = 0; i < candidate.tasks &&
                      static_cast<int>(plan.members.size()) < wanted_tasks_;
           ++i)
        plan.members.push_back({.slot = candidate.slot});
    }
    Explain(plan);
    return plan;
  }

 private:
  // Chooses the best worker for one task from the index, without a scan of all
  // workers.
  bool ChooseSingle(BorrowPlan& plan) const {
    const auto may_use = [&](SlotIndex slot, const Resources& free) {
      return !job_.Avoids(slot, state_.now) &&
             (state_.reservations.empty() ||
              task_.FitsIn(
                  AvailableBesideReservations(state_, job_, slot, free)));
    };
    const std::optional<SlotIndex> best =
        state_.free_index.FindBest(task_, may_use);
    if (!best)
      return false;
    plan.members.push_back({.slot = *best});
    plan.reason = BorrowedReason();
    for (const SlotIndex slot :
         state_.free_index.FindOthers(task_, *best, Reason::kMaximumRejected))
      plan.reason.rejected.push_back(LooserFit(slot));
    return true;
  }

  static Reason BorrowedReason() {
    return {.code = ReasonCode::kBorrowed,
            .text = "on unclaimed resources, best fit"};
  }

  RejectedAlternative LooserFit(SlotIndex slot) const {
    return {.alternative = state_.hierarchy.slot(slot).worker.value(),
            .why = "fits less tightly"};
  }

  int ScopeOf(SlotIndex slot) const {
    if (adjacency_ <= CellLevel::kWorker)
      return slot;
    return adjacency_ == CellLevel::kRack ? state_.hierarchy.slot(slot).rack
                                          : 0;
  }

  void Collect() {
    const std::vector<Slot>& slots = state_.hierarchy.slots();
    for (SlotIndex i = 0; i < static_cast<int>(slots.size()); ++i) {
      if (!slots[i].usable() || job_.Avoids(i, state_.now))
        continue;
      const Resources free = state_.hierarchy.Free(i);
      free_accelerators_ += std::max(0, free.accelerators);
      const int possible = CountFitting(task_, free, wanted_tasks_);
      if (possible == 0)
        continue;
      const int tasks = CountFitting(
          task_, AvailableBesideReservations(state_, job_, i, free),
          wanted_tasks_);
      reserved_tasks_ += possible - tasks;
      fitting_tasks_ += tasks;
      if (tasks > 0) {
        candidates_.push_back({.slot = i,
                               .scope = ScopeOf(i),
                               .tasks = tasks,
                               .score = Score(slots[i], i, free, tasks)});
      }
    }
  }

  std::int64_t Score(const Slot& slot,
                     SlotIndex index,
                     const Resources& free,
                     int tasks) const {
    return BorrowScore(
        task_, tasks, free, ShareOf(slot.capacity, free.accelerators).cores,
        state_.ledger.Slack(state_.hierarchy, index), ScoredFailures(slot));
  }

  // Returns the candidates of the smallest scope that fits the gang, best fit
  // first.
  std::vector<Candidate> ChooseScope() {
    std::map<int, int> totals;
    for (const Candidate& candidate : candidates_)
      totals[candidate.scope] += candidate.tasks;
    int best = -1;
    int best_total = std::numeric_limits<int>::max();
    for (const auto& [scope, total] : totals) {
      if (total >= wanted_tasks_ && total < best_total) {
        best = scope;
        best_total = total;
      }
    }
    std::vector<Candidate> chosen;
    for (const Candidate& candidate : candidates_) {
      if (best >= 0 && candidate.scope == best)
        chosen.push_back(candidate);
    }
    std::stable_sort(chosen.begin(), chosen.end(),
                     [](const Candidate& left, const Candidate& right) {
                       return left.score < right.score;
                     });
    return chosen;
  }

  void Explain(BorrowPlan& plan) const {
    if (!plan.members.empty()) {
      plan.reason = BorrowedReason();
      AddRejectedWorkers(plan);
      return;
    }
    if (fitting_tasks_ >= wanted_tasks_) {
      plan.reason = {
          .code = ReasonCode::kFragmented,
          .text = Join("room for ", fitting_tasks_, " of ", wanted_tasks_,
                       " tasks, but not with the requested adjacency")};
    } else if (fitting_tasks_ + reserved_tasks_ >= wanted_tasks_) {
      plan.reason = {
          .code = ReasonCode::kReserved,
          .text = "the free resources are reserved for a large gang"};
    } else {
      const bool scattered =
          job_.accelerators() > 0 && free_accelerators_ >= job_.accelerators();
      plan.reason = {
          .code = scattered ? ReasonCode::kFragmented : ReasonCode::kNoCapacity,
          .text =
              Join("room for at most ", fitting_tasks_, " of ", wanted_tasks_,
                   " tasks; ", free_accelerators_, " accelerators are free, ",
                   job_.accelerators(), " are needed")};
    }
    AddLiveWorkers(plan);
  }

  void AddRejectedWorkers(BorrowPlan& plan) const {
    for (const Candidate& candidate : candidates_) {
      if (plan.reason.rejected.size() >= Reason::kMaximumRejected)
        return;
      if (candidate.slot == plan.members.front().slot)
        continue;
      plan.reason.rejected.push_back(LooserFit(candidate.slot));
    }
  }

  void AddLiveWorkers(BorrowPlan& plan) const {
    if (state_.hierarchy.slots().empty())
      return;
    for (const Slot& slot : state_.hierarchy.slots()) {
      if (plan.reason.rejected.size() >= Reason::kMaximumRejected)
        return;
      if (!slot.live())
        continue;
      const Resources free = slot.capacity - slot.granted - slot.earmarked;
      plan.reason.rejected.push_back(
          {.alternative = slot.worker.value(),
           .why = Join(WorkerHealthStateName(slot.health.state), "; free ",
                       free.accelerators, " accelerators, ", free.cores,
                       " cores, ", free.memory_megabytes, " MB")});
    }
  }

  const EngineState& state_;
  const Job& job_;
  const Resources task_;
  const int wanted_tasks_;
  const CellLevel adjacency_;
  std::vector<Candidate> candidates_;
  int fitting_tasks_ = 0;
  int reserved_tasks_ = 0;
  int free_accelerators_ = 0;
};

bool ExceedsBorrowing(const EngineState& state, const Job& job) {
  const CustomerRecord& customer = state.customers[job.customer];
  return job.accelerators() > 0 && customer.configuration.borrowing_limit &&
         customer.borrowed_accelerators + job.accelerators() >
             *customer.configuration.borrowing_limit;
}

}  // namespace

BorrowPlan PlanBorrow(const EngineState& state, const Job& job) {
  if (ExceedsBorrowing(state, job)) {
    const CustomerRecord& customer = state.customers[job.customer];
    return {
        .members = {},
        .reason = {.code = ReasonCode::kBorrowingLimit,
                   .text = Join("needs ", job.accelerators(),
                                " accelerators; the customer borrows ",
                                customer.borrowed_accelerators, " of at most ",
                                *customer.configuration.borrowing_limit)}};
  }
  BorrowPlan plan = BorrowSearch(state, job, job.specification.adjacency).Run();
  if (!plan.members.empty() ||
      job.specification.fallback == cluster::AdjacencyFallback::kWait ||
      job.specification.adjacency == CellLevel::kDomain)
    return plan;
  BorrowPlan fallback = BorrowSearch(state, job, CellLevel::kDomain).Run();
  if (fallback.members.empty())
    return plan;
  fallback.reason.text = "without adjacency, as the job allows";
  fallback.reason.rejected.push_back(
      {.alternative = "the requested adjacency", .why = plan.reason.text});
  return fallback;
}

}  // namespace wigeonstair::placement
