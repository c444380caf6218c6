#include "services/control/placement_controller.h"

#include <algorithm>
#include <utility>

#include "cluster/withdrawal_plan.h"

namespace wigeonstair::control {

namespace {

// Epochs are at least the milliseconds of the wall clock, so attempts of two
// epochs stay apart as long as fewer than 1,024 start in a millisecond. See
// EngineOptions::attempt_base.
constexpr int kAttemptBits = 10;

// Between two tries to reach the cluster log during a recovery.
constexpr base::Duration kBarrierInterval = std::chrono::milliseconds(500);

constexpr base::Duration kWithdrawalInterval = std::chrono::seconds(1);
// Each candidate costs an offer of every domain, and thousands may wait.
constexpr std::size_t kWithdrawalCandidates = 128;

placement::DomainStatusChanged StatusEvent(const cluster::DomainState& domain) {
  return {.status = domain.status == cluster::DomainStatus::kIn
                        ? placement::DomainStatus::kIn
                        : placement::DomainStatus::kOut,
          .mode = domain.drain_mode == cluster::DrainMode::kRelease
                      ? placement::DrainMode::kRelease
                      : placement::DrainMode::kHoldForReturn};
}

const cluster::DomainConfiguration* FindDomain(
    const cluster::ClusterConfiguration& configuration,
    const base::DomainId& id) {
  for (const cluster::DomainConfiguration& domain : configuration.domains) {
    if (domain.id == id)
      return &domain;
  }
  return nullptr;
}

}  // namespace

PlacementController::PlacementController(PlacementControllerOptions options)
    : options_(std::move(options)),
      held_(options_.held_reports),
      outbox_(options_.propose) {}

RegisterOutcome PlacementController::Register(
    const WorkerRegistration& registration,
    base::Instant now) {
  std::vector<HeldReports::Delivery> deliveries;
  std::unique_lock lock(mutex_);
  RegisterOutcome outcome = NotAuthority{};
  if (EnsureAuthority(now))
    outcome = TakeIn(registration, now);
  deliveries = held_.TakeDeliveries();
  lock.unlock();
  HeldReports::Deliver(std::move(deliveries));
  return outcome;
}

RegisterOutcome PlacementController::TakeIn(
    const WorkerRegistration& registration,
    base::Instant now) {
  if (!workers_->Register(registration, now))
    return StaleIncarnation{};
  // What it answers belongs to the worker's life before this registration.
  held_.Release(registration.worker, MustRegister{});
  options_.event_log->Info(
      base::EventNumber::kWorkerRegistered,
      {{"worker", registration.worker.value()},
       {"rack", registration.rack.value()},
       {"incarnation", registration.incarnation},
       {"accelerators", registration.capacity.accelerators},
       {"tasks", registration.tasks.size()}});
  Step(placement::WorkerRegistered{.worker = registration.worker,
                                   .rack = registration.rack,
                                   .capacity = registration.capacity,
                                   .tasks = registration.tasks},
       now);
  EndRecoveryWhenComplete(now);
  outbox_.Flush();
  ReleaseAddressed(now);
  return Registered{.epoch = epoch_, .schedule = schedule_};
}

void PlacementController::Report(const WorkerReport& report,
                                 base::Instant now,
                                 ReportDone done) {
  std::vector<HeldReports::Delivery> deliveries;
  {
    std::lock_guard lock(mutex_);
    Receive(report, now, std::move(done));
    deliveries = held_.TakeDeliveries();
  }
  HeldReports::Deliver(std::move(deliveries));
}

void PlacementController::Receive(const WorkerReport& report,
                                  base::Instant now,
                                  ReportDone done) {
  const auto answer = [&](ReportOutcome outcome) {
    held_.Answer(std::move(done), std::move(outcome));
  };
  if (!EnsureAuthority(now))
    return answer(NotAuthority{});
  const auto events = workers_->Report(report, now);
  if (!events)
    return answer(MustRegister{});
  for (const placement::Event& event : *events) {
    Step(event, now);
    if (const auto* checkpoint = std::get_if<placement::CheckpointDone>(&event))
      KeepCheckpoint(checkpoint->task.job);
  }
  outbox_.Flush();
  if (!workers_->IsNewest(report)) {
    answer(AnswerReplaced(report.worker, now));
  } else {
    if (held_.contains(report.worker))
      held_.Release(report.worker, AnswerReplaced(report.worker, now));
    const StartPermission permission = options_.start_permission(now);
    if (MayHold(report, permission)) {
      held_.Hold(report.worker,
                 HoldUntil(report.worker, report.wait, schedule_.interval, now),
                 permission, std::move(done));
    } else {
      answer(AnswerNewest(report.worker, Hold::kNone, now));
    }
  }
  ReleaseAddressed(now);
}

bool PlacementController::MayHold(const WorkerReport& report,
                                  StartPermission permission) const {
  return report.wait > base::Duration::zero() && held_.HasRoom() &&
         !workers_->NeedsAnswer(report.worker, permission);
}

ReportOutcome PlacementController::AnswerNewest(const base::WorkerId& worker,
                                                Hold hold,
                                                base::Instant now) {
  // The clock is read again: the process may have been frozen since `now`.
  const base::Instant sending = std::max(now, base::MonotonicClock::now());
  if (options_.held_epoch(sending) != epoch_)
    return NotAuthority{};
  ReportAnswer answer =
      workers_->Answer(worker, options_.start_permission(sending));
  AddSchedule(answer, hold);
  return answer;
}

ReportOutcome PlacementController::AnswerReplaced(const base::WorkerId& worker,
                                                  base::Instant now) {
  const base::Instant sending = std::max(now, base::MonotonicClock::now());
  if (options_.held_epoch(sending) != epoch_)
    return NotAuthority{};
  ReportAnswer answer =
      workers_->AnswerReplaced(worker, options_.start_permission(sending));
  AddSchedule(answer, Hold::kNone);
  return answer;
}

// A worker whose report was held reports again at once, so that directives find
// a held report. The others report after the shortest interval, because a
// directive waits for their next report and urgent work needs several, and so
// that answers that leave at once cannot chase each other.
void PlacementController::AddSchedule(ReportAnswer& answer, Hold hold) const {
  answer.report_after = hold == Hold::kOver
                            ? base::Duration::zero()
                            : options_.report_limits.shortest_interval;
  answer.wait = schedule_.interval;
}

void PlacementController::ReleaseAddressed(base::Instant now) {
  for (const base::WorkerId& worker : workers_->TakeAddressed()) {
    if (!held_.contains(worker))
      continue;
    const StartPermission permission = options_.start_permission(now);
    held_.ChangePermission(worker, permission);
    ReleaseIfAddressed(worker, permission, now);
  }
}

void PlacementController::ReleaseIfAddressed(const base::WorkerId& worker,
                                             StartPermission permission,
                                             base::Instant now) {
  if (workers_->NeedsAnswer(worker, permission))
    held_.Release(worker, AnswerNewest(worker, Hold::kOver, now));
}

void PlacementController::ReleaseDue(base::Instant now) {
  if (held_.empty())
    return;
  const StartPermission permission = options_.start_permission(now);
  const HeldReports::Due due = held_.FindDue(permission, now);
  for (const base::WorkerId& worker : due.over)
    held_.Release(worker, AnswerNewest(worker, Hold::kOver, now));
  // Directives that were kept back may leave now.
  for (const base::WorkerId& worker : due.changed)
    ReleaseIfAddressed(worker, permission, now);
}

void PlacementController::StopHolding(base::Instant now) {
  std::vector<HeldReports::Delivery> deliveries;
  {
    std::lock_guard lock(mutex_);
    held_.StopHolding(now);
    if (EnsureAuthority(now))
      ReleaseDue(now);
    deliveries = held_.TakeDeliveries();
  }
  HeldReports::Deliver(std::move(deliveries));
}

void PlacementController::Tick(base::Instant now) {
  std::vector<HeldReports::Delivery> deliveries;
  {
    std::lock_guard lock(mutex_);
    if (EnsureAuthority(now))
      Act(now);
    outbox_.Flush();
    deliveries = held_.TakeDeliveries();
  }
  HeldReports::Deliver(std::move(deliveries));
}

void PlacementController::Act(base::Instant now) {
  FollowCluster(now);
  FollowLeases(now);
  AskForFormerJobs(now);
  for (const base::WorkerId& worker : workers_->TakeLost(now)) {
    held_.Release(worker, MustRegister{});
    Step(placement::WorkerLost{.worker = worker}, now);
  }
  EndRecoveryWhenComplete(now);
  Step(placement::Tick{}, now);
  WithdrawJobs(now);
  ReleaseAddressed(now);
  ReleaseDue(now);
}

bool PlacementController::EnsureAuthority(base::Instant now) {
  const std::optional<std::int64_t> epoch = options_.held_epoch(now);
  if (!epoch) {
    if (engine_)
      End("the lease is not held");
    return false;
  }
  if (engine_ && *epoch != epoch_)
    End("the lease was granted again with another epoch");
  if (!engine_)
    Begin(*epoch, now);
  return engine_.has_value();
}

void PlacementController::Begin(std::int64_t epoch, base::Instant now) {
  // No authority can have granted a longer lease. EndRecoveryWhenComplete()
  // ends the recovery earlier when a shorter bound is known.
  const auto recovery_period = std::chrono::duration_cast<base::Duration>(
      authority::LongestTaskLease(options_.report_limits) * 1.01);
  auto created = options_.cluster->Read(
      [&](const cluster::ClusterState& state)
          -> std::optional<std::variant<placement::Engine, base::Error>> {
        const auto* domain = FindDomain(state.configuration(), options_.domain);
        if (domain == nullptr)
          return std::nullopt;
        const placement::DomainStatusChanged status =
            StatusEvent(state.domain(options_.domain));
        placement::EngineOptions engine_options{
            .domain = *domain,
            .customers = state.configuration().customers,
            .status = status.status,
            .drain_mode = status.mode,
            .created_at = now,
            .attempt_base = epoch << kAttemptBits,
            .recovery_period = recovery_period};
        seen_configuration_ = state.configuration_revision();
        seen_domain_ = state.domain(options_.domain);
        configured_workers_ = cluster::CountWorkers(*domain);
        return base::Capture([&] {
          return placement::Engine::create(std::move(engine_options));
        });
      });
  if (!created)
    return;
  if (const auto* error = std::get_if<base::Error>(&*created)) {
    options_.event_log->Failure(
        base::EventNumber::kPlacementDecided,
        {{"decision", "engine_failed"}, {"reason", error->ToString()}});
    return;
  }
  engine_.emplace(std::move(std::get<placement::Engine>(*created)));
  leases_.emplace(options_.report_limits, now);
  retired_counts_ = 0;
  FollowLeases(now);
  workers_.emplace(
      WorkerTable::Options{.epoch = epoch, .lease = schedule_.lease});
  epoch_ = epoch;
  recovery_ = Recovery::kRunning;
  known_jobs_.Clear();
  former_jobs_ = FormerJobs::kUnknown;
  next_barrier_ = now;
  seen_change_ = 0;
  FollowCluster(now);
}

void PlacementController::End(std::string_view why) {
  options_.event_log->Info(
      base::EventNumber::kPlacementDecided,
      {{"decision", "engine_ended"}, {"epoch", epoch_}, {"reason", why}});
  held_.ReleaseAll(NotAuthority{});
  engine_.reset();
  workers_.reset();
  known_jobs_.Clear();
}

void PlacementController::FollowLeases(base::Instant now) {
  // Asked first: what it says of this host holds for the state read after it.
  std::optional<authority::AppliedRevisions> applied =
      options_.applied_revisions();
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    if (applied) {
      for (const auto& [host, revision] : state.stopped_hosts())
        (*applied)[host] = std::max((*applied)[host], revision);
    }
    leases_->Update({.counts = &state.worker_counts().counts(options_.domain),
                     .lists = &state.host_lists().lists(options_.domain),
                     .applied = std::move(applied)},
                    now);
  });
  schedule_ = leases_->schedule();
  if (workers_)
    workers_->set_lease(schedule_.lease);
  RetireWorkerCounts(now);
}

