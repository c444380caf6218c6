#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_COVER_PLANNER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_COVER_PLANNER_H_

#include <optional>
#include <vector>

#include "placement/cell_hierarchy.h"
#include "placement/guarantee_ledger.h"
#include "placement/job_record.h"

namespace wigeonstair::placement {

// A place where a cell of the customer is or could be.
struct CoverSource {
  // The cell that is there now; -1 when the place is slack.
  int cell = -1;
  SlotIndex slack_slot = kNoSlot;
  cluster::CellShape cell_shape = {};
  // Position of the shape among the customer's unclaimed shapes; -1 for a cell
  // that the customer has already claimed.
  int shape = -1;
  int scope = 0;
  // Range in CoverSearch's list of parts.
  int first_part = 0;
  int part_count = 0;
  int tasks = 0;
  // Accelerators of other tasks in the way.
  int cost = 0;
};

// Cells for all tasks of a gang.
struct CoverPlan {
  struct Task {
    SlotIndex slot = kNoSlot;
    int source = 0;  // Position in `sources`.
    int segment = 0;
  };
  std::vector<CoverSource> sources = {};
  std::vector<Task> tasks = {};
  // Sum per slot.
  std::vector<Claim> demand = {};
  // Accelerators of newly claimed cells that the gang does not use. Keeping
  // them few leaves the larger cells for the jobs that need them.
  int wasted_accelerators = 0;
  // Accelerators that borrowed tasks must give up.
  int missing_accelerators = 0;
  // True when some amount, maybe of cores or memory, is not free now.
  bool needs_reclaim = false;
};

// Finds cells of the job's customer that cover the whole gang with the given
// adjacency, preferring cells that fit closely and then places that are free.
// Empty when there are none.
std::optional<CoverPlan> PlanCover(const CellHierarchy& hierarchy,
                                   const GuaranteeLedger& ledger,
                                   const Job& job,
                                   cluster::CellLevel adjacency,
                                   base::Instant now);

// Claims the cells of the plan, changing places of unclaimed cells where the
// plan says so, and returns one member for each task.
std::vector<Member> CommitCover(GuaranteeLedger& ledger,
                                const Job& job,
                                const CoverPlan& plan);

// Tries to cover the members of a gang where they are. Either all members are
// covered and true is returned, or none.
bool CoverInPlace(const CellHierarchy& hierarchy,
                  GuaranteeLedger& ledger,
                  Job& job);

// False when no state of the ledger lets the customer's cells cover the job.
bool CouldEverCover(const CellHierarchy& hierarchy,
                    const GuaranteeLedger& ledger,
                    const Job& job);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_COVER_PLANNER_H_
