#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

CustomerAccounts Dispatcher::RecountAccounts() const {
  CustomerAccounts accounts;
  for (const auto& [key, run] : runs_)
    accounts.Add(run.customer, run.cap_demand);
  return accounts;
}

// The claims of the customer's other steps count as running: their victims were
// stopped for them.
std::uint32_t Dispatcher::TasksWithinCap(const ReadyStep& ready) const {
  const auto waiting = static_cast<std::uint32_t>(ready.waiting.size());
  const base::CustomerId& customer = ready.job->customer;
  const Resources* cap = caps_.Find(customer);
  if (cap == nullptr)
    return waiting;
  Resources in_use = accounts_.InUse(customer);
  for (const auto& [step, claim] : claims_) {
    const JobRecord* job = store_.FindJob(step.job);
    if (step == ready.step || job == nullptr || job->customer != customer)
      continue;
    for (std::size_t i = 0; i < claim.task_workers.size(); ++i)
      in_use += claim.task;
  }
  return jobs::TasksWithinCap(
      *cap, in_use,
      {.task = ready.spec->task, .count = waiting, .gang = ready.spec->gang});
}

// Counts the placements of this round. Once a step is held back, less urgent
// steps of its customer leave it the room that becomes free.
void Dispatcher::LimitByCap(ReadyStep& ready,
                            Round& round,
                            const Now& now) const {
  const base::CustomerId& customer = ready.job->customer;
  if (caps_.Find(customer) == nullptr)
    return;
  const bool claimed = claims_.contains(ready.step);
  if (!claimed && round.holding_cap_room.contains(customer)) {
    ready.allowed = 0;
    return;
  }
  ready.allowed = TasksWithinCap(ready);
  if (ready.allowed < ready.waiting.size() &&
      UrgencyOf(ready, now) != Urgency::kZeroValue &&
      caps_.ShouldHoldRoom(customer, *ready.spec, accounts_)) {
    round.holding_cap_room.insert(customer);
  }
}

}  // namespace wigeonstair::jobs