void PlacementController::RetireWorkerCounts(base::Instant now) {
  const std::optional<std::uint64_t> revision = leases_->RetirableRevision(now);
  if (!revision || *revision <= retired_counts_)
    return;
  retired_counts_ = *revision;
  outbox_.Add(cluster::RetireWorkerCounts{.domain = options_.domain,
                                          .revision = *revision});
}

void PlacementController::FollowCluster(base::Instant now) {
  const std::uint64_t change = options_.cluster->change_count();
  if (change == seen_change_)
    return;
  const std::uint64_t followed = std::exchange(seen_change_, change);
  std::optional<placement::GuaranteesChanged> guarantees;
  std::optional<placement::DomainStatusChanged> status;
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    if (state.configuration_revision() != seen_configuration_) {
      seen_configuration_ = state.configuration_revision();
      if (const auto* domain =
              FindDomain(state.configuration(), options_.domain)) {
        configured_workers_ = cluster::CountWorkers(*domain);
        guarantees = placement::GuaranteesChanged{
            .domain = *domain, .customers = state.configuration().customers};
      }
    }
    const cluster::DomainState domain = state.domain(options_.domain);
    if (domain != seen_domain_) {
      seen_domain_ = domain;
      status = StatusEvent(domain);
    }
  });
  if (guarantees)
    Step(*guarantees, now);
  if (status)
    Step(*status, now);
  FollowJobs(followed, now);
}

