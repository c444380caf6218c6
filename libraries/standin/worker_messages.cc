#include "standin/worker_messages.h"

#include <utility>

#include "settings/fault.h"
#include "settings/json.h"
#include "settings/object_reader.h"

namespace wigeonstair::standin {

namespace {

using settings::ObjectReader;
using settings::Value;

constexpr settings::IntegerRange kNotNegative{.minimum = 0};
constexpr settings::IntegerRange kSmall{.minimum = 0, .maximum = 1'000'000'000};

base::Duration ReadMilliseconds(ObjectReader& reader, std::string_view key) {
  constexpr std::int64_t kYear = 31'536'000'000;
  return std::chrono::milliseconds(
      reader.IntegerOr(key, {.minimum = 0, .maximum = kYear}, 0));
}

DirectiveKind ReadKind(ObjectReader& reader) {
  return reader.Choice<DirectiveKind>(
      "kind", {{"prepare", DirectiveKind::kPrepare},
               {"start", DirectiveKind::kStart},
               {"abort", DirectiveKind::kAbort},
               {"checkpoint", DirectiveKind::kCheckpoint},
               {"throttle", DirectiveKind::kThrottle},
               {"stop", DirectiveKind::kStop},
               {"renew", DirectiveKind::kRenew}});
}

Directive ReadDirective(ObjectReader& reader) {
  Directive directive;
  directive.id = reader.Integer("id", kNotNegative);
  directive.epoch = reader.Integer("epoch", kNotNegative);
  directive.kind = ReadKind(reader);
  const bool names_task = directive.kind != DirectiveKind::kRenew;
  directive.task.job = names_task ? reader.Id("job") : reader.TextOr("job", "");
  directive.task.index = static_cast<int>(reader.IntegerOr("index", kSmall, 0));
  directive.task.attempt = reader.IntegerOr("attempt", kNotNegative, 0);
  for (const std::int64_t number : reader.Integers("accelerators", kSmall))
    directive.accelerators.push_back(static_cast<int>(number));
  directive.cores = static_cast<int>(reader.IntegerOr("cores", kSmall, 0));
  directive.memory_megabytes =
      static_cast<int>(reader.IntegerOr("memory_mb", kSmall, 0));
  directive.run = ReadMilliseconds(reader, "run_ms");
  directive.resume_from = ReadMilliseconds(reader, "resume_from_ms");
  directive.throttle_percent =
      static_cast<int>(reader.IntegerOr("throttle_percent", kSmall, 100));
  directive.payload = reader.AnyTextOr("payload", "");
  directive.lease = ReadMilliseconds(reader, "lease_ms");
  return directive;
}

}  // namespace

std::string_view TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kPrepared:
      return "prepared";
    case TaskState::kRunning:
      return "running";
    case TaskState::kCheckpointing:
      return "checkpointing";
    case TaskState::kStopped:
      return "stopped";
    case TaskState::kFinished:
      return "finished";
    case TaskState::kFailed:
      return "failed";
  }
  return "failed";
}

bool HasEnded(TaskState state) {
  return state == TaskState::kStopped || state == TaskState::kFinished ||
         state == TaskState::kFailed;
}

base::Result<ReportAnswer> DecodeReportAnswer(std::string_view body) {
  const Value value = TRY(settings::ParseJson(body, "answer to a report"));
  settings::Faults faults;
  ObjectReader reader(value, "", faults);
  ReportAnswer answer;
  answer.epoch = reader.Integer("epoch", kNotNegative);
  answer.acknowledged_sequence =
      reader.Integer("acknowledged_sequence", kNotNegative);
  answer.full_report = reader.BooleanOr("full_report", false);
  reader.Objects("directives", 0, [&answer](ObjectReader& directive) {
    answer.directives.push_back(ReadDirective(directive));
  });
  if (const auto after = reader.OptionalInteger("report_after_ms", kSmall))
    answer.report_after = std::chrono::milliseconds(*after);
  answer.wait = ReadMilliseconds(reader, "wait_ms");
  if (!faults.empty()) {
    return base::Fail(
        settings::FaultsError("read answer to a report", "", faults));
  }
  return answer;
}

base::Result<RegistrationAnswer> DecodeRegistrationAnswer(
    std::string_view body) {
  const Value value =
      TRY(settings::ParseJson(body, "answer to a registration"));
  settings::Faults faults;
  ObjectReader reader(value, "", faults);
  const RegistrationAnswer answer{
      .epoch = reader.Integer("epoch", kNotNegative),
      .report_interval = ReadMilliseconds(reader, "report_ms"),
      .lease = ReadMilliseconds(reader, "lease_ms"),
      .wait = ReadMilliseconds(reader, "wait_ms")};
  if (!faults.empty()) {
    return base::Fail(
        settings::FaultsError("read answer to a registration", "", faults));
  }
  return answer;
}

}  // namespace wigeonstair::standin
