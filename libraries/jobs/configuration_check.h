#ifndef WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_CHECK_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_CHECK_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "jobs/configuration.h"

namespace wigeonstair::jobs {

enum class CustomerFault : std::uint8_t {
  // The cap lets the customer use less than it is guaranteed.
  kGuaranteeAboveCap,
  // The customer has no share when the fleet is full.
  kNoWeight,
  // The weight is negative or not finite.
  kInvalidWeight,
  // An earlier customer has the same id; the limits of that one count.
  kSameId,
};

// A contradiction in a valid configuration.
struct CustomerFinding {
  base::CustomerId customer;
  CustomerFault fault = CustomerFault::kGuaranteeAboveCap;
  // In words, with the values.
  std::string detail;

  auto operator<=>(const CustomerFinding&) const = default;
};

// Finds what contradicts itself in the limits of the customers, in their order.
// Pure function.
std::vector<CustomerFinding> CheckCustomers(const Configuration& configuration);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_CHECK_H_
