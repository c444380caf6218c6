#ifndef WIGEONSTAIR_SERVICES_CONTROL_REPORT_LIMITS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_REPORT_LIMITS_H_

#include "authority/report_schedule.h"
#include "settings/process_settings.h"

namespace wigeonstair::control {

inline authority::ReportScheduleLimits ReportLimits(
    const settings::ProcessSettings& settings) {
  return {.shortest_interval = settings.timeouts.worker_report,
          .shortest_lease = settings.timeouts.task_lease};
}

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_REPORT_LIMITS_H_
