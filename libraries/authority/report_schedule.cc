#include "authority/report_schedule.h"

#include <algorithm>

namespace wigeonstair::authority {

ReportSchedule ScheduleReports(std::size_t workers,
                               const ReportScheduleLimits& limits) {
  // Workers are capped before the multiplication, which could overflow
  // otherwise.
  constexpr std::size_t kCappedWorkers =
      kLongestReportInterval / std::chrono::seconds(1) * kReportsPerSecond;
  const base::Duration wanted =
      base::Duration(std::chrono::seconds(1)) / kReportsPerSecond *
      static_cast<std::int64_t>(std::min(workers, kCappedWorkers));
  const base::Duration interval = std::max(wanted, limits.shortest_interval);
  return {
      .interval = interval,
      .lease = std::max(interval * kIntervalsPerLease, limits.shortest_lease)};
}

base::Duration LongestTaskLease(const ReportScheduleLimits& limits) {
  const base::Duration interval =
      std::max(kLongestReportInterval, limits.shortest_interval);
  return std::max(interval * kIntervalsPerLease, limits.shortest_lease);
}

}  // namespace wigeonstair::authority
