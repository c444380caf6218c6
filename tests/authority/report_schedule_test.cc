#include "authority/report_schedule.h"

#include <catch2/catch.hpp>

#include <cstdint>

namespace wigeonstair::authority {

// Guards against leases that expire because an answer is held back or lost,
// against more reports than the authority can handle, and against a recovery
// that ends while a lease is still valid.
TEST_CASE("reports are bounded and leases cover three intervals") {
  const ReportScheduleLimits limits;
  for (std::size_t workers = 0; workers < 5000; ++workers) {
    const ReportSchedule schedule = ScheduleReports(workers, limits);
    CHECK(schedule.lease >= schedule.interval * 3);
    CHECK(schedule.lease <= LongestTaskLease(limits));
    CHECK(schedule.interval >= ScheduleReports(workers / 2, limits).interval);
    if (workers <= 400) {
      CHECK(schedule.interval * kReportsPerSecond >=
            std::chrono::seconds(1) * static_cast<std::int64_t>(workers));
    }
  }
}

// Guards against a changed interval or lease in small domains.
TEST_CASE("50 workers report every second under a lease of 10 s") {
  CHECK(ScheduleReports(50, {}) == ReportSchedule());
  CHECK(ScheduleReports(51, {}).interval > std::chrono::seconds(1));
}

// Guards against an overflow for a huge number of workers.
TEST_CASE("the interval is capped") {
  CHECK(ScheduleReports(SIZE_MAX, {}).interval == kLongestReportInterval);
}

}  // namespace wigeonstair::authority
