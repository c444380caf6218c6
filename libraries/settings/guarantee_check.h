#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_GUARANTEE_CHECK_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_GUARANTEE_CHECK_H_

#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "settings/fault.h"

namespace wigeonstair::settings {

// Guaranteed cells that the declared workers of a failure domain cannot hold
// together with the other guarantees of the domain.
struct UnmetGuarantee {
  base::CustomerId customer;
  // Index into the customer's guarantees.
  std::size_t guarantee = 0;
  int unmet_cells = 0;
  base::DomainId domain;
  // Names the clashing cells.
  std::string explanation;

  auto operator<=>(const UnmetGuarantee&) const = default;
};

// Packs all guaranteed cells into racks and workers with the check of the
// placement library, one entry per guarantee that is not met in full.
std::vector<UnmetGuarantee> FindUnmetGuarantees(
    const cluster::ClusterConfiguration& configuration);

// The same as faults with paths into the configuration, and a fault for each
// domain that promises more accelerators than it has.
Faults CheckGuarantees(const cluster::ClusterConfiguration& configuration);

// A cell shape in words, such as "16 accelerators in one rack".
std::string DescribeShape(const cluster::CellShape& shape);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_GUARANTEE_CHECK_H_
