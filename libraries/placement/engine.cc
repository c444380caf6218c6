#include "placement/engine.h"

#include <algorithm>
#include <utility>

#include "placement/admission.h"
#include "placement/configuration_change.h"
#include "placement/domain_drain.h"
#include "placement/engine_state.h"
#include "placement/gang_lifecycle.h"
#include "placement/guarantee_feasibility.h"
#include "placement/job_ending.h"
#include "placement/overload.h"
#include "placement/reclaim_planner.h"
#include "placement/recovery.h"
#include "placement/scheduling_pass.h"
#include "placement/worker_health.h"

namespace wigeonstair::placement {

namespace {

// Predicted ends change with time, so the reservations of waiting jobs are
// planned again at this interval. Planning a reservation scans all tasks, so it
// runs on ticks and not in the pass after each event: with 1,440 workers it
// would take most of the 0.8 ms of a decision while a gang waits.
constexpr base::Duration kReservationInterval = std::chrono::seconds(1);

// Calls `handler(state, job, member)` for a task of the current attempt of a
// job. Returns false if there is no such task.
template <typename Handler>
bool WithMember(EngineState& state, const TaskKey& key, Handler handler) {
  Job* job = state.FindJob(key.job);
  if (!job || job->attempt != key.attempt || key.index < 0 ||
      key.index >= static_cast<int>(job->members.size()))
    return false;
  handler(state, *job, key.index);
  return true;
}

// Dispatches one event to the part of the engine that handles it.
class EventHandler {
 public:
  explicit EventHandler(EngineState& state) : state_(state) {}

  void operator()(const WorkerRegistered& event) {
    RegisterWorker(state_, event);
  }
  void operator()(const WorkerReported& event) {
    const SlotIndex slot = state_.hierarchy.Find(event.worker);
    if (slot != kNoSlot)
      ReconcileWorker(state_, slot, event.tasks);
  }
  void operator()(const WorkerUsageReported& event) {
    ApplyUsage(state_, event);
  }
  void operator()(const WorkerLost& event) {
    RemoveLostWorker(state_, event.worker);
  }
  void operator()(const JobSubmitted& event) { SubmitJob(state_, event); }
  void operator()(const JobCancelled& event) {
    Job* job = state_.FindJob(event.job);
    if (job && !job->ended()) {
      EndJob(state_, *job, JobEnd::kCancelled,
             {.code = ReasonCode::kCancelled,
              .text = "the customer cancelled it"});
    }
  }
  void operator()(const JobWithdrawn& event) {
    Job* job = state_.FindJob(event.job);
    if (job && IsQueuedWithoutResources(*job) && !state_.recovering) {
      ReleaseJob(state_, *job,
                 {.code = ReasonCode::kRoomElsewhere, .text = event.why});
    }
  }
  void operator()(const TaskPrepared& event) {
    WithMember(state_, event.task, MemberPrepared);
  }
  void operator()(const TaskStarted& event) {
    if (!WithMember(state_, event.task, MemberStarted))
      UpdateOrphan(state_, event.task, ReportedState::kRunning, 0);
  }
  void operator()(const TaskFinished& event) {
    if (!WithMember(state_, event.task, MemberFinished))
      UpdateOrphan(state_, event.task, ReportedState::kFinished, 0);
  }
  void operator()(const TaskFailed& event) {
    const auto fail = [&](EngineState& state, Job& job, int member) {
      MemberFailed(state, job, member, event.detail);
    };
    if (!WithMember(state_, event.task, fail))
      UpdateOrphan(state_, event.task, ReportedState::kFailed, 0);
  }
  void operator()(const CheckpointDone& event) {
    const auto checkpoint = [&](EngineState& state, Job& job, int member) {
      MemberCheckpointed(state, job, member, event.progress_milliseconds);
    };
    if (!WithMember(state_, event.task, checkpoint)) {
      UpdateOrphan(state_, event.task, ReportedState::kRunning,
                   event.progress_milliseconds);
    }
  }
  void operator()(const TaskStopped& event) {
    if (!WithMember(state_, event.task, MemberStopped))
      UpdateOrphan(state_, event.task, ReportedState::kStopped, 0);
  }
  void operator()(const DomainStatusChanged& event) {
    ChangeDomainStatus(state_, event);
  }
  void operator()(const GuaranteesChanged& event) {
    ApplyConfiguration(state_, event.domain, event.customers);
  }
  void operator()(const RecoveryEnded&) { EndRecovery(state_); }
  void operator()(const Tick&) {
    UpdateProbation(state_);
    RepeatOrphanStops(state_);
    if (state_.queue.size() > 0 &&
        state_.now >= state_.last_reservations_at + kReservationInterval)
      state_.replan_reservations = state_.pass_needed = true;
  }

