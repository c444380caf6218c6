#include "jobs/configuration_check.h"

#include <catch2/catch.hpp>

#include <limits>

namespace wigeonstair::jobs {

namespace {

std::vector<CustomerFault> FaultsOf(std::vector<Customer> customers) {
  std::vector<CustomerFault> faults;
  for (const CustomerFinding& finding :
       CheckCustomers({.version = 1, .customers = std::move(customers)})) {
    CHECK_FALSE(finding.detail.empty());
    faults.push_back(finding.fault);
  }
  return faults;
}

}  // namespace

TEST_CASE("limits of a customer that contradict each other are found") {
  using Faults = std::vector<CustomerFault>;
  CHECK(FaultsOf({{.guaranteed_accelerators = 8}}).empty());
  CHECK(FaultsOf({{.guaranteed_accelerators = 8, .cap = {.accelerators = 8}}})
            .empty());
  CHECK(
      FaultsOf({{.guaranteed_accelerators = 9, .cap = {.accelerators = 8}}}) ==
      Faults{CustomerFault::kGuaranteeAboveCap});
  CHECK(FaultsOf({{.weight = 0}}) == Faults{CustomerFault::kNoWeight});
  for (const double weight : {-1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
    CHECK(FaultsOf({{.weight = weight}}) ==
          Faults{CustomerFault::kInvalidWeight});
  }
  const Customer customer{.id = base::CustomerId("c")};
  CHECK(FaultsOf({customer, customer}) == Faults{CustomerFault::kSameId});
  CHECK(CheckCustomers({.customers = {{.id = base::CustomerId("c"),
                                       .guaranteed_accelerators = 9,
                                       .cap = {.accelerators = 8}}}})[0]
            .detail == "it is guaranteed 9 accelerators and its cap is 8");
}

}  // namespace wigeonstair::jobs
