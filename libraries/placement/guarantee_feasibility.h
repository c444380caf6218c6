#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_FEASIBILITY_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_FEASIBILITY_H_

#include <string>
#include <vector>

#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::placement {

// A guaranteed cell of one customer.
struct CellName {
  base::CustomerId customer = {};
  cluster::CellShape shape = {};
  // 0-based number among the customer's cells of this shape in the domain.
  int number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const CellName&) const = default;

  // Such as "acme worker x8 #2".
  std::string ToString() const;
};

// A cell that cannot be provided beside the cells that take its room.
struct GuaranteeConflict {
  base::DomainId domain = {};
  CellName cell = {};
  // The cells that use the room; empty when no empty domain has the room.
  std::vector<CellName> conflicting_cells = {};
  std::string text = {};

  bool operator==(const GuaranteeConflict&) const = default;
};

// Checks that all guaranteed cells of all customers fit into the domains at the
// same time. Returns an empty list when they do. Cells are packed largest
// first; that is exact when the sizes divide each other, and may otherwise
// refuse a set that a search could pack, but never accepts an impossible one.
std::vector<GuaranteeConflict> FindGuaranteeConflicts(
    const std::vector<cluster::DomainConfiguration>& domains,
    const std::vector<cluster::CustomerConfiguration>& customers);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_GUARANTEE_FEASIBILITY_H_
