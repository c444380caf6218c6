#include "placement/worker_health.h"

#include <algorithm>

namespace wigeonstair::placement {

namespace {

constexpr std::size_t kMaximumRememberedFailures = 32;

bool HasDistinctJobs(const std::vector<std::int64_t>& sequences) {
  return std::any_of(
      sequences.begin(), sequences.end(),
      [&](std::int64_t sequence) { return sequence != sequences.front(); });
}

// True when one more worker may be ejected without exceeding
// `maximum_ejected_percent`. The limit is at least one worker, but one live
// worker always stays in service.
bool MayEject(const EngineState& state) {
  int live = 0;
  int ejected = 0;
  for (const Slot& slot : state.hierarchy.slots()) {
    live += slot.live() ? 1 : 0;
    ejected += slot.health.state == WorkerHealthState::kEjected ? 1 : 0;
  }
  const int allowed =
      std::max(1, live * state.options.maximum_ejected_percent / 100);
  return ejected < allowed && ejected + 1 < live;
}

void Eject(EngineState& state, Slot& slot) {
  SlotHealth& health = slot.health;
  health.ejection_period =
      health.ejection_period.count() == 0
          ? state.options.ejection_period
          : std::min(health.ejection_period * 2,
                     state.options.maximum_ejection_period);
  health.state = WorkerHealthState::kEjected;
  health.ejected_until = state.now + health.ejection_period;
  state.Emit(WorkerEjected{
      .worker = slot.worker,
      .period = health.ejection_period,
      .reason = {.code = ReasonCode::kFailsEverything,
                 .text = Join("its last ", health.consecutive_failures,
                              " tasks failed, of different jobs")}});
}

}  // namespace

FailureCause RecordFailure(EngineState& state,
                           SlotIndex index,
                           const Job& job) {
  Slot& slot = state.hierarchy.slot(index);
  SlotHealth& health = slot.health;
  ++health.consecutive_failures;
  if (health.failed_sequences.size() < kMaximumRememberedFailures)
    health.failed_sequences.push_back(job.sequence);
  const FailureCause failure_cause =
      health.successes > 0 && health.consecutive_failures == 1
          ? FailureCause::kJob
          : FailureCause::kWorker;
  const bool streak =
      health.consecutive_failures >= state.options.ejection_failures &&
      HasDistinctJobs(health.failed_sequences);
  const bool on_probation = health.state == WorkerHealthState::kProbation;
  if (health.state == WorkerHealthState::kEjected || !(streak || on_probation))
    return failure_cause;
  if (MayEject(state)) {
    Eject(state, slot);
  } else {
    // The worker stays in service; the next failure is checked again.
    health.state = WorkerHealthState::kHealthy;
    state.Emit(WorkerReadmitted{
        .worker = slot.worker,
        .reason = {.code = ReasonCode::kEjectionFloor,
                   .text = Join("its last ", health.consecutive_failures,
                                " tasks failed, but too many workers are "
                                "ejected already")}});
  }
  return failure_cause;
}

void RecordSuccess(EngineState& state, SlotIndex index) {
  Slot& slot = state.hierarchy.slot(index);
  SlotHealth& health = slot.health;
  ++health.successes;
  health.consecutive_failures = 0;
  health.failed_sequences.clear();
  if (health.state != WorkerHealthState::kProbation &&
      health.state != WorkerHealthState::kEjected)
    return;
  health.state = WorkerHealthState::kHealthy;
  health.ejection_period = {};
  state.pass_needed = true;
  state.Emit(
      WorkerReadmitted{.worker = slot.worker,
                       .reason = {.code = ReasonCode::kRecoveredHealth,
                                  .text = "a task finished on it again"}});
}

void DiscardFailures(EngineState& state, const Job& job) {
  for (const SlotIndex index : job.failed_slots) {
    SlotHealth& health = state.hierarchy.slot(index).health;
    const auto removed =
        std::remove(health.failed_sequences.begin(),
                    health.failed_sequences.end(), job.sequence);
    health.failed_sequences.erase(removed, health.failed_sequences.end());
    health.consecutive_failures =
        static_cast<int>(health.failed_sequences.size());
  }
}

void UpdateProbation(EngineState& state) {
  for (Slot& slot : state.hierarchy.slots()) {
    if (slot.health.state != WorkerHealthState::kEjected || !slot.live() ||
        slot.health.ejected_until > state.now)
      continue;
    slot.health.state = WorkerHealthState::kProbation;
    state.pass_needed = true;
    state.Emit(WorkerOnProbation{
        .worker = slot.worker,
        .reason = {
            .code = ReasonCode::kProbation,
            .text =
                "its ejection period has passed; it gets one gang at a time"}});
  }
}

}  // namespace wigeonstair::placement
