#include "jobs/configuration_check.h"

#include <cmath>
#include <set>
#include <utility>

namespace wigeonstair::jobs {

std::vector<CustomerFinding> CheckCustomers(
    const Configuration& configuration) {
  std::vector<CustomerFinding> findings;
  std::set<base::CustomerId> ids;
  for (const Customer& customer : configuration.customers) {
    const auto find = [&](CustomerFault fault, std::string detail) {
      findings.push_back({.customer = customer.id,
                          .fault = fault,
                          .detail = std::move(detail)});
    };
    const std::uint64_t cap = customer.cap.accelerators;
    if (cap != 0 && customer.guaranteed_accelerators > cap) {
      find(CustomerFault::kGuaranteeAboveCap,
           "it is guaranteed " +
               std::to_string(customer.guaranteed_accelerators) +
               " accelerators and its cap is " + std::to_string(cap));
    }
    if (customer.weight == 0)
      find(CustomerFault::kNoWeight, "its weight is 0");
    else if (!std::isfinite(customer.weight) || customer.weight < 0)
      find(CustomerFault::kInvalidWeight,
           "its weight is " + std::to_string(customer.weight));
    if (!ids.insert(customer.id).second)
      find(CustomerFault::kSameId, "an earlier customer has the same id");
  }
  return findings;
}

}  // namespace wigeonstair::jobs
