#include "settings/guarantee_check.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "placement/guarantee_feasibility.h"
#include "settings/cluster_configuration.h"

namespace wigeonstair::settings {

namespace {

using cluster::ClusterConfiguration;
using cluster::CustomerConfiguration;
using cluster::DomainConfiguration;
using cluster::Guarantee;
using placement::CellName;
using placement::GuaranteeConflict;

std::size_t CustomerIndex(const ClusterConfiguration& configuration,
                          const base::CustomerId& id) {
  const auto found = std::find_if(
      configuration.customers.begin(), configuration.customers.end(),
      [&id](const auto& customer) { return customer.id == id; });
  return static_cast<std::size_t>(found - configuration.customers.begin());
}

// The guarantee that a numbered cell belongs to. Cells of one shape are
// numbered through all guarantees of the customer in the domain.
std::size_t GuaranteeIndex(const CustomerConfiguration& customer,
                           const GuaranteeConflict& conflict) {
  int number = conflict.cell.number;
  std::size_t last = 0;
  for (std::size_t i = 0; i < customer.guarantees.size(); ++i) {
    const Guarantee& guarantee = customer.guarantees[i];
    if (guarantee.domain != conflict.domain ||
        guarantee.shape != conflict.cell.shape) {
      continue;
    }
    last = i;
    if (number < guarantee.count)
      break;
    number -= guarantee.count;
  }
  return last;
}

// "2 x 16 accelerators in one rack of 'a'".
std::string DescribeCount(int count,
                          const cluster::CellShape& shape,
                          const base::CustomerId& customer) {
  return std::to_string(count) + " x " + DescribeShape(shape) + " of '" +
         customer.value() + "'";
}

// The same for a list of cells, separated by commas.
std::string DescribeCells(const std::vector<CellName>& cells) {
  std::map<std::pair<base::CustomerId, cluster::CellShape>, int> counts;
  for (const CellName& cell : cells)
    ++counts[{cell.customer, cell.shape}];
  std::string text;
  for (const auto& [key, count] : counts) {
    text += text.empty() ? "" : ", ";
    text += DescribeCount(count, key.second, key.first);
  }
  return text;
}

std::string Explain(const Guarantee& guarantee,
                    int unmet,
                    const std::vector<CellName>& clashes) {
  std::string text = std::to_string(unmet) + " of " +
                     std::to_string(guarantee.count) + " cells of " +
                     DescribeShape(guarantee.shape) + " do not fit into '" +
                     guarantee.domain.value() + "'";
  if (clashes.empty())
    return text + ", not even when it is empty";
  return text + "; clashes with " + DescribeCells(clashes);
}

struct SumsOfDomain {
  std::int64_t existing = 0;
  std::int64_t promised = 0;
  // The promised cells in words.
  std::string cells;
};

// Packing names each clashing cell but takes time for each promised one; a
// mistyped count beyond this multiple of what exists is reported by sums only.
constexpr std::int64_t kPackingLimitMultiple = 8;

SumsOfDomain SumUp(const ClusterConfiguration& configuration,
                   const DomainConfiguration& domain) {
  SumsOfDomain sums;
  for (const auto& rack : domain.racks) {
    sums.existing += std::int64_t{rack.workers} * rack.accelerators_per_worker;
  }
  for (const auto& customer : configuration.customers) {
    for (const Guarantee& guarantee : customer.guarantees) {
      if (guarantee.domain != domain.id)
        continue;
      sums.promised +=
          std::int64_t{guarantee.count} * guarantee.shape.accelerators;
      sums.cells += sums.cells.empty() ? "" : ", ";
      sums.cells +=
          DescribeCount(guarantee.count, guarantee.shape, customer.id);
    }
  }
  return sums;
}

// Whether packing the guarantees is bounded; adds faults of sums.
bool CheckSums(const ClusterConfiguration& configuration, Faults& faults) {
  bool bounded = true;
  for (std::size_t i = 0; i < configuration.domains.size(); ++i) {
    const DomainConfiguration& domain = configuration.domains[i];
    const SumsOfDomain sums = SumUp(configuration, domain);
    bounded &= sums.promised <= kPackingLimitMultiple * sums.existing;
    if (sums.promised > sums.existing) {
      faults.push_back(
          {.line = 0,
           .path = "domains[" + std::to_string(i) + "].id",
           .message = "guarantees in '" + domain.id.value() + "' promise " +
                      std::to_string(sums.promised) +
                      " accelerators, but its workers have " +
                      std::to_string(sums.existing) + ": " + sums.cells});
    }
  }
  return bounded;
}

}  // namespace

std::string DescribeShape(const cluster::CellShape& shape) {
  if (shape.level == cluster::CellLevel::kAccelerator)
    return "1 accelerator";
  return std::to_string(shape.accelerators) + " accelerators in one " +
         std::string(CellLevelName(shape.level));
}

std::vector<UnmetGuarantee> FindUnmetGuarantees(
    const ClusterConfiguration& configuration) {
  using Key = std::pair<std::size_t, std::size_t>;
  std::map<Key, std::vector<CellName>> clashes;
  std::map<Key, int> unmet_cells;
  for (GuaranteeConflict& conflict : placement::FindGuaranteeConflicts(
           configuration.domains, configuration.customers)) {
    // Guarantees in unknown domains are reported as wrong references.
    if (std::none_of(configuration.domains.begin(), configuration.domains.end(),
                     [&conflict](const auto& domain) {
                       return domain.id == conflict.domain;
                     })) {
      continue;
    }
    const std::size_t customer =
        CustomerIndex(configuration, conflict.cell.customer);
    const Key key{customer,
                  GuaranteeIndex(configuration.customers[customer], conflict)};
    if (unmet_cells[key]++ == 0)
      clashes[key] = std::move(conflict.conflicting_cells);
  }
  std::vector<UnmetGuarantee> unmet;
  for (const auto& [key, cells] : unmet_cells) {
    const auto& customer = configuration.customers[key.first];
    const Guarantee& guarantee = customer.guarantees[key.second];
    unmet.push_back({.customer = customer.id,
                     .guarantee = key.second,
                     .unmet_cells = cells,
                     .domain = guarantee.domain,
                     .explanation = Explain(guarantee, cells, clashes[key])});
  }
  return unmet;
}

Faults CheckGuarantees(const ClusterConfiguration& configuration) {
  Faults faults;
  if (!CheckSums(configuration, faults))
    return faults;
  for (const UnmetGuarantee& unmet : FindUnmetGuarantees(configuration)) {
    const std::size_t customer = CustomerIndex(configuration, unmet.customer);
    faults.push_back({.line = 0,
                      .path = "customers[" + std::to_string(customer) +
                              "].guarantees[" +
                              std::to_string(unmet.guarantee) + "].count",
                      .message = unmet.explanation});
  }
  return faults;
}

}  // namespace wigeonstair::settings
