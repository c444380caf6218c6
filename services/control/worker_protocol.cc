#include "services/control/worker_protocol.h"

#include <utility>

#include "settings/json.h"
#include "settings/object_reader.h"

namespace wigeonstair::control {

namespace {

using placement::ReportedState;
using settings::ObjectReader;
using settings::Value;

constexpr std::int64_t kMaximumCores = 4096;
constexpr std::int64_t kMaximumMemoryMegabytes = std::int64_t{64} * 1024 * 1024;
constexpr std::int64_t kMaximumAccelerators = 64;
constexpr settings::IntegerRange kNotNegative = {.minimum = 0};
// Far above every interval; it keeps the sum with a clock in range.
constexpr std::int64_t kMaximumWaitMilliseconds = 3'600'000;

std::int64_t Milliseconds(base::Duration duration) {
  return duration / std::chrono::milliseconds(1);
}

placement::ReportedTask ReadTask(ObjectReader& reader) {
  placement::ReportedTask task;
  task.key.job = base::JobId(reader.Id("job"));
  task.key.index = static_cast<int>(
      reader.Integer("index", {.minimum = 0, .maximum = 1'000'000}));
  task.key.attempt = reader.Integer("attempt", kNotNegative);
  task.state = reader.Choice<ReportedState>(
      "state", {{"prepared", ReportedState::kPrepared},
                {"running", ReportedState::kRunning},
                {"checkpointing", ReportedState::kCheckpointing},
                {"stopped", ReportedState::kStopped},
                {"finished", ReportedState::kFinished},
                {"failed", ReportedState::kFailed}});
  task.progress_milliseconds = reader.IntegerOr("progress_ms", kNotNegative, 0);
  task.checkpoint_milliseconds =
      reader.IntegerOr("checkpoint_ms", kNotNegative, 0);
  for (std::int64_t index : reader.Integers(
           "accelerators", {.minimum = 0, .maximum = kMaximumAccelerators - 1}))
    task.accelerators.push_back(static_cast<int>(index));
  // FIXME: The result of a task is read and not kept.
  reader.TextOr("result", {});
  return task;
}

std::vector<placement::ReportedTask> ReadTasks(ObjectReader& reader) {
  std::vector<placement::ReportedTask> tasks;
  reader.Objects("tasks", 0, [&](ObjectReader& task_reader) {
    tasks.push_back(ReadTask(task_reader));
  });
  return tasks;
}

base::Result<std::monostate> Check(const settings::Faults& faults,
                                   const std::string& step,
                                   const std::string& worker) {
  if (faults.empty())
    return std::monostate{};
  return base::Fail(settings::FaultsError(step, worker, faults));
}

Value NumberList(const std::vector<int>& numbers) {
  Value list = Value::Sequence();
  for (int number : numbers)
    list.items.push_back(Value::Number(number));
  return list;
}

Value DirectiveValue(const Directive& directive, base::Duration lease) {
  Value value = Value::Mapping();
  value.Add("id", Value::Number(directive.id));
  value.Add("epoch", Value::Number(directive.epoch));
  value.Add("kind",
            Value::Text(std::string(DirectiveKindName(directive.kind))));
  value.Add("lease_ms", Value::Number(Milliseconds(lease)));
  if (directive.kind == DirectiveKind::kRenew)
    return value;
  value.Add("job", Value::Text(directive.task.job.value()));
  value.Add("index", Value::Number(directive.task.index));
  value.Add("attempt", Value::Number(directive.task.attempt));
  if (directive.kind == DirectiveKind::kThrottle)
    value.Add("throttle_percent", Value::Number(directive.throttle_percent));
  if (directive.kind != DirectiveKind::kPrepare)
    return value;
  value.Add("accelerators", NumberList(directive.accelerators));
  value.Add("cores", Value::Number(directive.resources.cores));
  value.Add("memory_mb", Value::Number(directive.resources.memory_megabytes));
  value.Add("run_ms", Value::Number(directive.run_milliseconds));
  value.Add("resume_from_ms",
            Value::Number(directive.resume_from_milliseconds));
  value.Add("payload", Value::Text(directive.payload));
  return value;
}

}  // namespace

std::string_view DirectiveKindName(DirectiveKind kind) {
  switch (kind) {
    case DirectiveKind::kPrepare:
      return "prepare";
    case DirectiveKind::kStart:
      return "start";
    case DirectiveKind::kAbort:
      return "abort";
    case DirectiveKind::kCheckpoint:
      return "checkpoint";
    case DirectiveKind::kThrottle:
      return "throttle";
    case DirectiveKind::kStop:
      return "stop";
    case DirectiveKind::kRenew:
      return "renew";
  }
  return "renew";
}

base::Result<WorkerRegistration> DecodeRegistration(const std::string& worker,
                                                    std::string_view body) {
  const Value value =
      TRY(settings::ParseJson(body, "registration of " + worker));
  settings::Faults faults;
  ObjectReader reader(value, "", faults);
  WorkerRegistration registration;
  registration.worker = base::WorkerId(worker);
  registration.domain = base::DomainId(reader.Id("domain"));
  registration.rack = base::RackId(reader.Id("rack"));
  registration.capacity.cores = static_cast<int>(
      reader.Integer("cores", {.minimum = 1, .maximum = kMaximumCores}));
  registration.capacity.memory_megabytes = static_cast<int>(reader.Integer(
      "memory_mb", {.minimum = 1, .maximum = kMaximumMemoryMegabytes}));
  registration.capacity.accelerators = static_cast<int>(reader.Integer(
      "accelerators", {.minimum = 0, .maximum = kMaximumAccelerators}));
  registration.incarnation = reader.Integer("incarnation", kNotNegative);
  registration.epoch = reader.IntegerOr("epoch", kNotNegative, 0);
  registration.sequence = reader.IntegerOr("sequence", kNotNegative, 0);
  registration.tasks = ReadTasks(reader);
  reader.Finish();
  TRY(Check(faults, "read worker registration", worker));
  return registration;
}

base::Result<WorkerReport> DecodeReport(const std::string& worker,
                                        std::string_view body) {
  const Value value = TRY(settings::ParseJson(body, "report of " + worker));
  settings::Faults faults;
  ObjectReader reader(value, "", faults);
  WorkerReport report;
  report.worker = base::WorkerId(worker);
  report.incarnation = reader.Integer("incarnation", kNotNegative);
  report.epoch = reader.IntegerOr("epoch", kNotNegative, 0);
  report.sequence = reader.Integer("sequence", kNotNegative);
  report.scope = reader.BooleanOr("full", false) ? ReportScope::kAllTasks
                                                 : ReportScope::kChanges;
  report.task_count = reader.IntegerOr("task_count", kNotNegative, 0);
  report.tasks = ReadTasks(reader);
  report.completed = reader.Integers("completed", kNotNegative);
  reader.Object("usage", [&](ObjectReader& usage) {
    report.usage =
        WorkerUsage{.cores = static_cast<int>(usage.IntegerOr(
                        "cores", {.minimum = 0, .maximum = kMaximumCores}, 0)),
                    .memory_megabytes = static_cast<int>(usage.IntegerOr(
                        "memory_mb",
                        {.minimum = 0, .maximum = kMaximumMemoryMegabytes}, 0)),
                    .age = std::chrono::milliseconds(
                        usage.IntegerOr("measured_ms_ago", kNotNegative, 0))};
  });
  report.wait = std::chrono::milliseconds(reader.IntegerOr(
      "wait_ms", {.minimum = 0, .maximum = kMaximumWaitMilliseconds}, 0));
  report.answered_sequence =
      reader.OptionalInteger("answered_sequence", kNotNegative);
  reader.Finish();
  TRY(Check(faults, "read worker report", worker));
  return report;
}

std::string EncodeReportAnswer(const ReportAnswer& answer) {
  Value value = Value::Mapping();
  value.Add("epoch", Value::Number(answer.epoch));
  value.Add("acknowledged_sequence",
            Value::Number(answer.acknowledged_sequence));
  value.Add("full_report",
            Value::Boolean(answer.wanted_scope == ReportScope::kAllTasks));
  Value directives = Value::Sequence();
  for (const Directive& directive : answer.directives)
    directives.items.push_back(DirectiveValue(directive, answer.lease));
  value.Add("directives", std::move(directives));
  value.Add("report_after_ms",
            Value::Number(Milliseconds(answer.report_after)));
  value.Add("wait_ms", Value::Number(Milliseconds(answer.wait)));
  return settings::EmitJson(value);
}

std::string EncodeRegistrationAnswer(
    std::int64_t epoch,
    base::Duration report_interval,
    const authority::ReportSchedule& schedule) {
  Value value = Value::Mapping();
  value.Add("epoch", Value::Number(epoch));
  value.Add("report_ms", Value::Number(Milliseconds(report_interval)));
  value.Add("lease_ms", Value::Number(Milliseconds(schedule.lease)));
  value.Add("wait_ms", Value::Number(Milliseconds(schedule.interval)));
  return settings::EmitJson(value);
}

}  // namespace wigeonstair::control
