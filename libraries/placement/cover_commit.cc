#include <algorithm>

#include "placement/cover_planner.h"

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;

// Returns the cell to use for the source: the cell that is there if it belongs
// to the customer, otherwise another unclaimed cell of the customer, which is
// moved there. Returns -1 if there is none.
int ProvideCell(GuaranteeLedger& ledger,
                int customer,
                const CoverSource& source,
                std::vector<int>& taken) {
  const std::vector<Cell>& cells = ledger.cells();
  if (source.cell >= 0 && cells[source.cell].customer == customer)
    return source.cell;
  for (const int own : ledger.cells_of(customer)) {
    const Cell& cell = cells[own];
    if (cell.claimed() || !cell.placed() || cell.shape != source.cell_shape ||
        std::find(taken.begin(), taken.end(), own) != taken.end())
      continue;
    if (source.cell >= 0)
      ledger.Swap(own, source.cell);
    else
      ledger.MoveTo(own, source.slack_slot);
    taken.push_back(own);
    return own;
  }
  return -1;
}

int SegmentAt(const Cell& cell, SlotIndex slot) {
  for (int i = 0; i < static_cast<int>(cell.segments.size()); ++i) {
    if (cell.segments[i].slot == slot)
      return i;
  }
  return -1;
}

// Returns a cell of the customer that can cover a task on the slot, or -1. May
// move an unclaimed cell to the slot.
int FindOrMoveCell(const CellHierarchy& hierarchy,
                   GuaranteeLedger& ledger,
                   const Job& job,
                   SlotIndex slot) {
  const std::vector<Cell>& cells = ledger.cells();
  const auto has_room = [&](int index) {
    const int segment = SegmentAt(cells[index], slot);
    return segment >= 0 && job.task_resources().FitsIn(
                               ledger.Unused(hierarchy, index, segment));
  };
  const std::vector<int>& own = ledger.cells_of(job.customer);
  for (const bool claimed : {true, false}) {
    for (const int index : own) {
      if (cells[index].claimed() == claimed && has_room(index))
        return index;
    }
  }
  for (const int index : own) {
    const Cell& cell = cells[index];
    if (cell.claimed() || !cell.placed())
      continue;
    for (int other = 0; other < static_cast<int>(cells.size()); ++other) {
      if (!cells[other].claimed() && cells[other].shape == cell.shape &&
          has_room(other)) {
        ledger.Swap(index, other);
        return index;
      }
    }
    if (cell.shape.level == CellLevel::kWorker &&
        ledger.Slack(hierarchy, slot) >= cell.shape.accelerators &&
        job.task_resources().FitsIn(
            ShareOf(hierarchy.slot(slot).capacity, cell.shape.accelerators))) {
      ledger.MoveTo(index, slot);
      return index;
    }
  }
  return -1;
}

}  // namespace

std::vector<Member> CommitCover(GuaranteeLedger& ledger,
                                const Job& job,
                                const CoverPlan& plan) {
  std::vector<int> taken;
  for (const CoverSource& source : plan.sources) {
    if (source.cell >= 0)
      taken.push_back(source.cell);
  }
  std::vector<int> cells;
  cells.reserve(plan.sources.size());
  for (const CoverSource& source : plan.sources)
    cells.push_back(ProvideCell(ledger, job.customer, source, taken));
  std::vector<Member> members;
  members.reserve(plan.tasks.size());
  for (const CoverPlan::Task& task : plan.tasks) {
    const int cell = cells[task.source];
    ledger.Cover(cell, task.segment, job.task_resources());
    members.push_back(
        {.slot = task.slot, .cell = cell, .segment = task.segment});
  }
  return members;
}

bool CoverInPlace(const CellHierarchy& hierarchy,
                  GuaranteeLedger& ledger,
                  Job& job) {
  if (job.specification.accelerators_per_task == 0)
    return false;
  std::vector<Member*> covered;
  for (Member& member : job.members) {
    if (!HoldsResources(member.state))
      continue;
    const int cell = FindOrMoveCell(hierarchy, ledger, job, member.slot);
    if (cell < 0) {
      for (Member* undone : covered) {
        ledger.Uncover(undone->cell, undone->segment, job.task_resources());
        undone->cell = undone->segment = -1;
      }
      return false;
    }
    member.cell = cell;
    member.segment = SegmentAt(ledger.cells()[cell], member.slot);
    ledger.Cover(member.cell, member.segment, job.task_resources());
    covered.push_back(&member);
  }
  return true;
}

bool CouldEverCover(const CellHierarchy& hierarchy,
                    const GuaranteeLedger& ledger,
                    const Job& job) {
  const Resources task = job.task_resources();
  if (task.accelerators == 0)
    return false;
  int total = 0;
  for (const int index : ledger.cells_of(job.customer)) {
    const Cell& cell = ledger.cells()[index];
    if (!cell.placed())
      total += cell.shape.accelerators / task.accelerators;
    for (const CellSegment& segment : cell.segments) {
      total +=
          CountFitting(task,
                       ShareOf(hierarchy.slot(segment.slot).cell_capacity(),
                               segment.accelerators),
                       job.specification.tasks);
    }
  }
  return total >= job.specification.tasks;
}

}  // namespace wigeonstair::placement
