#ifndef WIGEONSTAIR_LIBRARIES_JOBS_DECISION_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_DECISION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/monotonic_clock.h"
#include "jobs/job.h"

namespace wigeonstair::jobs {

// A decision and its reason, for the log.
struct Decision {
  std::string_view kind;
  TaskRef task;
  std::uint32_t attempt = 0;
  WorkerIncarnation worker;
  std::string reason;
  base::Duration input_age{};
  // The run time that is expected of the task, and what that rests on.
  double expected_ms = 0;
  std::string_view expected_from;
  // Start calls sent for this attempt so far.
  int starts_sent = 0;
  // Until all leases of the worker have expired on this host's clock; negative
  // afterwards, empty when the worker is not known.
  std::optional<base::Duration> lease_left;
};

struct Now {
  // Monotonic time, for leases and timeouts.
  base::Instant instant;
  // Milliseconds since the Unix epoch, for due times and records.
  std::uint64_t wall_ms = 0;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_DECISION_H_
