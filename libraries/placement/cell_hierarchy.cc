#include "placement/cell_hierarchy.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace wigeonstair::placement {

namespace {

// A measurement that is followed by more changes than this is dropped, because
// it says nothing about the current tasks.
constexpr int kMaximumChangesSinceMeasurement = 256;

AcceleratorMask AllAccelerators(int count) {
  return count >= kMaximumAcceleratorsPerWorker
             ? ~AcceleratorMask{0}
             : (AcceleratorMask{1} << count) - 1;
}

// Returns the `count` lowest bits that are set in `free`.
AcceleratorMask LowestBits(AcceleratorMask free, int count) {
  AcceleratorMask chosen = 0;
  for (int i = 0; i < count && free != 0; ++i) {
    const AcceleratorMask bit = free & (~free + 1);
    chosen |= bit;
    free &= ~bit;
  }
  return chosen;
}

}  // namespace

std::vector<int> AcceleratorList(AcceleratorMask mask) {
  std::vector<int> list;
  list.reserve(std::popcount(mask));
  for (; mask != 0; mask &= mask - 1)
    list.push_back(std::countr_zero(mask));
  return list;
}

AcceleratorMask MaskOf(const std::vector<int>& accelerators) {
  AcceleratorMask mask = 0;
  for (const int index : accelerators) {
    if (index >= 0 && index < kMaximumAcceleratorsPerWorker)
      mask |= AcceleratorMask{1} << index;
  }
  return mask;
}

int CellHierarchy::RackIndex(const base::RackId& id) {
  for (int i = 0; i < static_cast<int>(racks_.size()); ++i) {
    if (racks_[i].id == id)
      return i;
  }
  racks_.push_back({.id = id, .slots = {}});
  return static_cast<int>(racks_.size()) - 1;
}

void CellHierarchy::AdjustWorkerCount(const Slot& slot, int change) {
  const Resources empty{
      .accelerators = std::max(slot.configured_capacity.accelerators,
                               slot.capacity.accelerators),
      .cores = std::max(slot.configured_capacity.cores, slot.capacity.cores),
      .memory_megabytes = std::max(slot.configured_capacity.memory_megabytes,
                                   slot.capacity.memory_megabytes)};
  const auto entry =
      workers_by_capacity_.try_emplace({slot.rack, empty}, 0).first;
  entry->second += change;
  if (entry->second == 0)
    workers_by_capacity_.erase(entry);
}

void CellHierarchy::MarkChanged(SlotIndex slot) {
  if (slot >= static_cast<int>(is_changed_.size()))
    is_changed_.resize(slots_.size());
  if (is_changed_[slot])
    return;
  is_changed_[slot] = true;
  changed_.push_back(slot);
}

std::vector<SlotIndex> CellHierarchy::TakeChanged() {
  for (const SlotIndex slot : changed_)
    is_changed_[slot] = false;
  all_changed_ = false;
  return std::exchange(changed_, {});
}

void CellHierarchy::Configure(const cluster::DomainConfiguration& domain) {
  all_changed_ = true;
  for (Slot& slot : slots_)
    slot.configured_capacity = {};
  for (const cluster::RackConfiguration& rack : domain.racks) {
    const int index = RackIndex(rack.id);
    const auto wanted = static_cast<std::size_t>(rack.workers);
    while (racks_[index].slots.size() < wanted) {
      racks_[index].slots.push_back(static_cast<int>(slots_.size()));
      slots_.emplace_back().rack = index;
    }
    for (std::size_t i = 0; i < wanted; ++i) {
      slots_[racks_[index].slots[i]].configured_capacity = {
          .accelerators = rack.accelerators_per_worker,
          .cores = rack.cores_per_worker,
          .memory_megabytes = rack.memory_megabytes_per_worker};
    }
  }
  workers_by_capacity_.clear();
  for (const Slot& slot : slots_)
    AdjustWorkerCount(slot, 1);
}

SlotIndex CellHierarchy::Attach(const base::WorkerId& worker,
                                const base::RackId& rack,
                                const Resources& capacity) {
  const int rack_index = RackIndex(rack);
  SlotIndex chosen = kNoSlot;
  for (const SlotIndex candidate : racks_[rack_index].slots) {
    const Slot& slot = slots_[candidate];
    if (!slot.live() && slot.configured_capacity.accelerators > 0) {
      chosen = candidate;
      break;
    }
    if (!slot.live() && chosen == kNoSlot)
      chosen = candidate;
  }
  if (chosen == kNoSlot) {
    chosen = static_cast<int>(slots_.size());
    racks_[rack_index].slots.push_back(chosen);
    slots_.emplace_back().rack = rack_index;
    AdjustWorkerCount(slots_.back(), 1);
  }
  Slot& slot = this->slot(chosen);
  AdjustWorkerCount(slot, -1);
  slot.worker = worker;
  slot.capacity = capacity;
  AdjustWorkerCount(slot, 1);
  slot.free_accelerators = AllAccelerators(capacity.accelerators);
  slot.health = SlotHealth{.state = WorkerHealthState::kHealthy};
  by_worker_[worker] = chosen;
  return chosen;
}

