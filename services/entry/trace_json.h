#ifndef WIGEONSTAIR_SERVICES_ENTRY_TRACE_JSON_H_
#define WIGEONSTAIR_SERVICES_ENTRY_TRACE_JSON_H_

#include <string>

#include "routing/decision_ring.h"

namespace wigeonstair::entry {

// Serializes the response body of GET /v1/requests/{id}.
std::string TraceJson(const routing::RequestTrace& trace);

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_TRACE_JSON_H_
