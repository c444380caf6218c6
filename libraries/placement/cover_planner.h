#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_COVER_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_COVER_PLANNER_H_

#include <optional>
#include <vector>

#include "placement/cell_hierarchy.h"
#include "placement/guarantee_ledger.h"
#include "placement/job_record.h"

namespace wigeonstair::placement {

// Part of a cover: a cell of the customer, or a location that an unclaimed cell
// of the customer could be moved to.
struct CoverSource {
  // The cell that is there now, possibly of another customer; -1 if the
  // location is slack on `slack_slot`.
  int cell = -1;
  SlotIndex slack_slot = kNoSlot;
  cluster::CellShape cell_shape = {};
  // Index of the shape among the shapes of the customer's unclaimed cells; -1
  // for a cell that the customer has already claimed.
  int shape = -1;
  // The slot, rack or domain that must contain the whole gang, depending on the
  // adjacency.
  int scope = 0;
  // Range in CoverSearch::parts_.
  int first_part = 0;
  int part_count = 0;
  // Tasks of the job that fit.
  int tasks = 0;
  // Accelerators that other tasks would have to give up.
  int cost = 0;
};

// An assignment of all tasks of a gang to cells.
struct CoverPlan {
  struct Task {
    SlotIndex slot = kNoSlot;
    int source = 0;  // Position in `sources`.
    int segment = 0;
  };
  std::vector<CoverSource> sources = {};
  std::vector<Task> tasks = {};
  // Resources of all tasks, per slot.
  std::vector<Claim> demand = {};
  // Accelerators of newly claimed cells that the gang does not use. Minimizing
  // them keeps larger cells unclaimed for jobs that need them.
  int wasted_accelerators = 0;
  // Accelerators that must be reclaimed from borrowed tasks.
  int missing_accelerators = 0;
  // True if some of the accelerators, cores or memory are not free, so that
  // borrowed tasks must be preempted first.
  bool needs_reclaim = false;
};

// Finds cells of the job's customer that cover the whole gang with the given
// adjacency. Prefers cells that fit closely, then locations that are free.
// Returns nothing if there are none.
std::optional<CoverPlan> PlanCover(const CellHierarchy& hierarchy,
                                   const GuaranteeLedger& ledger,
                                   const Job& job,
                                   cluster::CellLevel adjacency,
                                   base::Instant now);

// Claims the cells of the plan, moving unclaimed cells to the planned
// locations, and returns one member per task.
std::vector<Member> CommitCover(GuaranteeLedger& ledger,
                                const Job& job,
                                const CoverPlan& plan);

// Tries to cover all members of a running gang on their current slots. Returns
// false and covers none of them if that is not possible.
bool CoverInPlace(const CellHierarchy& hierarchy,
                  GuaranteeLedger& ledger,
                  Job& job);

// Returns false if the cells of the customer can never cover the job, not even
// when all of them are unclaimed. Does not check the adjacency.
bool CouldEverCover(const CellHierarchy& hierarchy,
                    const GuaranteeLedger& ledger,
                    const Job& job);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_COVER_PLANNER_H_
