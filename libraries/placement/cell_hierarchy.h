#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_CELL_HIERARCHY_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_CELL_HIERARCHY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/configuration.h"
#include "placement/events.h"
#include "placement/resources.h"
#include "placement/views.h"

namespace wigeonstair::placement {

struct Job;

// A place for one worker in a rack. It outlives the worker in it, so that a
// replaced worker takes over the cells of the one before it.
using SlotIndex = int;
inline constexpr SlotIndex kNoSlot = -1;

// Bit i stands for accelerator i of a worker.
using AcceleratorMask = std::uint64_t;
inline constexpr int kMaximumAcceleratorsPerWorker = 64;

std::vector<int> AcceleratorList(AcceleratorMask mask);
AcceleratorMask MaskOf(const std::vector<int>& accelerators);

// A member of a gang that holds resources of a slot.
struct TaskReference {
  Job* job = nullptr;
  int member = 0;
};

// A task that a worker reported and that no job of the table accounts for. It
// holds its accelerators until the worker confirms the stop.
struct Orphan {
  ReportedTask task = {};
  Resources resources = {};
  AcceleratorMask accelerators = 0;
};

struct SlotHealth {
  WorkerHealthState state = WorkerHealthState::kLost;
  int consecutive_failures = 0;
  int successes = 0;
  // Jobs whose failures make up the current streak, newest last.
  std::vector<std::int64_t> failed_sequences = {};
  base::Instant ejected_until = {};
  base::Duration ejection_period{0};
};

struct Slot {
  int rack = -1;
  // Empty when no live worker is here.
  base::WorkerId worker = {};
  // From the configuration; zero for a worker beyond the configured number.
  Resources configured_capacity = {};
  // Of the live worker; zero without one.
  Resources capacity = {};
  // Held by members of gangs and by orphans.
  Resources granted = {};
  // Promised to jobs that wait for borrowed tasks to stop.
  Resources earmarked = {};
  AcceleratorMask free_accelerators = 0;
  std::vector<TaskReference> tasks = {};
  std::vector<Orphan> orphans = {};
  SlotHealth health = {};
  // Measured use and the changes of `granted` since it was measured.
  Resources measured = {};
  base::Instant measured_at = {};
  std::deque<std::pair<base::Instant, Resources>> changes = {};
  bool throttled = false;

  bool live() const { return !worker.empty(); }
  // True when work may be placed here.
  bool usable() const {
    return live() &&
           (health.state == WorkerHealthState::kHealthy ||
            (health.state == WorkerHealthState::kProbation && tasks.empty()));
  }
  // What cells are planned against.
  const Resources& cell_capacity() const {
    return live() ? capacity : configured_capacity;
  }
};

struct Rack {
  base::RackId id = {};
  std::vector<SlotIndex> slots = {};
};

// The hierarchy accelerator, worker, rack, failure domain, with what is held at
// each worker.
class CellHierarchy {
 public:
  // Creates the slots of the configured racks. Live workers keep their slots.
  void Configure(const cluster::DomainConfiguration& domain);

  // Puts a worker into a free slot of its rack, or into a new one.
  SlotIndex Attach(const base::WorkerId& worker,
                   const base::RackId& rack,
                   const Resources& capacity);
  // The worker is gone; nothing may hold resources of the slot any more.
  void Detach(SlotIndex slot);
  SlotIndex Find(const base::WorkerId& worker) const;

  // Workers by rack and by what they offer when empty, planned or present.
  using WorkersByCapacity = std::map<std::pair<int, Resources>, int>;
  const WorkersByCapacity& workers_by_capacity() const {
    return workers_by_capacity_;
  }

  // What may be granted: capacity without what is held, earmarked or measured.
  Resources Free(SlotIndex slot) const;
  // Capacity without what is held.
  Resources Ungranted(SlotIndex slot) const;

  // Holds resources for a member and returns the chosen accelerators. The
  // resources must be free.
  AcceleratorMask Hold(SlotIndex slot,
                       const Resources& resources,
                       TaskReference task,
                       base::Instant now);
  // Holds exactly these accelerators; they must be free.
  void HoldExactly(SlotIndex slot,
                   const Resources& resources,
                   AcceleratorMask accelerators,
                   TaskReference task);
  void Release(SlotIndex slot,
               const Resources& resources,
               AcceleratorMask accelerators,
               TaskReference task,
               base::Instant now);
  void AddOrphan(SlotIndex slot, Orphan orphan);
  // Returns false when there is no such orphan.
  bool RemoveOrphan(SlotIndex slot, const TaskKey& key);
  void Measure(SlotIndex slot,
               const Resources& measured,
               base::Instant measured_at);
  // For PlantedFault::kGrantTwice: the accelerators become free again.
  void MarkHeldAsFree(SlotIndex slot, AcceleratorMask accelerators);

  // Access that may change slots counts as a change of them.
  std::vector<Slot>& slots() {
    all_changed_ = true;
    return slots_;
  }
  const std::vector<Slot>& slots() const { return slots_; }
  const std::vector<Rack>& racks() const { return racks_; }
  Slot& slot(SlotIndex index) {
    MarkChanged(index);
    return slots_[index];
  }
  const Slot& slot(SlotIndex index) const { return slots_[index]; }

  // True when any slot may have changed since TakeChanged().
  bool AllChanged() const { return all_changed_; }
  // The slots that changed since the last call, each once.
  std::vector<SlotIndex> TakeChanged();

 private:
  int RackIndex(const base::RackId& id);
  void MarkChanged(SlotIndex slot);
  void AdjustWorkerCount(const Slot& slot, int change);
  void RecordChange(Slot& slot, const Resources& change, base::Instant now);

  std::vector<Slot> slots_;
  std::vector<Rack> racks_;
  std::unordered_map<base::WorkerId, SlotIndex> by_worker_;
  WorkersByCapacity workers_by_capacity_;
  bool all_changed_ = true;
  std::vector<SlotIndex> changed_;
  std::vector<bool> is_changed_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_CELL_HIERARCHY_H_
