#include "placement/guarantee_ledger.h"

#include <algorithm>
#include <utility>

#include "placement/cell_packing.h"

namespace wigeonstair::placement {

namespace {

enum class CapacitySource { kConfigured, kCurrent };

std::vector<PackingSlot> PackingSlots(const CellHierarchy& hierarchy,
                                      CapacitySource source) {
  std::vector<PackingSlot> slots;
  slots.reserve(hierarchy.slots().size());
  for (const Slot& slot : hierarchy.slots()) {
    const int accelerators = source == CapacitySource::kConfigured
                                 ? slot.configured_capacity.accelerators
                                 : slot.cell_capacity().accelerators;
    slots.push_back({.rack = slot.rack,
                     .accelerators = accelerators,
                     .unused = accelerators});
  }
  return slots;
}

std::vector<Cell> UnplacedCells(
    const base::DomainId& domain,
    const std::vector<cluster::CustomerConfiguration>& customers,
    const std::vector<PackingSlot>& slots) {
  std::vector<Cell> cells;
  for (int i = 0; i < static_cast<int>(customers.size()); ++i) {
    for (const cluster::Guarantee& guarantee : customers[i].guarantees) {
      if (guarantee.domain != domain)
        continue;
      const cluster::CellShape shape = NormalizeShape(guarantee.shape, slots);
      cells.insert(cells.end(), std::max(0, guarantee.count),
                   Cell{.customer = i,
                        .configured_shape = guarantee.shape,
                        .shape = shape,
                        .segments = {},
                        .tasks = 0});
    }
  }
  return cells;
}

// Gives each claimed cell of the old ledger the place of a new cell of the same
// customer and configured shape, including its slots and tasks. Returns for
// each old cell its new index, or -1.
std::vector<int> CarryOverClaimedCells(const std::vector<Cell>& old_cells,
                                       std::vector<Cell>& cells) {
  std::vector<int> positions(old_cells.size(), -1);
  for (std::size_t i = 0; i < old_cells.size(); ++i) {
    const Cell& old_cell = old_cells[i];
    if (!old_cell.claimed())
      continue;
    const auto match =
        std::find_if(cells.begin(), cells.end(), [&](const Cell& cell) {
          return !cell.placed() && cell.customer == old_cell.customer &&
                 cell.configured_shape == old_cell.configured_shape;
        });
    if (match == cells.end())
      continue;
    match->segments = old_cell.segments;
    match->tasks = old_cell.tasks;
    positions[i] = static_cast<int>(match - cells.begin());
  }
  return positions;
}

}  // namespace

std::vector<int> GuaranteeLedger::Rebuild(
    const CellHierarchy& hierarchy,
    const base::DomainId& domain,
    const std::vector<cluster::CustomerConfiguration>& customers) {
  const std::vector<Cell> old_cells = std::exchange(
      cells_,
      UnplacedCells(domain, customers,
                    PackingSlots(hierarchy, CapacitySource::kConfigured)));
  by_customer_.assign(customers.size(), {});
  for (int i = 0; i < static_cast<int>(cells_.size()); ++i)
    by_customer_[cells_[i].customer].push_back(i);
  const std::vector<Cell> unplaced_cells = cells_;
  std::vector<int> positions = CarryOverClaimedCells(old_cells, cells_);
  RecountAccelerators(hierarchy);
  if (PackUnplaced(hierarchy))
    return positions;
  cells_ = unplaced_cells;
  RecountAccelerators(hierarchy);
  PackUnplaced(hierarchy);
  positions.assign(old_cells.size(), -1);
  return positions;
}

void GuaranteeLedger::FitToCapacity(const CellHierarchy& hierarchy,
                                    SlotIndex slot) {
  RecountAccelerators(hierarchy);
  const int capacity = hierarchy.slot(slot).cell_capacity().accelerators;
  for (Cell& cell : cells_) {
    if (guaranteed_accelerators_[slot] <= capacity)
      break;
    const bool here = std::any_of(
        cell.segments.begin(), cell.segments.end(),
        [&](const CellSegment& segment) { return segment.slot == slot; });
    if (!here || cell.claimed())
      continue;
    cell.segments.clear();
    RecountAccelerators(hierarchy);
  }
  PackUnplaced(hierarchy);
}

bool GuaranteeLedger::PackUnplaced(const CellHierarchy& hierarchy) {
  std::vector<PackingSlot> slots =
      PackingSlots(hierarchy, CapacitySource::kCurrent);
  for (SlotIndex i = 0; i < static_cast<int>(slots.size()); ++i)
    slots[i].unused =
        std::max(0, slots[i].unused - guaranteed_accelerators_[i]);
  std::vector<int> order;
  for (int i = 0; i < static_cast<int>(cells_.size()); ++i) {
    if (!cells_[i].placed())
      order.push_back(i);
  }
  std::stable_sort(order.begin(), order.end(), [&](int left, int right) {
    return PacksBefore(cells_[left].shape, cells_[right].shape);
  });
  bool complete = true;
  for (const int index : order) {
    Cell& cell = cells_[index];
    for (const CellPart& part : PackCell(cell.shape, slots)) {
      cell.segments.push_back(
          {.slot = part.slot, .accelerators = part.accelerators, .used = {}});
      guaranteed_accelerators_[part.slot] += part.accelerators;
    }
    complete = complete && cell.placed();
  }
  return complete;
}

void GuaranteeLedger::RecountAccelerators(const CellHierarchy& hierarchy) {
  all_slots_changed_ = true;
  guaranteed_accelerators_.assign(hierarchy.slots().size(), 0);
  for (const Cell& cell : cells_) {
    for (const CellSegment& segment : cell.segments)
      guaranteed_accelerators_[segment.slot] += segment.accelerators;
  }
}

void GuaranteeLedger::Cover(int cell, int segment, const Resources& resources) {
  cells_[cell].segments[segment].used += resources;
  ++cells_[cell].tasks;
}

void GuaranteeLedger::Uncover(int cell,
                              int segment,
                              const Resources& resources) {
  cells_[cell].segments[segment].used -= resources;
  --cells_[cell].tasks;
}

void GuaranteeLedger::Swap(int left, int right) {
  std::swap(cells_[left].segments, cells_[right].segments);
}

void GuaranteeLedger::MoveTo(int cell, SlotIndex slot) {
  CellSegment& segment = cells_[cell].segments.front();
  changed_slots_.insert(changed_slots_.end(), {segment.slot, slot});
  guaranteed_accelerators_[segment.slot] -= segment.accelerators;
  segment.slot = slot;
  guaranteed_accelerators_[slot] += segment.accelerators;
}

const std::vector<int>& GuaranteeLedger::cells_of(int customer) const {
  static const std::vector<int> kNone;
  return customer >= 0 && customer < static_cast<int>(by_customer_.size())
             ? by_customer_[customer]
             : kNone;
}

int GuaranteeLedger::guaranteed_accelerators(SlotIndex slot) const {
  return slot < static_cast<int>(guaranteed_accelerators_.size())
             ? guaranteed_accelerators_[slot]
             : 0;
}

int GuaranteeLedger::Slack(const CellHierarchy& hierarchy,
                           SlotIndex slot) const {
  return std::max(0, hierarchy.slot(slot).capacity.accelerators -
                         guaranteed_accelerators(slot));
}

Resources GuaranteeLedger::Unused(const CellHierarchy& hierarchy,
                                  int cell,
                                  int segment) const {
  const CellSegment& part = cells_[cell].segments[segment];
  return ShareOf(hierarchy.slot(part.slot).cell_capacity(), part.accelerators) -
         part.used;
}

}  // namespace wigeonstair::placement
