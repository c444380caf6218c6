#include "placement/cover_planner.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;
using cluster::CellShape;

// The tasks that fit into one segment of a cell.
struct Part {
  SlotIndex slot = kNoSlot;
  int segment = 0;
  int tasks = 0;
};

enum class ShapeOrder { kSmallestFirst, kLargestFirst };

// Collects the locations where cells of the customer are or could be moved to,
// grouped by the worker, rack or domain that must contain the whole gang, and
// chooses the group with the lowest cost.
class CoverSearch {
 public:
  CoverSearch(const CellHierarchy& hierarchy,
              const GuaranteeLedger& ledger,
              const Job& job,
              CellLevel adjacency,
              base::Instant now)
      : hierarchy_(hierarchy),
        ledger_(ledger),
        job_(job),
        now_(now),
        task_(job.task_resources()),
        wanted_tasks_(job.specification.tasks),
        customer_(job.customer),
        adjacency_(adjacency) {}

  std::optional<CoverPlan> Run() {
    CollectShapes();
    CollectCells();
    CollectSlack();
    std::stable_sort(sources_.begin(), sources_.end(),
                     [](const CoverSource& left, const CoverSource& right) {
                       return left.scope < right.scope;
                     });
    std::optional<CoverPlan> best;
    for (std::size_t first = 0; first < sources_.size();) {
      std::size_t last = first;
      while (last < sources_.size() &&
             sources_[last].scope == sources_[first].scope)
        ++last;
      ConsiderScope(first, last, best);
      first = last;
    }
    return best;
  }

 private:
  bool MayUse(SlotIndex slot) const {
    return hierarchy_.slot(slot).usable() && !job_.Avoids(slot, now_);
  }

  int ScopeOf(SlotIndex slot) const {
    if (adjacency_ <= CellLevel::kWorker)
      return slot;
    return adjacency_ == CellLevel::kRack ? hierarchy_.slot(slot).rack : 0;
  }

  void CollectShapes() {
    for (const int index : ledger_.cells_of(customer_)) {
      const Cell& cell = ledger_.cells()[index];
      if (cell.claimed() || !cell.placed())
        continue;
      const auto found = std::find(shapes_.begin(), shapes_.end(), cell.shape);
      if (found == shapes_.end()) {
        shapes_.push_back(cell.shape);
        cell_counts_.push_back(1);
      } else {
        ++cell_counts_[found - shapes_.begin()];
      }
    }
  }

  int ShapeIndex(const CellShape& shape) const {
    const auto found = std::find(shapes_.begin(), shapes_.end(), shape);
    return found == shapes_.end() ? -1
                                  : static_cast<int>(found - shapes_.begin());
  }

  void CollectCells() {
    const std::vector<Cell>& cells = ledger_.cells();
    for (int i = 0; i < static_cast<int>(cells.size()); ++i) {
      const Cell& cell = cells[i];
      const bool own = cell.customer == customer_;
      if (!cell.placed() || (cell.claimed() && !own))
        continue;
      const int shape = cell.claimed() ? -1 : ShapeIndex(cell.shape);
      if (cell.claimed() || shape >= 0)
        AddCell(i, shape);
    }
  }

  // Adds one source for each scope that the cell has segments in.
  void AddCell(int index, int shape) {
    const Cell& cell = ledger_.cells()[index];
    const std::size_t first_source = sources_.size();
    for (int i = 0; i < static_cast<int>(cell.segments.size()); ++i) {
      const SlotIndex slot = cell.segments[i].slot;
      const int tasks =
          MayUse(slot)
              ? CountFitting(task_, ledger_.Unused(hierarchy_, index, i),
                             wanted_tasks_)
              : 0;
      if (tasks == 0)
        continue;
      const int scope = ScopeOf(slot);
      if (sources_.size() == first_source || sources_.back().scope != scope) {
        sources_.push_back({.cell = index,
                            .cell_shape = cell.shape,
                            .shape = shape,
                            .scope = scope,
                            .first_part = static_cast<int>(parts_.size())});
      }
      AddPart(sources_.back(), {.slot = slot, .segment = i, .tasks = tasks});
    }
  }

  void CollectSlack() {
    for (int shape = 0; shape < static_cast<int>(shapes_.size()); ++shape) {
      if (shapes_[shape].level != CellLevel::kWorker)
        continue;
      for (SlotIndex i = 0; i < static_cast<int>(hierarchy_.slots().size());
           ++i)
        AddSlack(shape, i);
    }
  }

  void AddSlack(int shape, SlotIndex index) {
    const Slot& slot = hierarchy_.slot(index);
    const int size = shapes_[shape].accelerators;
    int slack = MayUse(index) ? ledger_.Slack(hierarchy_, index) : 0;
    const int tasks =
        slack >= size
            ? CountFitting(task_, ShareOf(slot.capacity, size), wanted_tasks_)
            : 0;
    for (; tasks > 0 && slack >= size; slack -= size) {
      sources_.push_back({.cell = -1,
                          .slack_slot = index,
                          .cell_shape = shapes_[shape],
                          .shape = shape,
                          .scope = ScopeOf(index),
                          .first_part = static_cast<int>(parts_.size())});
      AddPart(sources_.back(), {.slot = index, .segment = 0, .tasks = tasks});
    }
  }

  void AddPart(CoverSource& source, const Part& part) {
    parts_.push_back(part);
    ++source.part_count;
    source.tasks += part.tasks;
    const Slot& slot = hierarchy_.slot(part.slot);
    const int free = slot.capacity.accelerators - slot.granted.accelerators -
                     slot.earmarked.accelerators;
    source.cost += std::max(
        0, std::min(part.tasks, wanted_tasks_) * task_.accelerators - free);
  }