 private:
  EngineState& state_;
};

// Returns the customers without their guarantees in other failure domains.
std::vector<cluster::CustomerConfiguration> GuaranteesIn(
    const base::DomainId& domain,
    std::vector<cluster::CustomerConfiguration> customers) {
  for (cluster::CustomerConfiguration& customer : customers) {
    std::erase_if(customer.guarantees,
                  [&](const cluster::Guarantee& guarantee) {
                    return guarantee.domain != domain;
                  });
  }
  return customers;
}

void FireDeadlines(EngineState& state) {
  while (!state.timers.empty() &&
         std::get<0>(*state.timers.begin()) <= state.now)
    HandleDeadline(state, *std::get<2>(*state.timers.begin()));
}

// Work that is due after any event: ends the recovery at its deadline, starts
// jobs whose claimed resources have become free, runs a pass over the queue and
// reports a finished drain.
void FinishStep(EngineState& state) {
  if (state.recovering && state.now >= state.recovery_deadline)
    EndRecovery(state);
  if (state.MayStart() && !state.reclaiming.empty())
    FinishReclaims(state);
  if (state.pass_needed && state.MayStartSomeJobs() &&
      state.now >= state.last_pass_at + state.options.pass_interval)
    RunPass(state);
  ReportDrained(state);
}

}  // namespace

Engine::Engine(std::unique_ptr<EngineState> state) : state_(std::move(state)) {}
Engine::Engine(Engine&&) noexcept = default;
Engine& Engine::operator=(Engine&&) noexcept = default;
Engine::~Engine() = default;

base::Result<Engine> Engine::create(EngineOptions options) {
  const std::string& domain = options.domain.id.value();
  for (const cluster::RackConfiguration& rack : options.domain.racks) {
    if (rack.accelerators_per_worker > kMaximumAcceleratorsPerWorker) {
      return base::Fail(
          base::ErrorCode::kInvalidArgument, "create placement engine", domain,
          Join("rack ", rack.id.value(), " has ", rack.accelerators_per_worker,
               " accelerators per worker; at most ",
               kMaximumAcceleratorsPerWorker, " are possible"));
    }
  }
  const std::vector<GuaranteeConflict> conflicts = FindGuaranteeConflicts(
      {options.domain}, GuaranteesIn(options.domain.id, options.customers));
  if (!conflicts.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "create placement engine", domain,
                      conflicts.front().text);
  }
  auto state = std::make_unique<EngineState>(std::move(options));
  state->now = state->options.created_at;
  state->last_attempt = state->options.attempt_base;
  state->last_pass_at = state->now;
  state->last_defragmentation_at = state->now;
  state->recovery_deadline = state->now + state->options.recovery_period;
  state->status = state->options.status;
  state->drain_mode = state->options.drain_mode;
  std::vector<Decision> none;
  state->decisions = &none;
  const cluster::DomainConfiguration own = state->options.domain;
  ApplyConfiguration(*state, own, state->options.customers);
  state->decisions = nullptr;
  return Engine(std::move(state));
}

std::vector<Decision> Engine::Step(const Event& event, base::Instant now) {
  std::vector<Decision> decisions;
  state_->decisions = &decisions;
  state_->now = std::max(now, state_->now);
  FireDeadlines(*state_);
  std::visit(EventHandler(*state_), event);
  FinishStep(*state_);
  state_->decisions = nullptr;
  return decisions;
}

DrainPreview Engine::PreviewDrain(DrainMode mode) const {
  return PreviewDrainOf(*state_, mode);
}

}  // namespace wigeonstair::placement
