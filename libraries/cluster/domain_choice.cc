#include "cluster/domain_choice.h"

#include <algorithm>
#include <tuple>

namespace wigeonstair::cluster {

namespace {

bool IsAllowed(const JobSpecification& job, const base::DomainId& domain) {
  return job.allowed_domains.empty() ||
         std::find(job.allowed_domains.begin(), job.allowed_domains.end(),
                   domain) != job.allowed_domains.end();
}

// Returns why the domain can never run the job; empty when it might.
std::string PermanentRejection(const JobRecord& job, const DomainOffer& offer) {
  if (!IsAllowed(job.specification, offer.domain))
    return "the job does not allow it";
  const auto refusal = job.refusals.find(offer.domain);
  if (refusal != job.refusals.end())
    return refusal->second;
  return {};
}

bool ExceedsBorrowingLimit(const JobSpecification& job,
                           const DomainOffer& offer) {
  const int borrowed = job.tasks * job.accelerators_per_task -
                       std::max(offer.unclaimed_guarantee, 0);
  return offer.borrowing_remaining && borrowed > 0 &&
         borrowed > *offer.borrowing_remaining;
}

std::string TemporaryRejection(const JobSpecification& job,
                               const DomainOffer& offer) {
  if (offer.status == DomainStatus::kOut)
    return "the domain is out";
  if (offer.reachability == DomainOffer::Reachability::kUnreachable)
    return "its placement authority is unreachable";
  if (ExceedsBorrowingLimit(job, offer))
    return "the job would exceed the customer's borrowing limit";
  return {};
}

DomainFit FitOf(const JobSpecification& job, const DomainOffer& offer) {
  const int accelerators = job.tasks * job.accelerators_per_task;
  if (accelerators > 0 && offer.unclaimed_guarantee >= accelerators)
    return DomainFit::kGuaranteed;
  const bool has_capacity = offer.free_accelerators >= accelerators &&
                            offer.free_cores >= job.tasks * job.cores_per_task;
  return has_capacity ? DomainFit::kFreeCapacity : DomainFit::kQueue;
}

const char* Explain(DomainFit fit) {
  switch (fit) {
    case DomainFit::kGuaranteed:
      return "the customer's unclaimed guarantee covers the job";
    case DomainFit::kFreeCapacity:
      return "it has the most free capacity for the job";
    case DomainFit::kQueue:
      return "no domain has enough free capacity; it has the shortest queue "
             "for its size";
  }
  return "";
}

// Sort key of an offer; the lowest is chosen.
auto Rank(const JobSpecification& job, const DomainOffer& offer) {
  const DomainFit fit = FitOf(job, offer);
  // Queue length relative to the size of the domain, in thousandths.
  const int queue =
      1000 * (offer.waiting_jobs + 1) / std::max(offer.total_accelerators, 1);
  return std::tuple(fit, fit == DomainFit::kQueue ? queue : 0,
                    -offer.free_accelerators, -offer.free_cores, offer.domain);
}

}  // namespace

DomainChoice ChooseDomain(const JobRecord& job,
                          const std::vector<DomainOffer>& offers) {
  std::vector<DomainRejection> rejected;
  std::string permanent;
  bool may_run_somewhere = false;
  const DomainOffer* best = nullptr;
  for (const DomainOffer& offer : offers) {
    std::string why = PermanentRejection(job, offer);
    if (!why.empty()) {
      permanent +=
          (permanent.empty() ? "" : "; ") + offer.domain.value() + ": " + why;
    } else {
      may_run_somewhere = true;
      why = TemporaryRejection(job.specification, offer);
    }
    if (!why.empty()) {
      rejected.push_back({.domain = offer.domain, .why = std::move(why)});
      continue;
    }
    if (best == nullptr ||
        Rank(job.specification, offer) < Rank(job.specification, *best))
      best = &offer;
  }
  if (best != nullptr) {
    const DomainFit fit = FitOf(job.specification, *best);
    return DomainChosen{.domain = best->domain,
                        .fit = fit,
                        .why = Explain(fit),
                        .rejected = std::move(rejected)};
  }
  if (!may_run_somewhere && !offers.empty())
    return NoDomainEver{.why = std::move(permanent)};
  return NoDomainNow{.rejected = std::move(rejected)};
}

}  // namespace wigeonstair::cluster
