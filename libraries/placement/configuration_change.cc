#include "placement/configuration_change.h"

#include <algorithm>

#include "placement/admission.h"
#include "placement/cover_planner.h"
#include "placement/gang_lifecycle.h"

namespace wigeonstair::placement {

namespace {

void UpdateCustomers(
    EngineState& state,
    const std::vector<cluster::CustomerConfiguration>& customers) {
  for (CustomerRecord& record : state.customers) {
    record.configured = false;
    record.configuration.guarantees.clear();
  }
  for (const cluster::CustomerConfiguration& customer : customers) {
    const auto [entry, added] = state.customer_indexes.try_emplace(
        customer.id, static_cast<int>(state.customers.size()));
    if (added)
      state.customers.emplace_back();
    CustomerRecord& record = state.customers[entry->second];
    record.configuration = customer;
    record.configured = true;
  }
}

// Replaces old cell indexes by new ones. Returns true if all members still have
// their cells.
bool RemapCells(std::vector<Member>& members,
                const std::vector<int>& positions) {
  bool complete = true;
  for (Member& member : members) {
    if (member.cell < 0)
      continue;
    member.cell = positions[member.cell];
    complete = complete && member.cell >= 0;
  }
  return complete;
}

// Marks jobs whose cells are no longer guaranteed as borrowed, unless other
// cells of the customer cover them on their current slots. Jobs that waited for
// such cells are queued again.
void UpdateCoverage(EngineState& state, const std::vector<int>& positions) {
  std::vector<Job*> uncovered;
  for (const auto& [sequence, job] : state.active) {
    if (!RemapCells(job->members, positions))
      uncovered.push_back(job);
  }
  std::vector<Job*> replanned;
  for (const auto& [sequence, job] : state.reclaiming) {
    if (!RemapCells(job->planned_members, positions))
      replanned.push_back(job);
  }
  for (Job* job : replanned) {
    DropClaims(state, *job);
    Enqueue(
        state, *job,
        {.code = ReasonCode::kNoCapacity,
         .text =
             "the guarantees changed while resources were being reclaimed"});
  }
  for (Job* job : uncovered)
    ConvertToBorrowed(state, *job);
  for (Job* job : uncovered) {
    if (!CoverInPlace(state.hierarchy, state.ledger, *job))
      continue;
    job->coverage = Coverage::kGuaranteed;
    state.customers[job->customer].borrowed_accelerators -=
        job->held_members * job->specification.accelerators_per_task;
  }
}

}  // namespace

void ApplyConfiguration(
    EngineState& state,
    const cluster::DomainConfiguration& domain,
    const std::vector<cluster::CustomerConfiguration>& customers) {
  state.options.domain = domain;
  UpdateCustomers(state, customers);
  state.hierarchy.Configure(domain);
  std::vector<cluster::CustomerConfiguration> in_order;
  in_order.reserve(state.customers.size());
  for (const CustomerRecord& record : state.customers)
    in_order.push_back(record.configuration);
  UpdateCoverage(state,
                 state.ledger.Rebuild(state.hierarchy, domain.id, in_order));
  state.reservations.clear();
  RefuseInfeasibleWaitingJobs(state);
  state.pass_needed = true;
}

}  // namespace wigeonstair::placement
