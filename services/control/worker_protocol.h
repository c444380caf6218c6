#ifndef WIGEONSTAIR_SERVICES_CONTROL_WORKER_PROTOCOL_H_
#define WIGEONSTAIR_SERVICES_CONTROL_WORKER_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "authority/report_schedule.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "placement/events.h"
#include "placement/resources.h"

namespace wigeonstair::control {

// The messages between workers and the control process, as docs/api.md
// describes them.

struct WorkerRegistration {
  base::WorkerId worker;
  base::DomainId domain;
  base::RackId rack;
  placement::Resources capacity;
  std::int64_t incarnation = 0;
  // The highest fencing epoch that the worker has seen.
  std::int64_t epoch = 0;
  // Number of the last report that the worker sent; later ones are higher.
  std::int64_t sequence = 0;
  std::vector<placement::ReportedTask> tasks;
};

struct WorkerUsage {
  int cores = 0;
  int memory_megabytes = 0;
  base::Duration age{0};
};

enum class ReportScope : std::uint8_t { kChanges, kAllTasks };

struct WorkerReport {
  base::WorkerId worker;
  std::int64_t incarnation = 0;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
  ReportScope scope = ReportScope::kChanges;
  std::int64_t task_count = 0;
  std::vector<placement::ReportedTask> tasks;
  // Ids of directives that were carried out.
  std::vector<std::int64_t> completed;
  std::optional<WorkerUsage> usage;
  // How long the answer may be held while there is nothing to tell.
  base::Duration wait{0};
  // The last report whose answer has arrived. Empty when the worker does not
  // say; every answer then counts as received.
  std::optional<std::int64_t> answered_sequence;
};

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
  // Not set for kRenew, which covers all tasks of the worker.
  placement::TaskKey task;
  std::vector<int> accelerators;
  placement::Resources resources;
  std::int64_t run_milliseconds = 0;
  std::int64_t resume_from_milliseconds = 0;
  int throttle_percent = 100;
  std::string payload;
};

struct ReportAnswer {
  std::int64_t epoch = 0;
  std::int64_t acknowledged_sequence = 0;
  ReportScope wanted_scope = ReportScope::kChanges;
  std::vector<Directive> directives;
  // Of the renewal and of every directive.
  base::Duration lease{0};
  // When the worker reports next, unless it has something to tell before.
  base::Duration report_after{0};
  // How long the answer to the next report may be held.
  base::Duration wait{0};
};

// Decoding fails with kInvalidArgument and names every fault.
base::Result<WorkerRegistration> DecodeRegistration(const std::string& worker,
                                                    std::string_view body);
base::Result<WorkerReport> DecodeReport(const std::string& worker,
                                        std::string_view body);
std::string EncodeReportAnswer(const ReportAnswer& answer);
// `report_interval` is for workers that do not offer to wait.
std::string EncodeRegistrationAnswer(std::int64_t epoch,
                                     base::Duration report_interval,
                                     const authority::ReportSchedule& schedule);
std::string_view DirectiveKindName(DirectiveKind kind);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_WORKER_PROTOCOL_H_
