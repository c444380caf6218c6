#include "placement/overload.h"

namespace wigeonstair::placement {

namespace {

constexpr int kThrottlePercent = 50;
// Throttling ends when usage is below this share of the cores. The gap to the
// threshold of 100% prevents oscillation.
constexpr int kThrottleReleasePercent = 80;

void ThrottleBorrowed(EngineState& state, const Slot& slot, int percent) {
  for (const TaskReference& task : slot.tasks) {
    if (task.job->coverage != Coverage::kBorrowed ||
        task.job->members[task.member].state != MemberState::kRunning)
      continue;
    state.Emit(ThrottleTask{
        .place = PlaceOf(state, *task.job, task.member),
        .percent = percent,
        .reason = {.code = ReasonCode::kOverload,
                   .text = Join("the worker uses ", slot.measured.cores, " of ",
                                slot.capacity.cores, " cores")}});
  }
}

}  // namespace

void ApplyUsage(EngineState& state, const WorkerUsageReported& event) {
  const SlotIndex index = state.hierarchy.Find(event.worker);
  if (index == kNoSlot)
    return;
  state.hierarchy.Measure(index,
                          {.accelerators = 0,
                           .cores = event.cores,
                           .memory_megabytes = event.memory_megabytes},
                          event.measured_at);
  Slot& slot = state.hierarchy.slot(index);
  if (!slot.throttled && event.cores > slot.capacity.cores) {
    slot.throttled = true;
    ThrottleBorrowed(state, slot, kThrottlePercent);
  } else if (slot.throttled &&
             event.cores * 100 <
                 slot.capacity.cores * kThrottleReleasePercent) {
    slot.throttled = false;
    ThrottleBorrowed(state, slot, 100);
  }
}

}  // namespace wigeonstair::placement
