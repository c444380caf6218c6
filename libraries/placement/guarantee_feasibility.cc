#include "placement/guarantee_feasibility.h"

#include <algorithm>
#include <map>

#include "placement/cell_packing.h"

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;
using cluster::CellShape;

// A cell to pack, and its parts once it is packed.
struct WantedCell {
  CellName name;
  CellShape shape;  // See NormalizeShape().
  std::vector<CellPart> parts;
};

std::string_view LevelName(CellLevel level) {
  switch (level) {
    case CellLevel::kAccelerator:
      return "accelerator";
    case CellLevel::kWorker:
      return "worker";
    case CellLevel::kRack:
      return "rack";
    case CellLevel::kDomain:
      return "domain";
  }
  return "unknown";
}

std::vector<PackingSlot> SlotsOf(const cluster::DomainConfiguration& domain) {
  std::vector<PackingSlot> slots;
  int rack_index = 0;
  for (const cluster::RackConfiguration& rack : domain.racks) {
    for (int i = 0; i < rack.workers; ++i) {
      slots.push_back({.rack = rack_index,
                       .accelerators = rack.accelerators_per_worker,
                       .unused = rack.accelerators_per_worker});
    }
    ++rack_index;
  }
  return slots;
}

// Returns the cells that the customers have in the domain, in packing order.
std::vector<WantedCell> CellsOf(
    const base::DomainId& domain,
    const std::vector<cluster::CustomerConfiguration>& customers,
    const std::vector<PackingSlot>& slots) {
  std::vector<WantedCell> cells;
  for (const cluster::CustomerConfiguration& customer : customers) {
    std::map<CellShape, int> numbers;
    for (const cluster::Guarantee& guarantee : customer.guarantees) {
      if (guarantee.domain != domain)
        continue;
      for (int i = 0; i < guarantee.count; ++i) {
        cells.push_back({.name = {.customer = customer.id,
                                  .shape = guarantee.shape,
                                  .number = numbers[guarantee.shape]++},
                         .shape = NormalizeShape(guarantee.shape, slots),
                         .parts = {}});
      }
    }
  }
  std::stable_sort(cells.begin(), cells.end(),
                   [](const WantedCell& left, const WantedCell& right) {
                     return PacksBefore(left.shape, right.shape);
                   });
  return cells;
}

bool IsMalformed(const CellShape& shape) {
  return shape.accelerators < 1 ||
         (shape.level == CellLevel::kAccelerator && shape.accelerators != 1);
}

// Returns the packed cells that must be removed so that `cell` fits, most
// recently packed first.
std::vector<CellName> FindConflictingCells(
    const WantedCell& cell,
    const std::vector<WantedCell>& packed,
    std::vector<PackingSlot> slots) {
  std::vector<CellName> removed;
  for (auto other = packed.rbegin(); other != packed.rend(); ++other) {
    for (const CellPart& part : other->parts)
      slots[part.slot].unused += part.accelerators;
    removed.push_back(other->name);
    std::vector<PackingSlot> trial = slots;
    if (!PackCell(cell.shape, trial).empty())
      break;
  }
  return removed;
}

std::string Describe(const GuaranteeConflict& conflict) {
  std::string text = "guaranteed cell " + conflict.cell.ToString() +
                     " has no room in failure domain " +
                     conflict.domain.value();
  if (conflict.conflicting_cells.empty())
    return text + ", not even when the domain is empty";
  text += " beside ";
  for (std::size_t i = 0; i < conflict.conflicting_cells.size(); ++i)
    text += (i ? ", " : "") + conflict.conflicting_cells[i].ToString();
  return text;
}

void CheckDomain(const cluster::DomainConfiguration& domain,
                 const std::vector<cluster::CustomerConfiguration>& customers,
                 std::vector<GuaranteeConflict>& conflicts) {
  std::vector<PackingSlot> slots = SlotsOf(domain);
  const std::vector<PackingSlot> empty = slots;
  std::vector<WantedCell> packed;
  for (WantedCell& cell : CellsOf(domain.id, customers, slots)) {
    GuaranteeConflict conflict{.domain = domain.id, .cell = cell.name};
    std::vector<PackingSlot> trial = empty;
    if (IsMalformed(cell.name.shape)) {
      conflict.text = "guaranteed cell " + cell.name.ToString() +
                      " needs at least 1 accelerator, and exactly 1 at level "
                      "accelerator";
      conflicts.push_back(std::move(conflict));
      continue;
    }
    const bool possible = !PackCell(cell.shape, trial).empty();
    cell.parts =
        possible ? PackCell(cell.shape, slots) : std::vector<CellPart>();
    if (!cell.parts.empty()) {
      packed.push_back(std::move(cell));
      continue;
    }
    if (possible)
      conflict.conflicting_cells = FindConflictingCells(cell, packed, slots);
    conflict.text = Describe(conflict);
    conflicts.push_back(std::move(conflict));
  }
}

void CheckDomainNames(
    const std::vector<cluster::DomainConfiguration>& domains,
    const std::vector<cluster::CustomerConfiguration>& customers,
    std::vector<GuaranteeConflict>& conflicts) {
  for (const cluster::CustomerConfiguration& customer : customers) {
    for (const cluster::Guarantee& guarantee : customer.guarantees) {
      const bool known = std::any_of(
          domains.begin(), domains.end(),
          [&](const auto& domain) { return domain.id == guarantee.domain; });
      if (known)
        continue;
      conflicts.push_back(
          {.domain = guarantee.domain,
           .cell = {.customer = customer.id, .shape = guarantee.shape},
           .conflicting_cells = {},
           .text = "customer " + customer.id.value() +
                   " has a guarantee in unknown failure domain " +
                   guarantee.domain.value()});
    }
  }
}

}  // namespace

std::string CellName::ToString() const {
  return customer.value() + " " + std::string(LevelName(shape.level)) + " x" +
         std::to_string(shape.accelerators) + " #" + std::to_string(number);
}

std::vector<GuaranteeConflict> FindGuaranteeConflicts(
    const std::vector<cluster::DomainConfiguration>& domains,
    const std::vector<cluster::CustomerConfiguration>& customers) {
  std::vector<GuaranteeConflict> conflicts;
  CheckDomainNames(domains, customers, conflicts);
  for (const cluster::DomainConfiguration& domain : domains)
    CheckDomain(domain, customers, conflicts);
  return conflicts;
}

}  // namespace wigeonstair::placement
