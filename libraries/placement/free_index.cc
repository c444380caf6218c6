#include "placement/free_index.h"

#include <algorithm>

namespace wigeonstair::placement {

void FreeIndex::Refresh(CellHierarchy& hierarchy, GuaranteeLedger& ledger) {
  const CellHierarchy& slots = hierarchy;
  if (ledger.TakeAllSlotsChanged() || hierarchy.AllChanged()) {
    hierarchy.TakeChanged();
    for (SlotIndex i = 0; i < static_cast<int>(slots.slots().size()); ++i)
      Update(slots, ledger, i);
    return;
  }
  for (const SlotIndex slot : hierarchy.TakeChanged())
    Update(slots, ledger, slot);
  for (const SlotIndex slot : ledger.TakeChangedSlots())
    Update(slots, ledger, slot);
}

void FreeIndex::Update(const CellHierarchy& hierarchy,
                       const GuaranteeLedger& ledger,
                       SlotIndex index) {
  if (index >= static_cast<int>(entries_.size()))
    entries_.resize(hierarchy.slots().size());
  Entry& entry = entries_[index];
  const Slot& slot = hierarchy.slot(index);
  Entry updated;
  if (slot.usable()) {
    const Resources free = hierarchy.Free(index);
    updated = {.indexed = Resources{}.FitsIn(free),
               .group = {.failures = ScoredFailures(slot),
                         .accelerators = free.accelerators,
                         .slack = ledger.Slack(hierarchy, index),
                         .share_cores =
                             ShareOf(slot.capacity, free.accelerators).cores},
               .free = free};
  }
  if (entry.indexed == updated.indexed && entry.group == updated.group &&
      entry.free == updated.free)
    return;
  if (entry.indexed) {
    const auto group = groups_.find(entry.group);
    group->second.erase({entry.free.cores, index});
    if (group->second.empty())
      groups_.erase(group);
    free_accelerators_ -= entry.free.accelerators;
  }
  if (updated.indexed) {
    groups_[updated.group].emplace(updated.free.cores, index);
    free_accelerators_ += updated.free.accelerators;
  }
  entry = updated;
}

bool FreeIndex::Passes(const Resources& task,
                       SlotIndex slot,
                       const Filter& filter) const {
  return task.FitsIn(entries_[slot].free) && filter(slot, entries_[slot].free);
}

void FreeIndex::Consider(const Resources& task,
                         SlotIndex slot,
                         std::optional<ScoredSlot>& best) const {
  const Entry& entry = entries_[slot];
  const ScoredSlot found{
      BorrowScore(task, 1, entry.free, entry.group.share_cores,
                  entry.group.slack, entry.group.failures),
      slot};
  if (!best || found < *best)
    best = found;
}

bool FreeIndex::FindUpwards(const Resources& task,
                            const Members& members,
                            int cores,
                            const Filter& filter,
                            std::optional<ScoredSlot>& best) const {
  for (auto member = members.lower_bound({cores, kNoSlot});
       member != members.end(); ++member) {
    if (Passes(task, member->second, filter)) {
      Consider(task, member->second, best);
      return true;
    }
  }
  return false;
}

void FreeIndex::FindDownwards(const Resources& task,
                              const Members& members,
                              int below,
                              const Filter& filter,
                              std::optional<ScoredSlot>& best) const {
  auto end = members.lower_bound({below, kNoSlot});
  while (end != members.begin()) {
    const int cores = std::prev(end)->first;
    if (cores < task.cores)
      return;
    const auto first = members.lower_bound({cores, kNoSlot});
    for (auto member = first; member != end; ++member) {
      if (Passes(task, member->second, filter)) {
        Consider(task, member->second, best);
        return;
      }
    }
    end = first;
  }
}

std::optional<SlotIndex> FreeIndex::FindBest(const Resources& task,
                                             const Filter& filter) const {
  std::optional<ScoredSlot> best;
  for (const auto& [group, members] : groups_) {
    if (group.accelerators < task.accelerators)
      continue;
    // For tasks without accelerators, workers are preferred that keep enough
    // cores for their free accelerators.
    const int cores =
        task.accelerators == 0 ? task.cores + group.share_cores : task.cores;
    if (!FindUpwards(task, members, cores, filter, best) && cores > task.cores)
      FindDownwards(task, members, cores, filter, best);
  }
  return best ? std::optional(best->second) : std::nullopt;
}

std::vector<SlotIndex> FreeIndex::FindOthers(const Resources& task,
                                             SlotIndex chosen,
                                             std::size_t limit) const {
  std::vector<SlotIndex> others;
  for (const auto& [group, members] : groups_) {
    if (group.accelerators < task.accelerators)
      continue;
    for (auto member = members.lower_bound({task.cores, kNoSlot});
         member != members.end() && others.size() < limit; ++member) {
      if (member->second != chosen &&
          task.FitsIn(entries_[member->second].free))
        others.push_back(member->second);
    }
  }
  return others;
}

int FreeIndex::TaskUpperBound(const Resources& task, int limit) const {
  std::int64_t tasks = 0;
  for (const auto& [group, members] : groups_) {
    const int each =
        task.accelerators > 0 ? group.accelerators / task.accelerators : limit;
    tasks += static_cast<std::int64_t>(each) *
             static_cast<std::int64_t>(members.size());
  }
  return static_cast<int>(std::min<std::int64_t>(tasks, limit));
}

std::int64_t BorrowScore(const Resources& task,
                         int tasks,
                         const Resources& free,
                         int share_cores,
                         int slack,
                         int failures) {
  const Resources left = free - task * tasks;
  if (task.accelerators == 0) {
    const int shortage = std::max(0, share_cores - left.cores);
    return (static_cast<std::int64_t>(shortage) << 40) +
           (static_cast<std::int64_t>(left.accelerators) << 32) + left.cores;
  }
  const int overlap = std::max(0, task.accelerators - slack);
  // Recent failures make a worker the last choice.
  return (static_cast<std::int64_t>(failures) << 56) +
         (static_cast<std::int64_t>(left.accelerators) << 40) +
         (static_cast<std::int64_t>(overlap) << 32) + left.cores;
}

int ScoredFailures(const Slot& slot) {
  return std::min(slot.health.consecutive_failures, 15);
}

}  // namespace wigeonstair::placement
