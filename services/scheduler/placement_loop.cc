#include "services/scheduler/placement_loop.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wigeonstair::scheduler {

namespace {

// Interval of the periodic rounds, which handle timeouts and due times when no
// event triggers a round.
constexpr base::Duration kRoundInterval = std::chrono::milliseconds(50);
// Delay after the first event, so that one round handles a batch of events.
constexpr base::Duration kRoundDelay = std::chrono::milliseconds(2);
constexpr base::Duration kProposeTimeout = std::chrono::milliseconds(2500);
// How long the state of a job can be read after it has ended, including a
// margin for clock differences between hosts.
constexpr std::uint64_t kEndedJobRetentionMs = 180'000;
constexpr base::Duration kJobRemovalInterval = std::chrono::seconds(30);
// Interval of the gauges of waiting steps and unused workers.
constexpr base::Duration kPublicationInterval = std::chrono::seconds(1);

std::string FormatTask(const jobs::TaskRef& task) {
  return task.job.value() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string FormatMilliseconds(const std::optional<base::Duration>& duration) {
  if (!duration)
    return "unknown";
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count());
}

// The text as the value of a label of a counter.
std::string LabelValue(std::string_view text) {
  std::string value;
  for (const char c : text) {
    if (c == '"' || c == '\\')
      value += '\\';
    if (c == '\n')
      value += "\\n";
    else
      value += c;
  }
  return value;
}

}  // namespace

PlacementLoop::PlacementLoop(PlacementLoopOptions options)
    : options_(std::move(options)),
      dispatcher_(options_.jobs->store(), options_.dispatcher),
      round_latency_(
          options_.counters->histogram("wigeonstair_scheduler_round_seconds")),
      start_call_latency_(
          options_.counters->histogram("wigeonstair_start_call_seconds")),
      starts_(options_.counters->counter("wigeonstair_starts_total")),
      refused_starts_(
          options_.counters->counter("wigeonstair_starts_refused_total")),
      unexpected_runs_(
          options_.counters->counter("wigeonstair_unexpected_runs_total")),
      unreadable_rows_(
          options_.counters->counter("wigeonstair_unreadable_rows_total")),
      foreign_rows_(
          options_.counters->counter("wigeonstair_foreign_rows_total")),
      waiting_tasks_(options_.counters->gauge("wigeonstair_waiting_tasks")),
      runs_(options_.counters->gauge("wigeonstair_runs")) {}

void PlacementLoop::Start(consensus::ReplicaRuntime& replica) {
  replica_ = &replica;
  options_.loop->ScheduleEvery(kRoundInterval, [this] {
    UpdateLeadership();
    ScheduleRound();
  });
}

void PlacementLoop::ScheduleRound() {
  if (round_posted_.exchange(true))
    return;
  options_.loop->Schedule(kRoundDelay, [this] { RunPostedRound(); });
}

void PlacementLoop::RunPostedRound() {
  const base::Duration wait =
      pacer_.TimeUntilNextRound(base::MonotonicClock::now());
  if (wait > base::Duration::zero()) {
    options_.loop->Schedule(wait, [this] { RunPostedRound(); });
    return;
  }
  round_posted_ = false;
  RunRound();
}

jobs::Now PlacementLoop::CurrentTime() const {
  return {.instant = base::MonotonicClock::now(),
          .wall_ms = static_cast<std::uint64_t>(base::WallClockNow().count())};
}

bool PlacementLoop::HasLease(std::uint64_t term) const {
  const consensus::ReplicaStatus status = replica_->status();
  return status.role == consensus::Role::kLeader && status.term == term &&
         status.since_leader_contact &&
         *status.since_leader_contact < options_.leader_lease;
}

bool PlacementLoop::IsLeader() const {
  return led_term_ != 0 && HasLease(led_term_);
}

void PlacementLoop::UpdateLeadership() {
  const consensus::ReplicaStatus status = replica_->status();
  const bool leader = status.role == consensus::Role::kLeader;
  if (led_term_ != 0 && (!leader || status.term != led_term_))
    Resign(leader ? "new_term" : "not_leader");
  if (leader && led_term_ == 0 && attempted_term_ != status.term)
    BeginTerm(status.term);
}

