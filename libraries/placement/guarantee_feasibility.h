#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_FEASIBILITY_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_FEASIBILITY_H_

#include <string>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::placement {

// Identifies a guaranteed cell of one customer.
struct CellName {
  base::CustomerId customer = {};
  cluster::CellShape shape = {};
  // Index among the customer's cells of this shape in the domain.
  int number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const CellName&) const = default;

  // For example "acme worker x8 #2".
  std::string ToString() const;
};

// A guaranteed cell that does not fit into its domain.
struct GuaranteeConflict {
  base::DomainId domain = {};
  CellName cell = {};
  // The cells that it competes with; empty if it does not even fit into an
  // empty domain or names an unknown domain.
  std::vector<CellName> conflicting_cells = {};
  std::string text = {};

  bool operator==(const GuaranteeConflict&) const = default;
};

// Checks that all guaranteed cells of all customers fit into the domains at the
// same time. Returns an empty list if they do. Cells are packed largest first,
// which is exact if the sizes divide each other. For other sizes it may reject
// a feasible set, but it never accepts an infeasible one.
std::vector<GuaranteeConflict> FindGuaranteeConflicts(
    const std::vector<cluster::DomainConfiguration>& domains,
    const std::vector<cluster::CustomerConfiguration>& customers);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_FEASIBILITY_H_
