#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_LEDGER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_LEDGER_H_

#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"
#include "placement/cell_hierarchy.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

// The part of a cell on one slot. It includes a share of the worker's cores and
// memory in proportion to its accelerators.
struct CellSegment {
  SlotIndex slot = kNoSlot;
  int accelerators = 0;
  // Resources of the covered tasks.
  Resources used = {};
};

// A guaranteed cell of one customer. A cell without tasks is unclaimed and may
// be moved; a cell with tasks is claimed and stays on its slots.
struct Cell {
  int customer = -1;
  cluster::CellShape configured_shape = {};
  cluster::CellShape shape = {};  // See NormalizeShape().
  std::vector<CellSegment> segments = {};
  int tasks = 0;

  bool claimed() const { return tasks > 0; }
  bool placed() const { return !segments.empty(); }
};

// Assigns every guaranteed cell, claimed or not, to slots without exceeding the
// capacity of any worker. This packing ensures that unclaimed guarantees can be
// provided by stopping borrowed tasks only, so that a claim never needs to
// search for a feasible packing.
class GuaranteeLedger {
 public:
  // Packs the cells that `customers` have in the domain. Claimed cells that are
  // still guaranteed keep their slots if all other cells fit beside them.
  // Returns for each old cell its new index, or -1 if its tasks are no longer
  // covered.
  std::vector<int> Rebuild(
      const CellHierarchy& hierarchy,
      const base::DomainId& domain,
      const std::vector<cluster::CustomerConfiguration>& customers);

  // Removes unclaimed cells from a slot whose capacity is too small for its
  // cells, and then packs all cells that have no slots.
  void FitToCapacity(const CellHierarchy& hierarchy, SlotIndex slot);

  // Adds a task to a cell, or removes it.
  void Cover(int cell, int segment, const Resources& resources);
  void Uncover(int cell, int segment, const Resources& resources);

  // Exchanges the slots of two unclaimed cells of the same shape.
  void Swap(int left, int right);
  // Moves an unclaimed cell of one segment to a slot with enough slack.
  void MoveTo(int cell, SlotIndex slot);

  const std::vector<Cell>& cells() const { return cells_; }
  // Indexes of a customer's cells.
  const std::vector<int>& cells_of(int customer) const;
  // Accelerators of all cells that are packed on the slot.
  int guaranteed_accelerators(SlotIndex slot) const;
  // Accelerators of the live worker that no cell is packed on; 0 without a
  // worker.
  int Slack(const CellHierarchy& hierarchy, SlotIndex slot) const;
  // Returns true if guaranteed_accelerators() of any slot may have changed
  // since the last call.
  bool TakeAllSlotsChanged() {
    return std::exchange(all_slots_changed_, false);
  }
  // Returns the slots whose guaranteed_accelerators() MoveTo() changed since
  // the last call.
  std::vector<SlotIndex> TakeChangedSlots() {
    return std::exchange(changed_slots_, {});
  }
  // Resources of a segment that no covered task uses.
  Resources Unused(const CellHierarchy& hierarchy, int cell, int segment) const;

 private:
  // Returns false if some cell does not fit.
  bool PackUnplaced(const CellHierarchy& hierarchy);
  void RecountAccelerators(const CellHierarchy& hierarchy);

  std::vector<Cell> cells_;
  std::vector<std::vector<int>> by_customer_;
  std::vector<int> guaranteed_accelerators_;
  bool all_slots_changed_ = true;
  std::vector<SlotIndex> changed_slots_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_LEDGER_H_
