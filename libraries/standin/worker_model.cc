#include "standin/worker_model.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "tools/json_view.h"

namespace wigeonstair::standin {

namespace {

using settings::Value;

// More than an authority has in flight for one worker.
constexpr std::size_t kRememberedDirectives = 4096;
// Unanswered reports are forgotten beyond this number; their changes are then
// sent again.
constexpr std::size_t kRememberedReports = 64;

std::int64_t Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// The number after "name=" in a payload such as "run_ms=500 fail_at_ms=100".
std::optional<std::int64_t> PayloadNumber(std::string_view payload,
                                          std::string_view name) {
  const auto position = payload.find(name);
  if (position == std::string_view::npos)
    return std::nullopt;
  const char* begin = payload.data() + position + name.size();
  std::int64_t number = 0;
  const auto result =
      std::from_chars(begin, payload.data() + payload.size(), number);
  return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

// A payload may say how long the task truly runs, since declared run times
// can be far off.
base::Duration TrueRun(const Directive& directive, double factor) {
  if (const auto run = PayloadNumber(directive.payload, "run_ms="))
    return std::chrono::milliseconds(*run);
  return std::chrono::duration_cast<base::Duration>(directive.run * factor);
}

}  // namespace

Value WorkerModel::TaskToValue(const TaskName& name, const Task& task) const {
  Value value = Value::Mapping();
  value.Add("job", Value::Text(name.job))
      .Add("index", Value::Number(name.index))
      .Add("attempt", Value::Number(name.attempt))
      .Add("state", Value::Text(std::string(TaskStateName(task.state))))
      .Add("accelerators", tools::ListOfIntegers(task.accelerators))
      .Add("progress_ms", Value::Number(Milliseconds(task.progress)))
      .Add("checkpoint_ms", Value::Number(Milliseconds(task.checkpoint)));
  if (!task.result.empty())
    value.Add("result", Value::Text(task.result));
  return value;
}

Value WorkerModel::Registration() const {
  Value tasks = Value::Sequence();
  for (const auto& [name, task] : tasks_)
    tasks.items.push_back(TaskToValue(name, task));
  return Value::Mapping()
      .Add("domain", Value::Text(options_.domain))
      .Add("rack", Value::Text(options_.rack))
      .Add("cores", Value::Number(options_.cores))
      .Add("memory_mb", Value::Number(options_.memory_megabytes))
      .Add("accelerators", Value::Number(options_.accelerators))
      .Add("incarnation", Value::Number(options_.incarnation))
      .Add("epoch", Value::Number(epoch_))
      .Add("sequence", Value::Number(sequence_))
      .Add("tasks", std::move(tasks));
}

void WorkerModel::OnRegistered(const RegistrationAnswer& answer) {
  epoch_ = std::max(epoch_, answer.epoch);
  // A new authority knows no sequence numbers of ours, but the registration
  // held only the states; ended tasks are reported once more.
  acknowledged_change_ = 0;
  change_of_sequence_.clear();
}

Value WorkerModel::NextReport(base::Instant now, base::Duration wait) {
  MeasureUsage(now);
  const bool full = std::exchange(full_report_, false);
  Value tasks = Value::Sequence();
  std::int64_t count = 0;
  for (const auto& [name, task] : tasks_) {
    if (!HasEnded(task.state))
      ++count;
    if (full || task.change > acknowledged_change_)
      tasks.items.push_back(TaskToValue(name, task));
  }
  Value completed = Value::Sequence();
  for (const Completion& completion : completions_)
    completed.items.push_back(Value::Number(completion.id));
  change_of_sequence_[++sequence_] = change_;
  reported_change_ = change_;
  if (change_of_sequence_.size() > kRememberedReports)
    change_of_sequence_.erase(change_of_sequence_.begin());
  return Value::Mapping()
      .Add("incarnation", Value::Number(options_.incarnation))
      .Add("epoch", Value::Number(epoch_))
      .Add("sequence", Value::Number(sequence_))
      .Add("full", Value::Boolean(full))
      .Add("task_count", Value::Number(count))
      .Add("tasks", std::move(tasks))
      .Add("completed", std::move(completed))
      .Add("wait_ms", Value::Number(Milliseconds(wait)))
      .Add("answered_sequence", Value::Number(answered_sequence_))
      .Add("usage",
           Value::Mapping()
               .Add("cores", Value::Number(usage_->cores))
               .Add("memory_mb", Value::Number(usage_->memory_megabytes))
               .Add("measured_ms_ago",
                    Value::Number(Milliseconds(now - usage_->measured_at))));
}

void WorkerModel::OnReportAnswer(const ReportAnswer& answer,
                                 base::Instant sent_at,
                                 base::Instant now) {
  // An answer of an authority that was replaced has no effect.
  if (answer.epoch < epoch_) {
    counts_.refused_epochs += static_cast<int>(answer.directives.size());
    return;
  }
  epoch_ = answer.epoch;
  full_report_ = full_report_ || answer.full_report;
  const auto acknowledged =
      change_of_sequence_.find(answer.acknowledged_sequence);
  if (acknowledged != change_of_sequence_.end()) {
    acknowledged_change_ = std::max(acknowledged_change_, acknowledged->second);
    change_of_sequence_.erase(change_of_sequence_.begin(),
                              std::next(acknowledged));
    std::erase_if(completions_, [this](const Completion& completion) {
      return completion.change <= acknowledged_change_;
    });
    std::erase_if(tasks_, [this](const auto& entry) {
      return HasEnded(entry.second.state) &&
             entry.second.change <= acknowledged_change_;
    });
  }
  for (const Directive& directive : answer.directives)
    Execute(directive, sent_at + directive.lease, now);
}

void WorkerModel::MarkAnswered(std::int64_t sequence) {
  answered_sequence_ = std::max(answered_sequence_, sequence);
}

bool WorkerModel::Remember(std::int64_t directive) {
  if (!known_directives_.insert(directive).second)
    return false;
  directive_order_.push_back(directive);
  if (directive_order_.size() > kRememberedDirectives) {
    known_directives_.erase(directive_order_.front());
    directive_order_.pop_front();
  }
  return true;
}

void WorkerModel::Execute(const Directive& directive,
                          base::Instant lease_end,
                          base::Instant now) {
  if (directive.epoch < epoch_) {
    ++counts_.refused_epochs;
    return;
  }
  epoch_ = directive.epoch;
  if (directive.kind == DirectiveKind::kRenew) {
    Renew(lease_end);
    return;
  }
  const bool begins_work = directive.kind == DirectiveKind::kPrepare ||
                           directive.kind == DirectiveKind::kStart;
  // The answer was delayed past its lease, as after a freeze. The directive is
  // not remembered, so that it can be sent again under a new lease.
  if (begins_work && lease_end <= now)
    return;
  if (!Remember(directive.id)) {
    ++counts_.repeated_directives;
    // A checkpoint that still runs completes its directive later.
    const bool waiting = std::any_of(
        tasks_.begin(), tasks_.end(), [&directive](const auto& entry) {
          const auto& ids = entry.second.directives_after_checkpoint;
          return std::find(ids.begin(), ids.end(), directive.id) != ids.end();
        });
    if (!waiting)
      Complete(directive.id);
    return;
  }
  switch (directive.kind) {
    case DirectiveKind::kPrepare:
      Prepare(directive, lease_end);
      break;
    case DirectiveKind::kStart:
      Start(directive, lease_end, now);
      break;
    case DirectiveKind::kCheckpoint:
      Checkpoint(directive, now);
      return;
    case DirectiveKind::kThrottle:
      Throttle(directive);
      break;
    case DirectiveKind::kAbort:
    case DirectiveKind::kStop:
      Stop(directive);
      break;
    case DirectiveKind::kRenew:
      break;
  }
  Complete(directive.id);
}

bool WorkerModel::IsFree(const std::vector<int>& accelerators) const {
  std::set<int> held;
  for (const auto& [name, task] : tasks_) {
    if (!HasEnded(task.state))
      held.insert(task.accelerators.begin(), task.accelerators.end());
  }
  return std::all_of(
      accelerators.begin(), accelerators.end(), [&held, this](int accelerator) {
        return accelerator >= 0 && accelerator < options_.accelerators &&
               held.insert(accelerator).second;
      });
}

void WorkerModel::Prepare(const Directive& directive, base::Instant lease_end) {
  const auto known = tasks_.find(directive.task);
  if (known != tasks_.end() && !HasEnded(known->second.state))
    return;
  const bool free = IsFree(directive.accelerators);
  Task& task = tasks_[directive.task];
  task = Task{};
  task.accelerators = directive.accelerators;
  task.cores = directive.cores;
  task.memory_megabytes = directive.memory_megabytes;
  task.run = TrueRun(directive, options_.run_factor);
  task.progress = directive.resume_from;
  task.checkpoint = directive.resume_from;
  task.lease_end = lease_end;
  if (free)
    SetState(task, TaskState::kPrepared);
  else
    SetState(task, TaskState::kFailed, "accelerators are taken");
}

void WorkerModel::Start(const Directive& directive,
                        base::Instant lease_end,
                        base::Instant now) {
  const auto found = tasks_.find(directive.task);
  if (found == tasks_.end()) {
    Task& task = tasks_[directive.task];
    SetState(task, TaskState::kFailed, "not prepared");
    return;
  }
  Task& task = found->second;
  if (task.state != TaskState::kPrepared)
    return;
  ++counts_.started;
  task.lease_end = std::max(task.lease_end, lease_end);
  task.advanced_to = now;
  if (options_.fault == TaskFault::kFailEverything) {
    ++counts_.failed;
    SetState(task, TaskState::kFailed, "worker fails everything");
    return;
  }
  SetState(task, TaskState::kRunning);
}

void WorkerModel::Checkpoint(const Directive& directive, base::Instant now) {
  const auto found = tasks_.find(directive.task);
  if (found == tasks_.end() || HasEnded(found->second.state) ||
      found->second.state == TaskState::kPrepared) {
    Complete(directive.id);
    return;
  }
  Task& task = found->second;
  task.directives_after_checkpoint.push_back(directive.id);
  if (task.state == TaskState::kRunning)
    BeginCheckpoint(task, now);
}

void WorkerModel::Stop(const Directive& directive) {
  const auto found = tasks_.find(directive.task);
  if (found == tasks_.end() || HasEnded(found->second.state))
    return;
  Task& task = found->second;
  for (const std::int64_t id :
       std::exchange(task.directives_after_checkpoint, {})) {
    Complete(id);
  }
  SetState(task, TaskState::kStopped, "stopped as directed");
}

void WorkerModel::Throttle(const Directive& directive) {
  const auto found = tasks_.find(directive.task);
  if (found != tasks_.end())
    found->second.speed_percent =
        std::clamp(directive.throttle_percent, 0, 100);
}

void WorkerModel::Renew(base::Instant lease_end) {
  for (auto& [name, task] : tasks_)
    task.lease_end = std::max(task.lease_end, lease_end);
}

void WorkerModel::Advance(base::Instant now) {
  for (auto& [name, task] : tasks_) {
    if (!HasEnded(task.state))
      AdvanceTask(task, now);
  }
}

void WorkerModel::AdvanceTask(Task& task, base::Instant now) {
  if (task.state == TaskState::kRunning) {
    // Work after the end of the lease does not count: it is the checkpoint.
    const base::Instant until = std::min(now, task.lease_end);
    if (until > task.advanced_to) {
      task.progress += (until - task.advanced_to) * task.speed_percent / 100;
      task.advanced_to = until;
    }
    if (task.progress >= task.run) {
      ++counts_.finished;
      task.progress = task.run;
      SetState(task, TaskState::kFinished);
      return;
    }
  }
  if (task.state == TaskState::kCheckpointing && now >= task.checkpoint_end)
    EndCheckpoint(task);
  if (!HasEnded(task.state) && now >= task.lease_end)
    EndLease(task, now);
}

void WorkerModel::EndLease(Task& task, base::Instant now) {
  if (task.stop_after_checkpoint)
    return;
  ++counts_.expired_leases;
  if (task.state == TaskState::kPrepared) {
    SetState(task, TaskState::kStopped, "lease ran out");
    return;
  }
  task.stop_after_checkpoint = true;
  if (task.state == TaskState::kRunning)
    BeginCheckpoint(task, now);
}

void WorkerModel::BeginCheckpoint(Task& task, base::Instant now) {
  task.checkpoint_end = now + options_.checkpoint_time;
  SetState(task, TaskState::kCheckpointing);
}

void WorkerModel::EndCheckpoint(Task& task) {
  task.checkpoint = task.progress;
  task.advanced_to = task.checkpoint_end;
  if (task.stop_after_checkpoint)
    SetState(task, TaskState::kStopped, "lease ran out");
  else
    SetState(task, TaskState::kRunning);
  for (const std::int64_t id :
       std::exchange(task.directives_after_checkpoint, {})) {
    Complete(id);
  }
}

void WorkerModel::SetState(Task& task, TaskState state, std::string result) {
  task.state = state;
  task.result = std::move(result);
  task.change = ++change_;
}

void WorkerModel::Complete(std::int64_t directive) {
  std::erase_if(completions_, [directive](const Completion& completion) {
    return completion.id == directive;
  });
  completions_.push_back({.id = directive, .change = ++change_});
}

void WorkerModel::MeasureUsage(base::Instant now) {
  if (usage_ && now - usage_->measured_at < options_.usage_lag)
    return;
  usage_ = Usage{.measured_at = now};
  for (const auto& [name, task] : tasks_) {
    if (task.state == TaskState::kRunning) {
      usage_->cores += task.cores;
      usage_->memory_megabytes += task.memory_megabytes;
    }
  }
}

std::size_t WorkerModel::running_tasks() const {
  return static_cast<std::size_t>(
      std::count_if(tasks_.begin(), tasks_.end(), [](const auto& entry) {
        return entry.second.state == TaskState::kRunning ||
               entry.second.state == TaskState::kCheckpointing;
      }));
}

}  // namespace wigeonstair::standin
