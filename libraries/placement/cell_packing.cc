#include "placement/cell_packing.h"

#include <algorithm>
#include <map>

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;
using cluster::CellShape;

// Cells with a lower rank are packed first.
int PackingRank(const CellShape& shape) {
  switch (shape.level) {
    case CellLevel::kRack:
      return 0;
    case CellLevel::kDomain:
      return 1;
    case CellLevel::kWorker:
    case CellLevel::kAccelerator:
      return 2;
  }
  return 2;
}

// Packs into the worker that is left with the fewest unused accelerators (best
// fit).
std::vector<CellPart> PackIntoWorker(int accelerators,
                                     std::vector<PackingSlot>& slots) {
  PackingSlot* best = nullptr;
  for (PackingSlot& slot : slots) {
    if (slot.unused >= accelerators && (!best || slot.unused < best->unused))
      best = &slot;
  }
  if (!best)
    return {};
  best->unused -= accelerators;
  return {{.slot = static_cast<int>(best - slots.data()),
           .accelerators = accelerators}};
}

// Takes whole workers from `candidates` until they have enough accelerators.
// Returns no parts if all candidates together have too few.
std::vector<CellPart> TakeWholeWorkers(int accelerators,
                                       const std::vector<SlotIndex>& candidates,
                                       std::vector<PackingSlot>& slots) {
  std::vector<CellPart> parts;
  for (const SlotIndex index : candidates) {
    if (accelerators <= 0)
      break;
    parts.push_back({.slot = index, .accelerators = slots[index].unused});
    accelerators -= slots[index].unused;
  }
  if (accelerators > 0)
    return {};
  for (const CellPart& part : parts)
    slots[part.slot].unused = 0;
  return parts;
}

bool IsWhole(const PackingSlot& slot) {
  return slot.accelerators > 0 && slot.unused == slot.accelerators;
}

std::vector<CellPart> PackIntoRack(int accelerators,
                                   std::vector<PackingSlot>& slots) {
  std::map<int, std::vector<SlotIndex>> whole_by_rack;
  for (SlotIndex i = 0; i < static_cast<int>(slots.size()); ++i) {
    if (IsWhole(slots[i]))
      whole_by_rack[slots[i].rack].push_back(i);
  }
  const std::vector<SlotIndex>* best = nullptr;
  int best_total = 0;
  for (const auto& [rack, whole] : whole_by_rack) {
    int total = 0;
    for (const SlotIndex index : whole)
      total += slots[index].accelerators;
    if (total >= accelerators && (!best || total < best_total)) {
      best = &whole;
      best_total = total;
    }
  }
  return best ? TakeWholeWorkers(accelerators, *best, slots)
              : std::vector<CellPart>();
}

std::vector<CellPart> PackIntoDomain(int accelerators,
                                     std::vector<PackingSlot>& slots) {
  std::vector<SlotIndex> whole;
  for (SlotIndex i = 0; i < static_cast<int>(slots.size()); ++i) {
    if (IsWhole(slots[i]))
      whole.push_back(i);
  }
  return TakeWholeWorkers(accelerators, whole, slots);
}

}  // namespace

CellShape NormalizeShape(const CellShape& shape,
                         const std::vector<PackingSlot>& slots) {
  int largest = 0;
  for (const PackingSlot& slot : slots)
    largest = std::max(largest, slot.accelerators);
  const bool inside_worker =
      shape.level <= CellLevel::kWorker || shape.accelerators <= largest;
  return {.level = inside_worker ? CellLevel::kWorker : shape.level,
          .accelerators = shape.accelerators};
}

bool PacksBefore(const CellShape& left, const CellShape& right) {
  if (PackingRank(left) != PackingRank(right))
    return PackingRank(left) < PackingRank(right);
  return left.accelerators > right.accelerators;
}

std::vector<CellPart> PackCell(const CellShape& shape,
                               std::vector<PackingSlot>& slots) {
  if (shape.level == CellLevel::kRack)
    return PackIntoRack(shape.accelerators, slots);
  if (shape.level == CellLevel::kDomain)
    return PackIntoDomain(shape.accelerators, slots);
  return PackIntoWorker(shape.accelerators, slots);
}

}  // namespace wigeonstair::placement
