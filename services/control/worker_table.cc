#include "services/control/worker_table.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::control {

namespace {

using placement::ReportedState;

// Epochs are at least the milliseconds of the wall clock, so ids of two epochs
// stay apart as long as fewer than 1,024 directives leave in a millisecond. The
// ids stay below 2^53 and are exact in JSON numbers.
constexpr int kDirectiveBits = 10;

// A renewal has no effect when it is repeated, so all of them share an id.
constexpr std::int64_t kRenewalId = 0;

bool Ends(ReportedState state) {
  return state == ReportedState::kStopped ||
         state == ReportedState::kFinished || state == ReportedState::kFailed;
}

bool MakesSomethingRun(DirectiveKind kind) {
  return kind == DirectiveKind::kPrepare || kind == DirectiveKind::kStart;
}

bool MayLeave(DirectiveKind kind, StartPermission permission) {
  if (permission == StartPermission::kWithdrawn)
    return false;
  return permission == StartPermission::kGranted || !MakesSomethingRun(kind);
}

bool Withdraws(DirectiveKind kind) {
  return kind == DirectiveKind::kStop || kind == DirectiveKind::kAbort;
}

std::optional<placement::Event> EventOf(const placement::ReportedTask& task) {
  switch (task.state) {
    case ReportedState::kPrepared:
      return placement::TaskPrepared{.task = task.key};
    case ReportedState::kRunning:
      return placement::TaskStarted{.task = task.key};
    case ReportedState::kCheckpointing:
      return std::nullopt;
    case ReportedState::kStopped:
      return placement::TaskStopped{.task = task.key};
    case ReportedState::kFinished:
      return placement::TaskFinished{.task = task.key};
    case ReportedState::kFailed:
      return placement::TaskFailed{.task = task.key};
  }
  return std::nullopt;
}

}  // namespace

WorkerTable::WorkerTable(Options options)
    : options_(options),
      lease_(options.lease),
      next_directive_(options.epoch << kDirectiveBits) {}

bool WorkerTable::Register(const WorkerRegistration& registration,
                           base::Instant now) {
  Session& session = sessions_[registration.worker];
  if (registration.incarnation < session.incarnation)
    return false;
  session = Session{.incarnation = registration.incarnation,
                    .sequence = registration.sequence,
                    .heard_at = now};
  for (const placement::ReportedTask& task : registration.tasks) {
    if (!Ends(task.state))
      session.tasks[task.key] = task;
  }
  RenewLease(session);
  return true;
}

std::optional<std::vector<placement::Event>> WorkerTable::Report(
    const WorkerReport& report,
    base::Instant now) {
  const auto found = sessions_.find(report.worker);
  if (found == sessions_.end() ||
      found->second.incarnation != report.incarnation)
    return std::nullopt;
  Session& session = found->second;
  std::vector<placement::Event> events;
  // A report that arrives late or twice was taken into account already; its
  // tasks may be older than what is known.
  if (report.sequence >= session.sequence) {
    session.heard_at = now;
    MarkLostDirectives(session, report);
  }
  if (report.sequence > session.sequence) {
    session.sequence = report.sequence;
    AddChanges(session, report, events);
    AddCompletions(session, report, events);
  }
  if (report.usage) {
    events.push_back(placement::WorkerUsageReported{
        .worker = report.worker,
        .cores = report.usage->cores,
        .memory_megabytes = report.usage->memory_megabytes,
        .measured_at = now - report.usage->age});
  }
  const auto known = static_cast<std::int64_t>(session.tasks.size());
  session.wanted_scope = report.task_count == known ? ReportScope::kChanges
                                                    : ReportScope::kAllTasks;
  return events;
}

void WorkerTable::AddChanges(Session& session,
                             const WorkerReport& report,
                             std::vector<placement::Event>& events) {
  if (report.scope == ReportScope::kAllTasks) {
    session.tasks.clear();
    events.push_back(placement::WorkerReported{.worker = report.worker,
                                               .tasks = report.tasks});
  }
  for (const placement::ReportedTask& task : report.tasks) {
    const auto known = session.tasks.find(task.key);
    const bool is_new = known == session.tasks.end();
    const std::int64_t checkpoint =
        is_new ? 0 : known->second.checkpoint_milliseconds;
    const bool changed = is_new || known->second.state != task.state;
    if (report.scope == ReportScope::kChanges) {
      if (task.checkpoint_milliseconds > checkpoint) {
        events.push_back(placement::CheckpointDone{
            .task = task.key,
            .progress_milliseconds = task.checkpoint_milliseconds});
      }
      if (auto event = EventOf(task); changed && event)
        events.push_back(std::move(*event));
    }
    if (Ends(task.state))
      session.tasks.erase(task.key);
    else
      session.tasks[task.key] = task;
  }
}