  static auto CostKey(const CoverPlan& plan) {
    return std::tuple(plan.wasted_accelerators, plan.missing_accelerators,
                      plan.needs_reclaim);
  }

  void ConsiderScope(std::size_t first,
                     std::size_t last,
                     std::optional<CoverPlan>& best) const {
    int total = 0;
    for (std::size_t i = first; i < last; ++i)
      total += sources_[i].tasks;
    if (total < wanted_tasks_)
      return;
    for (const ShapeOrder order :
         {ShapeOrder::kSmallestFirst, ShapeOrder::kLargestFirst}) {
      std::optional<CoverPlan> plan = Fill(first, last, order);
      if (!plan)
        continue;
      if (!best || CostKey(*plan) < CostKey(*best))
        best = std::move(plan);
      return;
    }
  }

  bool ComesFirst(const CoverSource& left,
                  const CoverSource& right,
                  ShapeOrder order) const {
    if ((left.shape < 0) != (right.shape < 0))
      return left.shape < 0;
    if (left.shape >= 0 && left.shape != right.shape) {
      const int left_size = shapes_[left.shape].accelerators;
      const int right_size = shapes_[right.shape].accelerators;
      if (left_size != right_size) {
        return order == ShapeOrder::kSmallestFirst ? left_size < right_size
                                                   : left_size > right_size;
      }
    }
    return left.cost < right.cost;
  }

  std::optional<CoverPlan> Fill(std::size_t first,
                                std::size_t last,
                                ShapeOrder order) const {
    std::vector<int> candidates(last - first);
    std::iota(candidates.begin(), candidates.end(), static_cast<int>(first));
    std::stable_sort(
        candidates.begin(), candidates.end(), [&](int left, int right) {
          return ComesFirst(sources_[left], sources_[right], order);
        });
    CoverPlan plan;
    std::vector<int> available = cell_counts_;
    std::map<SlotIndex, int> slack_used;
    for (const int candidate : candidates) {
      const CoverSource& source = sources_[candidate];
      if (static_cast<int>(plan.tasks.size()) == wanted_tasks_)
        break;
      if (Admits(source, available, slack_used))
        AddTasks(source, plan);
    }
    if (static_cast<int>(plan.tasks.size()) < wanted_tasks_)
      return std::nullopt;
    ComputeCosts(plan);
    return plan;
  }

  // Reserves one unclaimed cell of the shape, and the slack that it would be
  // moved to. Returns false if none is left.
  bool Admits(const CoverSource& source,
              std::vector<int>& available,
              std::map<SlotIndex, int>& slack_used) const {
    if (source.shape < 0)
      return true;
    if (available[source.shape] == 0)
      return false;
    if (source.cell < 0) {
      int& used = slack_used[source.slack_slot];
      const int size = shapes_[source.shape].accelerators;
      if (used + size > ledger_.Slack(hierarchy_, source.slack_slot))
        return false;
      used += size;
    }
    --available[source.shape];
    return true;
  }

  void AddTasks(const CoverSource& source, CoverPlan& plan) const {
    plan.sources.push_back(source);
    for (int i = 0; i < source.part_count; ++i) {
      const Part& part = parts_[source.first_part + i];
      for (int task = 0; task < part.tasks &&
                         static_cast<int>(plan.tasks.size()) < wanted_tasks_;
           ++task) {
        plan.tasks.push_back(
            {.slot = part.slot,
             .source = static_cast<int>(plan.sources.size()) - 1,
             .segment = part.segment});
      }
    }
  }

  void ComputeCosts(CoverPlan& plan) const {
    for (const CoverSource& source : plan.sources) {
      if (source.shape >= 0)
        plan.wasted_accelerators += shapes_[source.shape].accelerators;
    }
    for (const CoverPlan::Task& task : plan.tasks) {
      if (plan.sources[task.source].shape >= 0)
        plan.wasted_accelerators -= task_.accelerators;
    }
    std::map<SlotIndex, Resources> demand;
    for (const CoverPlan::Task& task : plan.tasks)
      demand[task.slot] += task_;
    for (const auto& [index, wanted] : demand) {
      plan.demand.push_back({.slot = index, .resources = wanted});
      const Resources free =
          hierarchy_.Ungranted(index) - hierarchy_.slot(index).earmarked;
      plan.missing_accelerators +=
          std::max(0, wanted.accelerators - std::max(0, free.accelerators));
      plan.needs_reclaim = plan.needs_reclaim || !wanted.FitsIn(free);
    }
  }

  const CellHierarchy& hierarchy_;
  const GuaranteeLedger& ledger_;
  const Job& job_;
  const base::Instant now_;
  const Resources task_;
  const int wanted_tasks_;
  const int customer_;
  const CellLevel adjacency_;
  // Shapes of the customer's unclaimed cells, and the number of cells of each.
  std::vector<CellShape> shapes_;
  std::vector<int> cell_counts_;
  std::vector<CoverSource> sources_;
  std::vector<Part> parts_;
};

}  // namespace

std::optional<CoverPlan> PlanCover(const CellHierarchy& hierarchy,
                                   const GuaranteeLedger& ledger,
                                   const Job& job,
                                   CellLevel adjacency,
                                   base::Instant now) {
  if (job.specification.accelerators_per_task == 0 ||
      ledger.cells_of(job.customer).empty())
    return std::nullopt;
  // Skips the search of all cells and workers for a job that cannot be covered.
  int unused = 0;
  for (const int index : ledger.cells_of(job.customer)) {
    for (const CellSegment& segment : ledger.cells()[index].segments)
      unused += segment.accelerators - segment.used.accelerators;
  }
  if (unused < job.accelerators())
    return std::nullopt;
  return CoverSearch(hierarchy, ledger, job, adjacency, now).Run();
}

}  // namespace wigeonstair::placement
