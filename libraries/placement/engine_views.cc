#include <algorithm>
#include <map>

#include "placement/engine.h"
#include "placement/engine_state.h"
#include "placement/job_ending.h"

namespace wigeonstair::placement {

namespace {

JobView ViewOf(const EngineState& state, const Job& job) {
  JobView view{
      .job = job.specification.id,
      .customer = job.specification.customer,
      .state = job.state,
      .coverage = job.coverage,
      .attempt = job.attempt,
      .checkpoint_milliseconds = job.checkpoint_milliseconds,
      .estimate_milliseconds =
          std::chrono::duration_cast<std::chrono::milliseconds>(job.estimate)
              .count(),
      .tasks = {},
      .reason = job.reason};
  for (int i = 0; i < static_cast<int>(job.members.size()); ++i) {
    if (HoldsResources(job.members[i].state)) {
      view.tasks.push_back(
          {.place = PlaceOf(state, job, i),
           .accelerators = AcceleratorList(job.members[i].accelerators)});
    }
  }
  return view;
}

// Returns true if all workers of the cell are live and not ejected.
bool IsAvailable(const EngineState& state, const Cell& cell) {
  return cell.placed() &&
         std::all_of(cell.segments.begin(), cell.segments.end(),
                     [&](const CellSegment& segment) {
                       const Slot& slot = state.hierarchy.slot(segment.slot);
                       return slot.live() &&
                              slot.health.state != WorkerHealthState::kEjected;
                     });
}

std::vector<GuaranteeView> GuaranteesOf(const EngineState& state,
                                        int customer) {
  std::map<cluster::CellShape, GuaranteeView> by_shape;
  for (const int index : state.ledger.cells_of(customer)) {
    const Cell& cell = state.ledger.cells()[index];
    GuaranteeView& view = by_shape[cell.configured_shape];
    view.shape = cell.configured_shape;
    ++view.cells;
    view.claimed += cell.claimed() ? 1 : 0;
    view.unavailable += IsAvailable(state, cell) ? 0 : 1;
  }
  std::vector<GuaranteeView> views;
  views.reserve(by_shape.size());
  for (const auto& [shape, view] : by_shape)
    views.push_back(view);
  return views;
}

CustomerView ViewOf(const EngineState& state, int index) {
  const CustomerRecord& record = state.customers[index];
  CustomerView view{.customer = record.configuration.id,
                    .guarantees = GuaranteesOf(state, index),
                    .borrowed_accelerators = record.borrowed_accelerators};
  for (const int cell : state.ledger.cells_of(index)) {
    for (const CellSegment& segment : state.ledger.cells()[cell].segments)
      view.guaranteed_accelerators_in_use += segment.used.accelerators;
  }
  view.waiting_jobs = static_cast<int>(state.queue.order_of(index).size());
  for (const auto& [sequence, job] : state.active)
    view.running_jobs += job->customer == index ? 1 : 0;
  return view;
}

// Returns for each slot the accelerators of guaranteed cells that no covered
// task uses.
std::vector<int> UnusedGuaranteesBySlot(const EngineState& state) {
  std::vector<int> unused_guarantees(state.hierarchy.slots().size(), 0);
  for (const Cell& cell : state.ledger.cells()) {
    for (const CellSegment& segment : cell.segments)
      unused_guarantees[segment.slot] +=
          segment.accelerators - segment.used.accelerators;
  }
  return unused_guarantees;
}

}  // namespace

std::optional<Explanation> Engine::Explain(const base::JobId& id) const {
  const Job* found = state_->FindJob(id);
  if (!found)
    return std::nullopt;
  return Explanation{.job = ViewOf(*state_, *found), .entries = found->entries};
}

std::vector<WorkerView> Engine::workers() const {
  std::vector<WorkerView> views;
  for (const Slot& slot : state_->hierarchy.slots()) {
    if (!slot.live())
      continue;
    views.push_back({.worker = slot.worker,
                     .rack = state_->hierarchy.racks()[slot.rack].id,
                     .health = slot.health.state,
                     .capacity = slot.capacity,
                     .granted = slot.granted,
                     .tasks = static_cast<int>(slot.tasks.size()),
                     .consecutive_failures = slot.health.consecutive_failures});
  }
  return views;
}

std::vector<JobView> Engine::jobs() const {
  std::vector<JobView> views;
  for (const auto& [id, job] : state_->jobs) {
    if (!job.ended())
      views.push_back(ViewOf(*state_, job));
  }
  return views;
}

WaitingPage Engine::waiting_jobs(const WaitingQuery& query) const {
  const JobQueue::Order& order = state_->queue.order();
  WaitingPage page;
  std::size_t examined = 0;
  for (auto entry = query.after ? order.upper_bound(*query.after)
                                : order.begin();
       entry != order.end(); ++entry) {
    const auto& [key, job] = *entry;
    if (IsQueuedWithoutResources(*job) && !state_->recovering &&
        state_->now >= job->queued_at + query.minimum_wait)
      page.jobs.push_back(job->specification.id);
    if (++examined < query.limit)
      continue;
    page.next = key;
    return page;
  }
  return page;
}

std::optional<JobView> Engine::job(const base::JobId& id) const {
  const Job* found = state_->FindJob(id);
  return found ? std::optional(ViewOf(*state_, *found)) : std::nullopt;
}

std::vector<CustomerView> Engine::customers() const {
  std::vector<CustomerView> views;
  for (int i = 0; i < static_cast<int>(state_->customers.size()); ++i) {
    if (state_->customers[i].configured)
      views.push_back(ViewOf(*state_, i));
  }
  return views;
}

CapacityView Engine::capacity() const {
  const CellHierarchy& hierarchy = state_->hierarchy;
  CapacityView view{.status = state_->status,
                    .recovering = state_->recovering,
                    .waiting_jobs = static_cast<int>(state_->queue.size())};
  const std::vector<int> unused_guarantees = UnusedGuaranteesBySlot(*state_);
  std::map<int, int> free_by_rack;
  for (SlotIndex i = 0; i < static_cast<int>(hierarchy.slots().size()); ++i) {
    const Slot& slot = hierarchy.slot(i);
    if (!slot.live())
      continue;
    ++view.live_workers;
    view.running_tasks += static_cast<int>(slot.tasks.size());
    view.total += slot.capacity;
    if (!slot.usable())
      continue;
    const Resources free = hierarchy.Free(i);
    view.free += {.accelerators = std::max(0, free.accelerators),
                  .cores = std::max(0, free.cores),
                  .memory_megabytes = std::max(0, free.memory_megabytes)};
    view.unpromised_free_accelerators +=
        std::max(0, free.accelerators - unused_guarantees[i]);
    view.largest_free_worker =
        std::max(view.largest_free_worker, free.accelerators);
    free_by_rack[slot.rack] += std::max(0, free.accelerators);
  }
  for (const auto& [rack, free] : free_by_rack)
    view.largest_free_rack = std::max(view.largest_free_rack, free);
  return view;
}

}  // namespace wigeonstair::placement
