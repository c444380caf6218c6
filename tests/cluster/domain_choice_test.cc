#include "cluster/domain_choice.h"

#include <catch2/catch.hpp>

namespace wigeonstair::cluster {

namespace {

DomainOffer Offer(const char* id, int free_accelerators) {
  return {.domain = base::DomainId(id),
          .status = DomainStatus::kIn,
          .reachability = DomainOffer::Reachability::kReachable,
          .total_accelerators = 100,
          .free_accelerators = free_accelerators,
          .free_cores = 1000};
}

JobRecord JobOf(int accelerators) {
  JobRecord record;
  record.specification.accelerators_per_task = accelerators;
  return record;
}

std::string Chosen(const DomainChoice& choice) {
  const auto* chosen = std::get_if<DomainChosen>(&choice);
  return chosen == nullptr ? "" : chosen->domain.value();
}

}  // namespace

// Guards against borrowing in one domain while the customer's guarantee in
// another one is unclaimed.
TEST_CASE("an unclaimed guarantee is preferred to free capacity") {
  std::vector<DomainOffer> offers = {Offer("a", 50), Offer("b", 10)};
  CHECK(Chosen(ChooseDomain(JobOf(8), offers)) == "a");
  offers[1].unclaimed_guarantee = 8;
  CHECK(Chosen(ChooseDomain(JobOf(8), offers)) == "b");
}

// Guards against jobs that are assigned to a domain that is out or partitioned.
TEST_CASE("a domain that is out or unreachable is not chosen") {
  std::vector<DomainOffer> offers = {Offer("a", 50), Offer("b", 10)};
  offers[0].status = DomainStatus::kOut;
  CHECK(Chosen(ChooseDomain(JobOf(8), offers)) == "b");
  offers[1].reachability = DomainOffer::Reachability::kUnreachable;
  const DomainChoice choice = ChooseDomain(JobOf(8), offers);
  REQUIRE(std::holds_alternative<NoDomainNow>(choice));
  CHECK(std::get<NoDomainNow>(choice).rejected.size() == 2);
}

// Guards against a job that waits forever although no domain can run it.
TEST_CASE("a job that every domain refused can never run") {
  const std::vector<DomainOffer> offers = {Offer("a", 50), Offer("b", 10)};
  JobRecord job = JobOf(8);
  job.refusals[base::DomainId("a")] = "no worker has 64 accelerators";
  CHECK(Chosen(ChooseDomain(job, offers)) == "b");
  job.specification.allowed_domains = {base::DomainId("a")};
  const DomainChoice choice = ChooseDomain(job, offers);
  REQUIRE(std::holds_alternative<NoDomainEver>(choice));
  CHECK(std::get<NoDomainEver>(choice).why.find("64 accelerators") !=
        std::string::npos);
}

// Guards against all jobs being queued in one full domain.
TEST_CASE("without free capacity the shortest relative queue wins") {
  std::vector<DomainOffer> offers = {Offer("a", 0), Offer("b", 0)};
  offers[0].waiting_jobs = 4;
  offers[1].waiting_jobs = 6;
  offers[1].total_accelerators = 400;
  CHECK(Chosen(ChooseDomain(JobOf(8), offers)) == "b");
}

}  // namespace wigeonstair::cluster
