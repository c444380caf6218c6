#include "cluster/assignment_plan.h"

#include <map>
#include <utility>
#include <variant>

#include "cluster/domain_load.h"
#include "cluster/domain_offers.h"

namespace wigeonstair::cluster {

namespace {

void PlanReleases(const ClusterState& state,
                  const AssignmentInput& input,
                  std::vector<PlannedAssignment>& plan) {
  for (const base::DomainId& domain : input.stopped) {
    for (const base::JobId& job : state.assigned_jobs(domain)) {
      if (plan.size() >= input.limit)
        return;
      if (input.in_flight.contains(job))
        continue;
      plan.push_back(
          {.command =
               ReleaseJob{.job = job,
                          .domain = domain,
                          .assignment = state.jobs().at(job).assignments},
           .job = job,
           .why =
               "failure domain " + domain.value() + " is out and has stopped"});
    }
  }
}

// Caches the offers to each customer until a job is assigned, so that a long
// queue of jobs that no domain can take now evaluates the loads only once per
// customer.
class OfferCache {
 public:
  OfferCache(const ClusterState& state,
             const std::set<base::DomainId>& reachable)
      : state_(state), reachable_(reachable), loads_(state.loads()) {}

  const std::vector<DomainOffer>& ForCustomer(
      const base::CustomerId& customer) {
    const auto [offers, added] = by_customer_.try_emplace(customer);
    if (added)
      offers->second = MakeOffers(state_, reachable_, loads_, customer);
    return offers->second;
  }

  void Assign(const base::DomainId& domain, const JobSpecification& job) {
    AddToLoad(loads_, domain, job);
    by_customer_.clear();
  }

 private:
  const ClusterState& state_;
  const std::set<base::DomainId>& reachable_;
  DomainLoads loads_;
  std::map<base::CustomerId, std::vector<DomainOffer>> by_customer_;
};

struct PlanChoice {
  const JobRecord& record;
  std::vector<PlannedAssignment>& plan;
  OfferCache& offers;

  void operator()(const DomainChosen& chosen) const {
    offers.Assign(chosen.domain, record.specification);
    plan.push_back(
        {.command = AssignJob{.job = record.specification.id,
                              .domain = chosen.domain,
                              .expected_assignment = record.assignments},
         .job = record.specification.id,
         .why = chosen.why,
         .rejected = chosen.rejected});
  }
  void operator()(const NoDomainNow&) const {}
  void operator()(const NoDomainEver& infeasible) const {
    plan.push_back({.command = FinishJob{.job = record.specification.id,
                                         .assignment = record.assignments,
                                         .outcome = JobOutcome::kRefused,
                                         .detail = infeasible.why},
                    .job = record.specification.id,
                    .why = infeasible.why});
  }
};

}  // namespace

std::vector<PlannedAssignment> PlanAssignments(const ClusterState& state,
                                               const AssignmentInput& input) {
  std::vector<PlannedAssignment> plan;
  PlanReleases(state, input, plan);
  if (state.queued_jobs().empty())
    return plan;
  OfferCache offers(state, input.reachable);
  for (const auto& [position, job] : state.queued_jobs().order()) {
    if (plan.size() >= input.limit)
      break;
    if (input.in_flight.contains(job))
      continue;
    const JobRecord& record = state.jobs().at(job);
    const DomainChoice choice =
        ChooseDomain(record, offers.ForCustomer(record.specification.customer));
    std::visit(PlanChoice{.record = record, .plan = plan, .offers = offers},
               choice);
  }
  return plan;
}

}  // namespace wigeonstair::cluster
