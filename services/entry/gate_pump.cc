#include "services/entry/gate_pump.h"

#include <optional>

#include "routing/choose.h"

namespace wigeonstair::entry {

std::uint64_t NextSeed(Blackboard& blackboard) {
  return blackboard.run +
         blackboard.sequence.fetch_add(1, std::memory_order_relaxed);
}

void PumpGate(Blackboard& blackboard,
              routing::ServiceGate& gate,
              const std::string& service) {
  if (!gate.RequestsWait())
    return;
  // Refuses requests that other domains forwarded here, so that their entry
  // hosts can route them to a domain that still serves the service.
  if (!blackboard.snapshots.Read()->OwnDomainServes(service))
    gate.RefuseNonSpillable(routing::ReasonCode::kNoUpstream);
  const base::Instant now = blackboard.clock.Now();
  const routing::RouteRequest route{
      .service = service,
      .spill = routing::SpillPermission::kForbidden,
      .avoided = {},
      .now = now};
  const auto reserve = [&]() -> std::optional<routing::ReservedUpstream> {
    const auto snapshot = blackboard.snapshots.Read();
    return routing::CopyReservedUpstream(
        routing::Choose(*snapshot, route, NextSeed(blackboard)));
  };
  const auto forward = [&]() -> std::optional<routing::ForwardTarget> {
    const auto snapshot = blackboard.snapshots.Read();
    return routing::ChooseForwardTarget(*snapshot, route, NextSeed(blackboard));
  };
  gate.Pump(now, reserve, forward);
}

}  // namespace wigeonstair::entry