void WorkerTable::AddCompletions(Session& session,
                                 const WorkerReport& report,
                                 std::vector<placement::Event>& events) {
  for (std::int64_t id : report.completed) {
    const auto found = session.directives.find(id);
    if (found == session.directives.end())
      continue;
    // A worker that never had the task has nothing to report about it, so the
    // completion of a stop stands for the state.
    if (Withdraws(found->second.directive.kind)) {
      session.tasks.erase(found->second.directive.task);
      events.push_back(
          placement::TaskStopped{.task = found->second.directive.task});
    }
    session.directives.erase(found);
  }
}

// A worker that got an answer executes its directives without a repetition; it
// reports them as completed when they are, which may take as long as a
// checkpoint.
void WorkerTable::MarkLostDirectives(Session& session,
                                     const WorkerReport& report) {
  if (!report.answered_sequence)
    return;
  for (auto& [id, pending] : session.directives) {
    if (pending.sent == PendingDirective::Sent::kYes &&
        pending.sent_sequence > *report.answered_sequence)
      pending.sent = PendingDirective::Sent::kLost;
  }
}

bool WorkerTable::IsNewest(const WorkerReport& report) const {
  const auto found = sessions_.find(report.worker);
  return found != sessions_.end() && report.sequence >= found->second.sequence;
}

bool WorkerTable::NeedsAnswer(const base::WorkerId& worker,
                              StartPermission permission) const {
  const auto found = sessions_.find(worker);
  if (found == sessions_.end())
    return true;
  const Session& session = found->second;
  if (session.answered == Session::Answered::kNo ||
      session.wanted_scope == ReportScope::kAllTasks)
    return true;
  return std::any_of(session.directives.begin(), session.directives.end(),
                     [&](const auto& entry) {
                       const PendingDirective& pending = entry.second;
                       return pending.sent != PendingDirective::Sent::kYes &&
                              MayLeave(pending.directive.kind, permission);
                     });
}

ReportAnswer WorkerTable::Answer(const base::WorkerId& worker,
                                 StartPermission permission) {
  ReportAnswer answer = AnswerReplaced(worker, permission);
  Session& session = sessions_[worker];
  session.answered = Session::Answered::kYes;
  answer.wanted_scope = session.wanted_scope;
  for (auto& [id, pending] : session.directives) {
    if (!MayLeave(pending.directive.kind, permission))
      continue;
    pending.sent = PendingDirective::Sent::kYes;
    pending.sent_sequence = session.sequence;
    answer.directives.push_back(pending.directive);
  }
  return answer;
}

ReportAnswer WorkerTable::AnswerReplaced(const base::WorkerId& worker,
                                         StartPermission permission) {
  Session& session = sessions_[worker];
  ReportAnswer answer{.epoch = options_.epoch,
                      .acknowledged_sequence = session.sequence,
                      .lease = lease_};
  // Leases that are not renewed run out: other domains count on it.
  if (permission == StartPermission::kWithdrawn)
    return answer;
  RenewLease(session);
  answer.directives.push_back(Directive{.id = kRenewalId,
                                        .epoch = options_.epoch,
                                        .kind = DirectiveKind::kRenew});
  return answer;
}

void WorkerTable::Send(const base::WorkerId& worker, Directive directive) {
  const auto found = sessions_.find(worker);
  if (found == sessions_.end())
    return;
  Session& session = found->second;
  if (Withdraws(directive.kind)) {
    std::erase_if(session.directives, [&](const auto& entry) {
      return entry.second.sent == PendingDirective::Sent::kNo &&
             entry.second.directive.task == directive.task;
    });
  }
  directive.id = ++next_directive_;
  directive.epoch = options_.epoch;
  session.directives.emplace(
      next_directive_, PendingDirective{.directive = std::move(directive)});
  addressed_.insert(worker);
}

std::set<base::WorkerId> WorkerTable::TakeAddressed() {
  return std::exchange(addressed_, {});
}

std::vector<base::WorkerId> WorkerTable::TakeLost(base::Instant now) {
  std::vector<base::WorkerId> lost;
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    if (now < session->second.lease_end) {
      ++session;
      continue;
    }
    lost.push_back(session->first);
    session = sessions_.erase(session);
  }
  return lost;
}

// The worker counts the lease from when it sent the report, which is before the
// report arrived here, however long the answer was held.
void WorkerTable::RenewLease(Session& session) const {
  const auto with_drift = std::chrono::duration_cast<base::Duration>(
      lease_ * (1.0 + options_.clock_drift));
  session.lease_end =
      std::max(session.lease_end, session.heard_at + with_drift);
}

}  // namespace wigeonstair::control
