#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_LEDGER_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_LEDGER_H_

#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"
#include "placement/cell_hierarchy.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

// The part of a cell on one slot. Its share of the worker's cores and memory is
// in proportion to its accelerators.
struct CellSegment {
  SlotIndex slot = kNoSlot;
  int accelerators = 0;
  // By tasks that the cell covers.
  Resources used = {};
};

// A guaranteed cell of one customer. A cell without tasks is unclaimed and may
// change places; one with tasks is claimed and stays where it is.
struct Cell {
  int customer = -1;
  cluster::CellShape configured_shape = {};
  cluster::CellShape shape = {};  // Normalized.
  std::vector<CellSegment> segments = {};
  int tasks = 0;

  bool claimed() const { return tasks > 0; }
  bool placed() const { return !segments.empty(); }
};

// Knows a place for every guaranteed cell, claimed or not, such that no slot
// holds more than its worker has. This packing is the proof that unclaimed
// guarantees can be had by stopping borrowed tasks only, so a claim never
// searches for one.
class GuaranteeLedger {
 public:
  // Packs the cells of `customers` in the domain. Claimed cells that are still
  // promised keep their places if the others fit beside them. Returns for each
  // old cell its new position, or -1 when its tasks are not covered any more.
  std::vector<int> Rebuild(
      const CellHierarchy& hierarchy,
      const base::DomainId& domain,
      const std::vector<cluster::CustomerConfiguration>& customers);

  // Removes unclaimed cells from a slot that has less room than they need, and
  // then finds new places for cells without one.
  void FitToCapacity(const CellHierarchy& hierarchy, SlotIndex slot);

  void Cover(int cell, int segment, const Resources& resources);
  void Uncover(int cell, int segment, const Resources& resources);

  // Exchanges the places of two unclaimed cells of one shape.
  void Swap(int left, int right);
  // Moves an unclaimed cell of one segment to a slot with enough slack.
  void MoveTo(int cell, SlotIndex slot);

  const std::vector<Cell>& cells() const { return cells_; }
  // Positions of a customer's cells.
  const std::vector<int>& cells_of(int customer) const;
  // Accelerators of all cells on the slot.
  int guaranteed_accelerators(SlotIndex slot) const;
  // Accelerators of the live worker that no cell uses; 0 without a worker.
  int Slack(const CellHierarchy& hierarchy, SlotIndex slot) const;
  // True when the promises of any slot may have changed since the last call.
  bool TakeAllSlotsChanged() {
    return std::exchange(all_slots_changed_, false);
  }
  // Slots of which MoveTo() changed the promises since the last call.
  std::vector<SlotIndex> TakeChangedSlots() {
    return std::exchange(changed_slots_, {});
  }
  // What the tasks of one customer may still use of a segment.
  Resources Unused(const CellHierarchy& hierarchy, int cell, int segment) const;

 private:
  bool PackUnplaced(const CellHierarchy& hierarchy);
  void Recount(const CellHierarchy& hierarchy);

  std::vector<Cell> cells_;
  std::vector<std::vector<int>> by_customer_;
  std::vector<int> guaranteed_accelerators_;
  bool all_slots_changed_ = true;
  std::vector<SlotIndex> changed_slots_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_LEDGER_H_