void PlacementController::FollowJobs(std::uint64_t followed,
                                     base::Instant now) {
  // The events are collected first: handling them reads the cluster state
  // again, and a shared lock must not be taken twice.
  const auto events = options_.cluster->ReadChanges(
      followed, [&](const cluster::ClusterState& state,
                    const std::optional<std::set<base::JobId>>& changed) {
        return changed ? known_jobs_.Follow(state, options_.domain, *changed)
                       : known_jobs_.FollowAll(state, options_.domain);
      });
  for (const placement::Event& event : events)
    Step(event, now);
}

// The former authority stopped acting before this one began, so every
// assignment that it can have applied was committed before the barrier.
void PlacementController::AskForFormerJobs(base::Instant now) {
  if (recovery_ == Recovery::kEnded || former_jobs_ != FormerJobs::kUnknown ||
      now < next_barrier_)
    return;
  former_jobs_ = FormerJobs::kAsked;
  next_barrier_ = now + kBarrierInterval;
  options_.read_barrier([this, epoch = epoch_](bool reached) {
    FinishFormerJobs(epoch, reached);
  });
}

void PlacementController::FinishFormerJobs(std::int64_t epoch, bool reached) {
  std::lock_guard lock(mutex_);
  // The answer may be to a question of an earlier authority on this host.
  if (!engine_ || epoch != epoch_ || former_jobs_ != FormerJobs::kAsked)
    return;
  former_jobs_ = reached ? FormerJobs::kKnown : FormerJobs::kUnknown;
  if (!reached)
    return;
  FollowJobs(seen_change_, base::MonotonicClock::now());
  known_jobs_.SawFormerAssignments();
}