// TakeOver is committed in this host's own term, so every command that was
// committed before it has been applied when the proposal completes.
void PlacementLoop::BeginTerm(std::uint64_t term) {
  attempted_term_ = term;
  replica_->Propose(
      jobs::EncodeCommand(jobs::TakeOver{.term = term}), kProposeTimeout,
      [this, term](const consensus::ProposeOutcome& outcome) {
        options_.loop->Post(
            [this, term, done = std::holds_alternative<std::string>(outcome)] {
              if (!done) {
                attempted_term_ = 0;
                return;
              }
              if (!HasLease(term)) {
                // The next round tries again when the lease is back.
                attempted_term_ = 0;
                return;
              }
              led_term_ = term;
              load_ = {};
              last_publication_ = base::MonotonicClock::now();
              WithDispatcher(
                  [&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
                    dispatcher.Lead(term, options_.jobs->placements(),
                                    CurrentTime());
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
  attempted_term_ = 0;
  WithDispatcher([](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
    dispatcher.Resign();
  });
}

void PlacementLoop::RunRound() {
  UpdateLeadership();
  if (!IsLeader())
    return;
  const jobs::Now now = CurrentTime();
  std::vector<jobs::Action> actions;
  std::vector<jobs::Decision> decisions;
  WithDispatcher([&](jobs::Dispatcher& dispatcher,
                     const jobs::JobStore& store) {
    dispatcher.Tick(now);
    actions = dispatcher.TakeActions();
    decisions = dispatcher.TakeDecisions();
    waiting_tasks_.Set(static_cast<std::int64_t>(dispatcher.waiting_tasks()));
    runs_.Set(static_cast<std::int64_t>(dispatcher.run_count()));
    foreign_rows_.Add(dispatcher.TakeForeignRows());
    if (now.instant - last_publication_ > kPublicationInterval) {
      PublishLoad(dispatcher, now);
      PublishRunTimes(store.run_times());
    }
  });
  round_latency_.Record(base::MonotonicClock::now() - now.instant);
  for (const jobs::Decision& decision : decisions)
    LogDecision(decision);
  for (const jobs::Action& action : actions)
    Execute(action);
  if (now.instant - last_job_removal_ > kJobRemovalInterval) {
    last_job_removal_ = now.instant;
    if (now.wall_ms > kEndedJobRetentionMs) {
      Execute(jobs::ProposeAction{
          .command = jobs::ForgetJobs{.ended_before_ms =
                                          now.wall_ms - kEndedJobRetentionMs}});
    }
  }
  const base::Instant ended_at = base::MonotonicClock::now();
  const base::Duration took = ended_at - now.instant;
  pacer_.RecordRound(ended_at, took);
  ++load_.rounds;
  load_.total += took;
  load_.longest = std::max(load_.longest, took);
}

void PlacementLoop::PublishLoad(const jobs::Dispatcher& dispatcher,
                                const jobs::Now& now) {
  if (load_.rounds > 0) {
    options_.log->Info(base::EventNumber::kLeaderLoad,
                       {{"term", led_term_},
                        {"span_us", (now.instant - last_publication_).count()},
                        {"rounds", load_.rounds},
                        {"rounds_us", load_.total.count()},
                        {"longest_us", load_.longest.count()},
                        {"waiting_tasks", dispatcher.waiting_tasks()},
                        {"runs", dispatcher.run_count()}});
  }
  load_ = {};
  last_publication_ = now.instant;
  PublishReasons("wigeonstair_waiting_steps", dispatcher.waiting_steps());
  PublishReasons("wigeonstair_unused_workers", dispatcher.unused_workers());
  PublishCustomers(dispatcher);
}

void PlacementLoop::PublishCustomers(const jobs::Dispatcher& dispatcher) {
  const auto publish = [this](const std::string& name,
                              const base::CustomerId& customer,
                              const jobs::Resources& resources) {
    const auto set = [&](const char* resource, std::uint64_t amount) {
      options_.counters
          ->gauge(name + "{customer=\"" + LabelValue(customer.value()) +
                  "\",resource=\"" + resource + "\"}")
          .Set(static_cast<std::int64_t>(amount));
    };
    set("millicores", resources.cpu);
    set("memory_mb", resources.memory_mb);
    set("accelerators", resources.accelerators);
  };
  for (const auto& [customer, cap] : dispatcher.caps().all())
    published_customers_.insert(customer);
  for (const base::CustomerId& customer : published_customers_) {
    const jobs::Resources* cap = dispatcher.caps().Find(customer);
    publish("wigeonstair_customer_cap", customer,
            cap == nullptr ? jobs::Resources{} : *cap);
    publish("wigeonstair_customer_in_use", customer,
            dispatcher.accounts().InUse(customer));
  }
}

void PlacementLoop::PublishRunTimes(const jobs::RunTimeModel& model) {
  constexpr double kPercent = 100;
  const auto set = [&](const char* name, double value) {
    options_.counters->gauge(name).Set(static_cast<std::int64_t>(value));
  };
  set("wigeonstair_run_time_keys", static_cast<double>(model.size()));
  set("wigeonstair_run_time_samples", static_cast<double>(model.samples()));
  set("wigeonstair_run_time_error_percent{of=\"expected\"}",
      kPercent * (model.ExpectationError() - 1));
  set("wigeonstair_run_time_error_percent{of=\"declared\"}",
      kPercent * (model.DeclarationError() - 1));
}

void PlacementLoop::PublishReasons(
    const std::string& name,
    const std::map<std::string_view, std::size_t>& counts) {
  for (const auto& [key, gauge] : reason_gauges_) {
    if (key.first == name)
      gauge->Set(0);
  }
  for (const auto& [reason, count] : counts) {
    base::Gauge*& gauge = reason_gauges_[{name, std::string(reason)}];
    if (gauge == nullptr) {
      gauge = &options_.counters->gauge(name + "{reason=\"" +
                                        std::string(reason) + "\"}");
    }
    gauge->Set(static_cast<std::int64_t>(count));
  }
}

void PlacementLoop::Execute(const jobs::Action& action) {
  std::visit([this](const auto& chosen) { Execute(chosen); }, action);
}

// A process that was suspended must not act on a lease that expired in the
// meantime, so the lease is checked again before each call.
void PlacementLoop::Execute(const jobs::StartAction& action) {
  const base::Instant sent_at = base::MonotonicClock::now();
  const auto done = [this, action, sent_at](const jobs::CallAnswer& answer) {
    options_.loop->Post([this, action, answer, sent_at] {
      start_call_latency_.Record(base::MonotonicClock::now() - sent_at);
      if (answer.result == jobs::CallResult::kNoCapacity)
        refused_starts_.Add();
      WithDispatcher([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        dispatcher.OnStartAnswer(action, answer, CurrentTime());
      });
      ScheduleRound();
    });
  };
  if (!HasLease(action.term) || sent_at > action.send_by)
    return done({.result = jobs::CallResult::kNotSent});
  starts_.Add();
  options_.workers->Start(action, done);
}

void PlacementLoop::Execute(const jobs::StopAction& action) {
  const auto done = [this, action](const jobs::CallAnswer& answer) {
    options_.loop->Post([this, action, answer] {
      WithDispatcher([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        dispatcher.OnStopAnswer(action, answer, CurrentTime());
      });
      ScheduleRound();
    });
  };
  if (!HasLease(action.term))
    return done({.result = jobs::CallResult::kNotSent});
  options_.workers->Stop(action, done);
}

void PlacementLoop::Execute(const jobs::HoldAction& action) {
  const base::Instant sent_at = base::MonotonicClock::now();
  const auto done = [this, action, sent_at](jobs::HoldAnswer answer) {
    options_.loop->Post([this, action, sent_at, answer = std::move(answer)] {
      if (answer.lists && answer.lists->malformed_rows > 0) {
        unreadable_rows_.Add(answer.lists->malformed_rows);
        options_.log->Warning(base::EventNumber::kWorkerRowsUnreadable,
                              {{"worker", action.worker.id.value()},
                               {"rows", answer.lists->malformed_rows}});
      }
      WithDispatcher([&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        dispatcher.OnHoldAnswer(action, sent_at, answer, CurrentTime());
      });
      ScheduleRound();
    });
  };
  if (!HasLease(action.term))
    return done({});
  options_.workers->Hold(action, done);
}

void PlacementLoop::Execute(const jobs::ProposeAction& action) {
  replica_->Propose(
      jobs::EncodeCommand(action.command), kProposeTimeout,
      [this, id = action.id](const consensus::ProposeOutcome& outcome) {
        const auto* result = std::get_if<std::string>(&outcome);
        options_.loop->Post([this, id, committed = result != nullptr] {
          WithDispatcher(
              [&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
                dispatcher.OnProposed(id, committed, CurrentTime());
              });
          ScheduleRound();
        });
      },
      consensus::WithoutLeader::kRefuse);
}

void PlacementLoop::LogDecision(const jobs::Decision& decision) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(decision.input_age);
  if (decision.kind == "found")
    unexpected_runs_.Add();
  options_.log->Info(
      base::EventNumber::kRunDecided,
      {{"request", decision.task.job.value()},
       {"task", FormatTask(decision.task)},
       {"attempt", decision.attempt},
       {"decision", decision.kind},
       {"worker", decision.worker.id.value()},
       {"reason", decision.reason},
       {"input_age_ms", age.count()},
       {"term", led_term_},
       {"born", decision.worker.born},
       {"starts_sent", decision.starts_sent},
       {"lease_left_ms", FormatMilliseconds(decision.lease_left)},
       {"expected_ms", static_cast<std::uint64_t>(decision.expected_ms)},
       {"expected_from", decision.expected_from}});
}

}  // namespace wigeonstair::scheduler
