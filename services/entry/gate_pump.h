#ifndef WIGEONSTAIR_SERVICES_ENTRY_GATE_PUMP_H_
#define WIGEONSTAIR_SERVICES_ENTRY_GATE_PUMP_H_

#include <cstdint>
#include <string>

#include "routing/service_gate.h"
#include "services/entry/blackboard.h"

namespace wigeonstair::entry {

// Dispatches requests that wait for the service to free slots of this host's
// domain, or forwards them to another domain.
void PumpGate(Blackboard& blackboard,
              routing::ServiceGate& gate,
              const std::string& service);

// Returns a different value for each call within this run of the process.
std::uint64_t NextSeed(Blackboard& blackboard);

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_GATE_PUMP_H_
