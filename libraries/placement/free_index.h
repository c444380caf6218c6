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

// Index of the usable workers by free resources. Finding the best fit for one
// task takes one ordered lookup per group of similar workers instead of a scan
// of all workers.
class FreeIndex {
 public:
  // Returns whether a slot with the given free resources may be used.
  using Filter = std::function<bool(SlotIndex, const Resources&)>;

  // Updates the slots that changed since the last call.
  void Refresh(CellHierarchy& hierarchy, GuaranteeLedger& ledger);

  // Returns the best fit for one task: the slot with the smallest BorrowScore()
  // among those that the filter accepts. Returns nothing if there is none.
  std::optional<SlotIndex> FindBest(const Resources& task,
                                    const Filter& filter) const;

  // Returns up to `limit` slots other than `chosen` on which the task fits.
  std::vector<SlotIndex> FindOthers(const Resources& task,
                                    SlotIndex chosen,
                                    std::size_t limit) const;

  // Upper bound of the number of tasks that fit, at most `limit`. Considers
  // only accelerators, not cores or memory.
  int TaskUpperBound(const Resources& task, int limit) const;
  int free_accelerators() const { return free_accelerators_; }

 private:
  // The inputs of BorrowScore() other than the free cores.
  struct Group {
    int failures = 0;
    int accelerators = 0;
    // See GuaranteeLedger::Slack().
    int slack = 0;
    // Share of the cores that is proportional to the free accelerators.
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
  // Considers the member with the fewest free cores, but at least `cores`, that
  // passes the filter. Returns false if there is none.
  bool FindUpwards(const Resources& task,
                   const Members& members,
                   int cores,
                   const Filter& filter,
                   std::optional<ScoredSlot>& best) const;
  // Considers the member with the most free cores below `below` that passes the
  // filter.
  void FindDownwards(const Resources& task,
                     const Members& members,
                     int below,
                     const Filter& filter,
                     std::optional<ScoredSlot>& best) const;

  std::map<Group, Members> groups_;
  std::vector<Entry> entries_;
  int free_accelerators_ = 0;
};

// The score of a worker for `tasks` tasks of a borrowed job; the smallest score
// is the best fit. Tasks with accelerators prefer workers without recent
// failures, then those that are left with the fewest free accelerators, then
// accelerators that no guaranteed cell is packed on. Tasks without accelerators
// prefer workers whose free accelerators keep their share of the cores.
std::int64_t BorrowScore(const Resources& task,
                         int tasks,
                         const Resources& free,
                         int share_cores,
                         int slack,
                         int failures);

// The consecutive failures as counted in the score, at most 15.
int ScoredFailures(const Slot& slot);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_FREE_INDEX_H_
