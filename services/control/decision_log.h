#ifndef WIGEONSTAIR_SERVICES_CONTROL_DECISION_LOG_H_
#define WIGEONSTAIR_SERVICES_CONTROL_DECISION_LOG_H_

#include <cstdint>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "placement/decisions.h"

namespace wigeonstair::control {

// Writes the log line of a placement decision with its reason and the rejected
// alternatives, and counts it by its kind.
void LogDecision(const placement::Decision& decision,
                 std::int64_t epoch,
                 base::EventLog& log,
                 base::CounterRegistry& counters);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_DECISION_LOG_H_
