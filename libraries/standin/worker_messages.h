#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_MESSAGES_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/result.h"
#include "settings/value.h"

namespace wigeonstair::standin {

// One run of one task, as docs/api.md names it.
struct TaskName {
  std::string job;
  int index = 0;
  std::int64_t attempt = 0;

  auto operator<=>(const TaskName&) const = default;
};

enum class TaskState : std::uint8_t {
  kPrepared,
  kRunning,
  kCheckpointing,
  kStopped,
  kFinished,
  kFailed,
};

std::string_view TaskStateName(TaskState state);
// Whether a task in this state holds nothing any more.
bool HasEnded(TaskState state);

enum class DirectiveKind : std::uint8_t {
  kPrepare,
  kStart,
  kAbort,
  kCheckpoint,
  kThrottle,
  kStop,
  kRenew,
};

struct Directive {
  std::int64_t id = 0;
  std::int64_t epoch = 0;
  DirectiveKind kind = DirectiveKind::kRenew;
  TaskName task;
  std::vector<int> accelerators;
  int cores = 0;
  int memory_megabytes = 0;
  base::Duration run{0};
  base::Duration resume_from{0};
  int throttle_percent = 100;
  std::string payload;
  base::Duration lease{0};
};

struct ReportAnswer {
  std::int64_t epoch = 0;
  std::int64_t acknowledged_sequence = 0;
  bool full_report = false;
  std::vector<Directive> directives;
  // When to report next. Empty keeps the interval of the registration.
  std::optional<base::Duration> report_after;
  // How long the next report may ask the authority to wait.
  base::Duration wait{0};
};

struct RegistrationAnswer {
  std::int64_t epoch = 0;
  base::Duration report_interval{0};
  base::Duration lease{0};
  base::Duration wait{0};
};

// Fail with kInvalidArgument on a malformed answer.
base::Result<ReportAnswer> DecodeReportAnswer(std::string_view body);
base::Result<RegistrationAnswer> DecodeRegistrationAnswer(
    std::string_view body);

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_MESSAGES_H_
