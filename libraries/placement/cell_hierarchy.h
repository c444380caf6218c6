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

// Index of a slot: the position of one worker in a rack. A slot outlives its
// worker, so that a replacement worker takes over the cells of the previous
// one.
using SlotIndex = int;
inline constexpr SlotIndex kNoSlot = -1;

// Bit i stands for accelerator i of a worker.
using AcceleratorMask = std::uint64_t;
inline constexpr int kMaximumAcceleratorsPerWorker = 64;

std::vector<int> AcceleratorList(AcceleratorMask mask);
// Ignores indexes outside of the mask.
AcceleratorMask MaskOf(const std::vector<int>& accelerators);

// A gang member that holds resources of a slot.
struct TaskReference {
  Job* job = nullptr;
  int member = 0;
};

// A task that a worker reported but that belongs to no current attempt of a
// known job. It holds its accelerators until the worker confirms that it has
// stopped.
struct Orphan {
  ReportedTask task = {};
  Resources resources = {};
  AcceleratorMask accelerators = 0;
};

struct SlotHealth {
  WorkerHealthState state = WorkerHealthState::kLost;
  int consecutive_failures = 0;
  int successes = 0;
  // Sequences of the jobs whose consecutive failures were counted, newest last.
  std::vector<std::int64_t> failed_sequences = {};
  base::Instant ejected_until = {};
  base::Duration ejection_period{0};
};

struct Slot {
  int rack = -1;
  // Empty if the slot has no live worker.
  base::WorkerId worker = {};
  // Zero for a slot beyond the configured number of workers of the rack.
  Resources configured_capacity = {};
  // Capacity of the live worker; zero without one.
  Resources capacity = {};
  // Sum of the resources held by gang members and orphans.
  Resources granted = {};
  // Set aside for jobs that wait for preempted borrowed tasks to stop.
  Resources earmarked = {};
  AcceleratorMask free_accelerators = 0;
  std::vector<TaskReference> tasks = {};
  std::vector<Orphan> orphans = {};
  SlotHealth health = {};
  // The last measured use, and the changes of `granted` since then.
  Resources measured = {};
  base::Instant measured_at = {};
  std::deque<std::pair<base::Instant, Resources>> changes = {};
  bool throttled = false;

  bool live() const { return !worker.empty(); }
  // Returns true if tasks may be placed here. A worker on probation takes one
  // task at a time.
  bool usable() const {
    return live() &&
           (health.state == WorkerHealthState::kHealthy ||
            (health.state == WorkerHealthState::kProbation && tasks.empty()));
  }
  // The capacity that guaranteed cells are packed into.
  const Resources& cell_capacity() const {
    return live() ? capacity : configured_capacity;
  }
};

struct Rack {
  base::RackId id = {};
  std::vector<SlotIndex> slots = {};
};

// The hierarchy of accelerators, workers and racks in a failure domain, and the
// resources that are held on each worker.
class CellHierarchy {
 public:
  // Creates the slots of the configured racks. Live workers keep their slots.
  void Configure(const cluster::DomainConfiguration& domain);

  // Assigns a worker to a free slot of its rack, or to a new slot if none is
  // free.
  SlotIndex Attach(const base::WorkerId& worker,
                   const base::RackId& rack,
                   const Resources& capacity);
  // Removes a lost worker from its slot. The caller must have released the
  // resources of all gang members; orphans are dropped.
  void Detach(SlotIndex slot);
  // Returns kNoSlot for an unknown worker.
  SlotIndex Find(const base::WorkerId& worker) const;

  // Number of slots by rack and capacity. For each resource, the capacity is
  // the larger of the configured one and that of the live worker.
  using WorkersByCapacity = std::map<std::pair<int, Resources>, int>;
  const WorkersByCapacity& workers_by_capacity() const {
    return workers_by_capacity_;
  }

  // Resources that can be granted: the capacity minus `earmarked` and minus the
  // larger of the granted and the measured use. May be negative.
  Resources Free(SlotIndex slot) const;
  // The capacity minus `granted`.
  Resources Ungranted(SlotIndex slot) const;

  // Grants resources to a member and returns the chosen accelerators. The
  // resources must be free.
  AcceleratorMask Hold(SlotIndex slot,
                       const Resources& resources,
                       TaskReference task,
                       base::Instant now);
  // Grants exactly these accelerators, which must be free.
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
  // Returns false if there is no such orphan.
  bool RemoveOrphan(SlotIndex slot, const TaskKey& key);
  // Records the measured use and drops the changes that it includes.
  void Measure(SlotIndex slot,
               const Resources& measured,
               base::Instant measured_at);
  // Marks accelerators as free that a task still holds. Only for
  // PlantedFault::kGrantTwice.
  void MarkHeldAsFree(SlotIndex slot, AcceleratorMask accelerators);

  // Mutable access marks the slots as changed.
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

  // Returns true if any slot may have changed since the last TakeChanged().
  bool AllChanged() const { return all_changed_; }
  // Returns the slots that changed since the last call, without duplicates.
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
