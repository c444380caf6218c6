#include "placement/guarantee_feasibility.h"

#include <catch2/catch.hpp>

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;
using cluster::CellShape;

// One rack with two workers of four accelerators.
cluster::DomainConfiguration Domain() {
  cluster::DomainConfiguration domain;
  domain.id = base::DomainId("wels");
  domain.racks = {{.id = base::RackId("rack"),
                   .workers = 2,
                   .cores_per_worker = 16,
                   .memory_megabytes_per_worker = 64'000,
                   .accelerators_per_worker = 4}};
  return domain;
}

cluster::CustomerConfiguration Customer(const std::string& id,
                                        CellShape shape,
                                        int count) {
  cluster::CustomerConfiguration customer;
  customer.id = base::CustomerId(id);
  customer.guarantees = {
      {.domain = base::DomainId("wels"), .shape = shape, .count = count}};
  return customer;
}

}  // namespace

// Guards against a check that rejects guarantees which fill the domain exactly.
TEST_CASE("guarantees that fill the domain are accepted") {
  CHECK(FindGuaranteeConflicts({Domain()},
                               {Customer("a", {CellLevel::kWorker, 4}, 1),
                                Customer("b", {CellLevel::kAccelerator, 1}, 4)})
            .empty());
}

// Guards against a check that only compares totals: 3 + 3 + 2 accelerators do
// not exceed 8, but do not fit on two workers of 4.
TEST_CASE("a cell conflict names the cells that do not fit together") {
  const auto conflicts = FindGuaranteeConflicts(
      {Domain()}, {Customer("a", {CellLevel::kWorker, 3}, 2),
                   Customer("b", {CellLevel::kWorker, 2}, 1)});
  REQUIRE(conflicts.size() == 1);
  CHECK(conflicts[0].cell.ToString() == "b worker x2 #0");
  REQUIRE_FALSE(conflicts[0].conflicting_cells.empty());
  CHECK(conflicts[0].conflicting_cells[0].customer == base::CustomerId("a"));
}

// Guards against accepting cells that are larger than the domain, and
// guarantees in a domain that does not exist.
TEST_CASE("impossible cells and unknown domains are rejected") {
  const auto too_large = FindGuaranteeConflicts(
      {Domain()}, {Customer("a", {CellLevel::kRack, 16}, 1)});
  REQUIRE(too_large.size() == 1);
  CHECK(too_large[0].conflicting_cells.empty());
  const auto unknown =
      FindGuaranteeConflicts({}, {Customer("a", {CellLevel::kWorker, 1}, 1)});
  REQUIRE(unknown.size() == 1);
  CHECK(unknown[0].text.find("unknown failure domain wels") !=
        std::string::npos);
}

}  // namespace wigeonstair::placement
