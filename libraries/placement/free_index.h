#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_FREE_INDEX_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_FREE_INDEX_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "placement/cell_hierarchy.h"
#include "placement/guarantee_ledger.h"
#include "placement/resources.h"

namespace wigeonstair::placement {

// Usable workers by what is free on them, so that the best fit for one task
// costs a search in each group of equal workers and not a look at every worker.
class FreeIndex {
 public:
  // Called with a slot and its free resources; returns whether it may be used.
  using Filter = std::function<bool(SlotIndex, const Resources&)>;

  // Takes over the slots that changed since the last call.
  void Refresh(CellHierarchy& hierarchy, GuaranteeLedger& ledger);

  // The best fit for one task, with the scores of BorrowScore(). Empty when no
  // worker passes.
  std::optional<SlotIndex> FindBest(const Resources& task,
                                    const Filter& filter) const;

  // Up to `limit` workers other than `chosen` on which the task fits.
  std::vector<SlotIndex> FindOthers(const Resources& task,
                                    SlotIndex chosen,
                                    std::size_t limit) const;

  // No fewer tasks than fit by accelerators alone, at most `limit`.
  int TaskUpperBound(const Resources& task, int limit) const;
  int free_accelerators() const { return free_accelerators_; }

 private:
  // What decides the score beside the free cores.
  struct Group {
    int failures = 0;
    int accelerators = 0;
    int slack = 0;
    // Cores that go with the free accelerators in proportion.
    int share_cores = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
    auto operator<=>(const Group&) const = default;
  };
  using Members = std::set<std::pair<int, SlotIndex>>;  // Free cores, slot.
  struct Entry {
    bool indexed = false;
    Group group = {};
    Resources free = {};
  };
  using ScoredSlot = std::pair<std::int64_t, SlotIndex>;  // Score, slot.

  void Update(const CellHierarchy& hierarchy,
              const GuaranteeLedger& ledger,
              SlotIndex slot);
  bool Passes(const Resources& task,
              SlotIndex slot,
              const Filter& filter) const;
  void Consider(const Resources& task,
                SlotIndex slot,
                std::optional<ScoredSlot>& best) const;
  // The first member with at least `cores` that passes.
  bool FindUpwards(const Resources& task,
                   const Members& members,
                   int cores,
                   const Filter& filter,
                   std::optional<ScoredSlot>& best) const;
  // The member with the most cores below `below` that passes.
  void FindDownwards(const Resources& task,
                     const Members& members,
                     int below,
                     const Filter& filter,
                     std::optional<ScoredSlot>& best) const;

  std::map<Group, Members> groups_;
  std::vector<Entry> entries_;
  int free_accelerators_ = 0;
};

// The score of a worker for `tasks` tasks of a borrowed job; the smallest is
// used first. Best fit: few accelerators left over, first on accelerators that
// no cell is planned on, and for tasks without accelerators on workers whose
// free accelerators keep their share of the cores.
std::int64_t BorrowScore(const Resources& task,
                         int tasks,
                         const Resources& free,
                         int share_cores,
                         int slack,
                         int failures);

// Consecutive failures as counted in the score.
int ScoredFailures(const Slot& slot);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_FREE_INDEX_H_
