#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_CELL_PACKING_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_CELL_PACKING_H_

#include <vector>

#include "cluster/configuration.h"
#include "placement/cell_hierarchy.h"

namespace wigeonstair::placement {

// A worker that cells can be packed into.
struct PackingSlot {
  int rack = -1;
  // All accelerators of the worker, and those that no cell uses yet.
  int accelerators = 0;
  int unused = 0;
};

// The part of a cell on one worker.
struct CellPart {
  SlotIndex slot = kNoSlot;
  int accelerators = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const CellPart&) const = default;
};

// Returns the shape that a cell is packed as. Every cell that fits into the
// largest worker gets level kWorker, also cells of level kRack or kDomain. For
// these this is stricter than configured, but makes them interchangeable with
// worker cells.
cluster::CellShape NormalizeShape(const cluster::CellShape& shape,
                                  const std::vector<PackingSlot>& slots);

// Returns whether `left` is packed before `right`: first rack cells and then
// domain cells, which take whole workers, then cells inside one worker; within
// each group largest first.
bool PacksBefore(const cluster::CellShape& left,
                 const cluster::CellShape& right);

// Places one cell of a normalized shape, subtracts it from `slots` and returns
// its parts. Returns no parts if the cell does not fit.
std::vector<CellPart> PackCell(const cluster::CellShape& shape,
                               std::vector<PackingSlot>& slots);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_CELL_PACKING_H_