void CellHierarchy::Detach(SlotIndex index) {
  Slot& slot = this->slot(index);
  by_worker_.erase(slot.worker);
  AdjustWorkerCount(slot, -1);
  slot.worker = base::WorkerId();
  slot.capacity = {};
  AdjustWorkerCount(slot, 1);
  slot.granted = {};
  slot.free_accelerators = 0;
  slot.orphans.clear();
  slot.measured = {};
  slot.changes.clear();
  slot.throttled = false;
  slot.health.state = WorkerHealthState::kLost;
}

SlotIndex CellHierarchy::Find(const base::WorkerId& worker) const {
  const auto found = by_worker_.find(worker);
  return found == by_worker_.end() ? kNoSlot : found->second;
}

Resources CellHierarchy::Ungranted(SlotIndex index) const {
  return slots_[index].capacity - slots_[index].granted;
}

Resources CellHierarchy::Free(SlotIndex index) const {
  const Slot& slot = slots_[index];
  Resources used = slot.granted;
  if (slot.measured.cores > 0 || slot.measured.memory_megabytes > 0) {
    Resources now_used = slot.measured;
    for (const auto& change : slot.changes)
      now_used += change.second;
    used.cores = std::max(used.cores, now_used.cores);
    used.memory_megabytes =
        std::max(used.memory_megabytes, now_used.memory_megabytes);
  }
  return slot.capacity - used - slot.earmarked;
}

void CellHierarchy::RecordChange(Slot& slot,
                                 const Resources& change,
                                 base::Instant now) {
  slot.changes.emplace_back(now, change);
  if (slot.changes.size() > kMaximumChangesSinceMeasurement) {
    slot.changes.clear();
    slot.measured = {};
  }
}

AcceleratorMask CellHierarchy::Hold(SlotIndex index,
                                    const Resources& resources,
                                    TaskReference task,
                                    base::Instant now) {
  Slot& slot = this->slot(index);
  const AcceleratorMask chosen =
      LowestBits(slot.free_accelerators, resources.accelerators);
  HoldExactly(index, resources, chosen, task);
  RecordChange(slot, resources, now);
  return chosen;
}

void CellHierarchy::HoldExactly(SlotIndex index,
                                const Resources& resources,
                                AcceleratorMask accelerators,
                                TaskReference task) {
  Slot& slot = this->slot(index);
  slot.granted += resources;
  slot.free_accelerators &= ~accelerators;
  slot.tasks.push_back(task);
}

void CellHierarchy::Release(SlotIndex index,
                            const Resources& resources,
                            AcceleratorMask accelerators,
                            TaskReference task,
                            base::Instant now) {
  Slot& slot = this->slot(index);
  slot.granted -= resources;
  slot.free_accelerators |= accelerators;
  const auto found = std::find_if(
      slot.tasks.begin(), slot.tasks.end(), [&](const TaskReference& held) {
        return held.job == task.job && held.member == task.member;
      });
  if (found != slot.tasks.end()) {
    *found = slot.tasks.back();
    slot.tasks.pop_back();
  }
  RecordChange(slot, Resources{} - resources, now);
}

void CellHierarchy::AddOrphan(SlotIndex index, Orphan orphan) {
  Slot& slot = this->slot(index);
  orphan.accelerators &= slot.free_accelerators;
  orphan.resources.accelerators = std::popcount(orphan.accelerators);
  slot.free_accelerators &= ~orphan.accelerators;
  slot.granted += orphan.resources;
  slot.orphans.push_back(std::move(orphan));
}

bool CellHierarchy::RemoveOrphan(SlotIndex index, const TaskKey& key) {
  Slot& slot = this->slot(index);
  const auto found = std::find_if(
      slot.orphans.begin(), slot.orphans.end(),
      [&](const Orphan& orphan) { return orphan.task.key == key; });
  if (found == slot.orphans.end())
    return false;
  slot.granted -= found->resources;
  slot.free_accelerators |= found->accelerators;
  slot.orphans.erase(found);
  return true;
}

void CellHierarchy::Measure(SlotIndex index,
                            const Resources& measured,
                            base::Instant measured_at) {
  Slot& slot = this->slot(index);
  slot.measured = measured;
  slot.measured_at = measured_at;
  while (!slot.changes.empty() && slot.changes.front().first <= measured_at)
    slot.changes.pop_front();
}

void CellHierarchy::MarkHeldAsFree(SlotIndex index,
                                   AcceleratorMask accelerators) {
  Slot& slot = this->slot(index);
  slot.free_accelerators |= accelerators;
  slot.granted.accelerators -= std::popcount(accelerators);
}

}  // namespace wigeonstair::placement
