#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_REPORT_SCHEDULE_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_REPORT_SCHEDULE_H_

#include <compare>
#include <cstddef>

#include "base/monotonic_clock.h"

namespace wigeonstair::authority {

// The rate of regular worker reports to which the authority of a domain limits
// its workers together. One report a second from each of 356 workers
// costs 14.7% of a core (docs/CAPACITY.md).
inline constexpr int kReportsPerSecond = 50;
// The interval stops growing at 400 workers, because a new authority may have
// to wait for the longest lease. Larger domains exceed kReportsPerSecond.
inline constexpr base::Duration kLongestReportInterval =
    std::chrono::seconds(8);
// A task lease counts from the sending of the report, and the authority may
// hold its answer for one interval. The third interval leaves time to recover
// from one lost answer.
inline constexpr int kIntervalsPerLease = 3;

// Interval and lease of a small domain; larger domains get longer ones.
struct ReportScheduleLimits {
  base::Duration shortest_interval = std::chrono::seconds(1);
  base::Duration shortest_lease = std::chrono::seconds(10);
};

// How often each worker of a domain reports, and how long its tasks may run
// without an answer. A worker whose lease has expired counts as lost.
struct ReportSchedule {
  base::Duration interval = std::chrono::seconds(1);
  base::Duration lease = std::chrono::seconds(10);

  auto operator<=>(const ReportSchedule&) const = default;
};

ReportSchedule ScheduleReports(std::size_t workers,
                               const ReportScheduleLimits& limits);

// The longest lease that ScheduleReports() gives for any number of workers, and
// so the longest that any authority may have granted.
base::Duration LongestTaskLease(const ReportScheduleLimits& limits);

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_REPORT_SCHEDULE_H_
