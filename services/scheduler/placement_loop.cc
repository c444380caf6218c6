#include "services/scheduler/placement_loop.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wigeonstair::scheduler {

namespace {

// Between rounds without an event, for timeouts and due times.
constexpr base::Duration kRoundInterval = std::chrono::milliseconds(50);
// Collects the events of one round.
constexpr base::Duration kRoundDelay = std::chrono::milliseconds(2);
constexpr base::Duration kProposeTimeout = std::chrono::milliseconds(2500);
// How long the state of a job can be read after it has ended, with a reserve
// for clocks that differ.
constexpr std::uint64_t kKeepEndedMs = 180'000;
constexpr base::Duration kForgetInterval = std::chrono::seconds(30);

std::string TaskText(const jobs::TaskRef& task) {
  return task.job.value() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

}  // namespace

PlacementLoop::PlacementLoop(PlacementLoopOptions options)
    : options_(std::move(options)),
      dispatcher_(options_.jobs->store(), options_.dispatcher),
      round_time_(
          options_.counters->histogram("wigeonstair_scheduler_round_seconds")),
      start_call_time_(
          options_.counters->histogram("wigeonstair_start_call_seconds")),
      starts_(options_.counters->counter("wigeonstair_starts_total")),
      refused_starts_(
          options_.counters->counter("wigeonstair_starts_refused_total")),
      waiting_tasks_(options_.counters->gauge("wigeonstair_waiting_tasks")),
      runs_(options_.counters->gauge("wigeonstair_runs")) {}

void PlacementLoop::Start(consensus::ReplicaRuntime& replica) {
  replica_ = &replica;
  options_.loop->ScheduleEvery(kRoundInterval, [this] { Round(); });
}

void PlacementLoop::ScheduleRound() {
  if (round_posted_.exchange(true))
    return;
  options_.loop->Schedule(kRoundDelay, [this] {
    round_posted_ = false;
    Round();
  });
}

jobs::Now PlacementLoop::Time() const {
  return {.instant = base::MonotonicClock::now(),
          .wall_ms = static_cast<std::uint64_t>(base::WallClockNow().count())};
}

bool PlacementLoop::HoldsLease(std::uint64_t term) const {
  const consensus::ReplicaStatus status = replica_->status();
  return status.role == consensus::Role::kLeader && status.term == term &&
         status.since_leader_contact &&
         *status.since_leader_contact < options_.leader_lease;
}

bool PlacementLoop::Leads() const {
  return led_term_ != 0 && HoldsLease(led_term_);
}

void PlacementLoop::FollowRole() {
  const consensus::ReplicaStatus status = replica_->status();
  const bool leader = status.role == consensus::Role::kLeader;
  if (led_term_ != 0 && (!leader || status.term != led_term_))
    Resign(leader ? "new_term" : "not_leader");
  if (leader && led_term_ == 0 && tried_term_ != status.term)
    BeginTerm(status.term);
}

// The command is committed in the own term, so everything that was committed
// before is applied when it returns.
void PlacementLoop::BeginTerm(std::uint64_t term) {
  tried_term_ = term;
  replica_->Propose(
      jobs::EncodeCommand(jobs::TakeOver{.term = term}), kProposeTimeout,
      [this, term](const consensus::ProposeOutcome& outcome) {
        options_.loop->Post(
            [this, term, done = std::holds_alternative<std::string>(outcome)] {
              if (!done) {
                tried_term_ = 0;
                return;
              }
              if (!HoldsLease(term))
                return;
              led_term_ = term;
              With([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
                dispatcher.Lead(term, Time());
              });
              options_.log->Info(base::EventNumber::kLeadershipTaken,
                                 {{"term", term}});
              ScheduleRound();
            });
      },
      consensus::WithoutLeader::kRefuse);
}

void PlacementLoop::Resign(std::string_view reason) {
  options_.log->Info(base::EventNumber::kLeadershipLost,
                     {{"term", led_term_}, {"reason", reason}});
  led_term_ = 0;
  tried_term_ = 0;
  With([](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
    dispatcher.Resign();
  });
}

void PlacementLoop::Round() {
  FollowRole();
  if (!Leads())
    return;
  const jobs::Now now = Time();
  std::vector<jobs::Action> actions;
  std::vector<jobs::Decision> decisions;
  With([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
    dispatcher.Tick(now);
    actions = dispatcher.TakeActions();
    decisions = dispatcher.TakeDecisions();
    waiting_tasks_.Set(static_cast<std::int64_t>(dispatcher.waiting_tasks()));
    runs_.Set(static_cast<std::int64_t>(dispatcher.run_count()));
  });
  round_time_.Record(base::MonotonicClock::now() - now.instant);
  for (const jobs::Decision& decision : decisions)
    Log(decision);
  for (const jobs::Action& action : actions)
    CarryOut(action);
  if (now.instant - last_forget_ > kForgetInterval) {
    last_forget_ = now.instant;
    if (now.wall_ms > kKeepEndedMs) {
      CarryOut(jobs::ProposeAction{
          .command =
              jobs::ForgetJobs{.ended_before_ms = now.wall_ms - kKeepEndedMs}});
    }
  }
}

void PlacementLoop::CarryOut(const jobs::Action& action) {
  std::visit([this](const auto& chosen) { CarryOut(chosen); }, action);
}

// A process that was frozen must not act on a lease that ran out meanwhile, so
// each call looks at it again.
void PlacementLoop::CarryOut(const jobs::StartAction& action) {
  const base::Instant sent_at = base::MonotonicClock::now();
  const auto done = [this, action, sent_at](const jobs::CallAnswer& answer) {
    options_.loop->Post([this, action, answer, sent_at] {
      start_call_time_.Record(base::MonotonicClock::now() - sent_at);
      if (answer.result == jobs::CallResult::kNoCapacity)
        refused_starts_.Add();
      With([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        dispatcher.OnStartAnswer(action, answer, Time());
      });
      ScheduleRound();
    });
  };
  if (!HoldsLease(action.fencing_token))
    return done({.result = jobs::CallResult::kNotSent});
  starts_.Add();
  options_.workers->Start(action, done);
}

void PlacementLoop::CarryOut(const jobs::StopAction& action) {
  const auto done = [this, action](const jobs::CallAnswer& answer) {
    options_.loop->Post([this, action, answer] {
      With([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        dispatcher.OnStopAnswer(action, answer, Time());
      });
      ScheduleRound();
    });
  };
  if (!HoldsLease(action.fencing_token))
    return done({.result = jobs::CallResult::kNotSent});
  options_.workers->Stop(action, done);
}

void PlacementLoop::CarryOut(const jobs::HoldAction& action) {
  const base::Instant sent_at = base::MonotonicClock::now();
  const auto done = [this, action, sent_at](jobs::HoldAnswer answer) {
    options_.loop->Post([this, action, sent_at, answer = std::move(answer)] {
      if (answer.lists && answer.lists->malformed_rows > 0) {
        options_.log->Warning(base::EventNumber::kWorkerRowsUnreadable,
                              {{"worker", action.worker.id.value()},
                               {"rows", answer.lists->malformed_rows}});
      }
      With([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        dispatcher.OnHoldAnswer(action, sent_at, answer, Time());
      });
      ScheduleRound();
    });
  };
  if (!HoldsLease(action.fencing_token))
    return done({});
  options_.workers->Hold(action, done);
}

void PlacementLoop::CarryOut(const jobs::ProposeAction& action) {
  replica_->Propose(
      jobs::EncodeCommand(action.command), kProposeTimeout,
      [this, id = action.id](const consensus::ProposeOutcome& outcome) {
        const auto* result = std::get_if<std::string>(&outcome);
        options_.loop->Post([this, id, committed = result != nullptr] {
          With([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
            dispatcher.OnProposed(id, committed, Time());
          });
          ScheduleRound();
        });
      },
      consensus::WithoutLeader::kRefuse);
}

void PlacementLoop::Log(const jobs::Decision& decision) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(decision.input_age);
  options_.log->Info(base::EventNumber::kRunDecided,
                     {{"request", decision.task.job.value()},
                      {"task", TaskText(decision.task)},
                      {"attempt", decision.attempt},
                      {"decision", decision.kind},
                      {"worker", decision.worker.value()},
                      {"reason", decision.reason},
                      {"input_age_ms", age.count()},
                      {"term", led_term_}});
}

}  // namespace wigeonstair::scheduler
