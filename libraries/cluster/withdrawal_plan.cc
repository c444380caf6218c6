#include "cluster/withdrawal_plan.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "cluster/domain_choice.h"
#include "cluster/domain_load.h"
#include "cluster/domain_offers.h"

namespace wigeonstair::cluster {

namespace {

// Returns the domain with free capacity that the job would be assigned to;
// empty when there is none or it is the current one.
std::optional<base::DomainId> BetterDomain(const ClusterState& state,
                                           const WithdrawalInput& input,
                                           const JobRecord& record,
                                           const DomainLoads& loads) {
  const DomainChoice choice = ChooseDomain(
      record,
      MakeOffers(state, input.reachable, loads, record.specification.customer));
  const auto* chosen = std::get_if<DomainChosen>(&choice);
  if (chosen == nullptr || chosen->fit == DomainFit::kQueue ||
      chosen->domain == input.domain)
    return std::nullopt;
  return chosen->domain;
}

}  // namespace

bool MayWithdraw(const WithdrawalInput& input) {
  return std::any_of(
      input.reachable.begin(), input.reachable.end(),
      [&](const base::DomainId& domain) { return domain != input.domain; });
}

std::vector<PlannedWithdrawal> PlanWithdrawals(const ClusterState& state,
                                               const WithdrawalInput& input) {
  std::vector<PlannedWithdrawal> plan;
  DomainLoads loads = state.loads();
  for (const base::JobId& job : input.waiting) {
    if (plan.size() >= input.limit)
      break;
    if (!state.assigned_jobs(input.domain).contains(job))
      continue;
    const JobRecord& record = state.jobs().at(job);
    if (record.assignments >= kMaximumAssignments)
      continue;
    RemoveFromLoad(loads, input.domain, record.specification);
    const auto better = BetterDomain(state, input, record, loads);
    AddToLoad(loads, better.value_or(input.domain), record.specification);
    if (better) {
      plan.push_back(
          {.job = job,
           .why = "failure domain " + better->value() +
                  " has free capacity for the job, which is waiting here"});
    }
  }
  return plan;
}

}  // namespace wigeonstair::cluster