void PlacementController::EndRecoveryWhenComplete(base::Instant now) {
  if (recovery_ == Recovery::kEnded)
    return;
  // When every worker has reported on which a former authority can have started
  // tasks there is nothing to wait for.
  const std::uint64_t workers =
      std::max(configured_workers_, leases_->most_workers());
  const bool complete = configured_workers_ > 0 && workers_->size() >= workers;
  if (!complete && !leases_->FormerLeasesEnded(now))
    return;
  recovery_ = Recovery::kEnded;
  Step(placement::RecoveryEnded{}, now);
}

void PlacementController::WithdrawJobs(base::Instant now) {
  if (now < next_withdrawal_)
    return;
  next_withdrawal_ = now + kWithdrawalInterval;
  cluster::WithdrawalInput input{.domain = options_.domain,
                                 .reachable = options_.reachable_domains()};
  if (!cluster::MayWithdraw(input))
    return;
  // All waiting jobs get their turn, since later ones may fit where the first
  // do not.
  placement::WaitingPage page =
      engine_->waiting_jobs({.minimum_wait = cluster::kWithdrawAfter,
                             .after = withdrawal_turn_,
                             .limit = kWithdrawalCandidates});
  withdrawal_turn_ = page.next;
  input.waiting = std::move(page.jobs);
  if (input.waiting.empty())
    return;
  const auto plan =
      options_.cluster->Read([&](const cluster::ClusterState& state) {
        return cluster::PlanWithdrawals(state, input);
      });
  for (const cluster::PlannedWithdrawal& planned : plan)
    Step(placement::JobWithdrawn{.job = planned.job, .why = planned.why}, now);
}

void PlacementController::Step(const placement::Event& event,
                               base::Instant now) {
  for (const placement::Decision& decision : engine_->Step(event, now))
    CarryOut(decision);
}

std::optional<placement::Explanation> PlacementController::Explain(
    const base::JobId& job) const {
  std::lock_guard lock(mutex_);
  return engine_ ? engine_->Explain(job) : std::nullopt;
}

std::optional<placement::CapacityView> PlacementController::capacity() const {
  std::lock_guard lock(mutex_);
  if (!engine_)
    return std::nullopt;
  return engine_->capacity();
}

std::vector<placement::WorkerView> PlacementController::workers() const {
  std::lock_guard lock(mutex_);
  return engine_ ? engine_->workers() : std::vector<placement::WorkerView>();
}

std::vector<placement::CustomerView> PlacementController::customers() const {
  std::lock_guard lock(mutex_);
  return engine_ ? engine_->customers()
                 : std::vector<placement::CustomerView>();
}

std::vector<placement::JobView> PlacementController::jobs() const {
  std::lock_guard lock(mutex_);
  return engine_ ? engine_->jobs() : std::vector<placement::JobView>();
}

std::optional<placement::DrainPreview> PlacementController::PreviewDrain()
    const {
  std::lock_guard lock(mutex_);
  if (!engine_)
    return std::nullopt;
  return engine_->PreviewDrain(placement::DrainMode::kRelease);
}

}  // namespace wigeonstair::control
