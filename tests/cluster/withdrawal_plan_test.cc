#include "cluster/withdrawal_plan.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "cluster/assignment_plan.h"
#include "cluster/configuration_patch.h"

namespace wigeonstair::cluster {

namespace {

const base::DomainId kLinz("linz");
const base::DomainId kWels("wels");
const base::DomainId kEnns("enns");

// Domains with 16 accelerators each.
ClusterState MakeState(const std::vector<base::DomainId>& domains) {
  ClusterConfiguration configuration{.cluster = "test"};
  for (const base::DomainId& id : domains) {
    configuration.domains.push_back(
        {.id = id,
         .racks = {{.id = base::RackId("r"),
                    .workers = 2,
                    .cores_per_worker = 64,
                    .memory_megabytes_per_worker = 1000,
                    .accelerators_per_worker = 8}}});
  }
  // ApplyPatch() returns a normalized configuration, so the hash must be of
  // one.
  configuration = Normalize(configuration);
  ClusterState state;
  state.Apply(
      ApplyConfiguration{.operation = "configure",
                         .target_hash = HashConfiguration(configuration),
                         .patch = DiffConfigurations({}, configuration)});
  return state;
}

base::JobId Submit(ClusterState& state, int number, int accelerators) {
  base::JobId id("j" + std::to_string(number));
  state.Apply(SubmitJob{
      .operation = id.value(),
      .specification = {.id = id, .accelerators_per_task = accelerators}});
  return id;
}

void Assign(ClusterState& state, const std::set<base::DomainId>& reachable) {
  for (const auto& planned :
       PlanAssignments(state, {.reachable = reachable, .limit = 1000}))
    state.Apply(planned.command);
}

void SetStatus(ClusterState& state,
               const base::DomainId& domain,
               DomainStatus status) {
  state.Apply(
      SetDomainStatus{.operation = "status-" + std::to_string(state.revision()),
                      .expected_revision = state.domain(domain).revision,
                      .domain = domain,
                      .status = status});
}

std::vector<base::JobId> JobsOf(const ClusterState& state,
                                const base::DomainId& domain) {
  const auto& jobs = state.assigned_jobs(domain);
  return {jobs.begin(), jobs.end()};
}

}  // namespace

// Guards against jobs that wait in a full domain while a domain that came back
// in is idle.
TEST_CASE("waiting jobs move to a domain that comes back in") {
  ClusterState state = MakeState({kLinz, kWels});
  SetStatus(state, kWels, DomainStatus::kOut);
  for (int i = 0; i < 4; ++i)
    Submit(state, i, 8);
  Assign(state, {kLinz, kWels});
  REQUIRE(JobsOf(state, kLinz).size() == 4);
  const WithdrawalInput input{
      .domain = kLinz,
      .reachable = {kLinz, kWels},
      .waiting = {base::JobId("j2"), base::JobId("j3")}};
  CHECK(PlanWithdrawals(state, input).empty());
  SetStatus(state, kWels, DomainStatus::kIn);
  CHECK(PlanWithdrawals(state, input).size() == 2);
  WithdrawalInput unreachable = input;
  unreachable.reachable = {kLinz};
  CHECK(PlanWithdrawals(state, unreachable).empty());
}

// Guards against jobs that move between domains forever: a withdrawn job goes
// to another domain and within its free capacity, and after a few rounds no job
// moves any more.
TEST_CASE("withdrawals never send a job back or overfill a domain") {
  base::Random random(20261204);
  int moves = 0;
  for (int run = 0; run < 300; ++run) {
    const std::set<base::DomainId> all = {kLinz, kWels, kEnns};
    ClusterState state = MakeState({kLinz, kWels, kEnns});
    SetStatus(state, kWels, DomainStatus::kOut);
    const int jobs = 1 + static_cast<int>(random.Below(20));
    for (int i = 0; i < jobs; ++i)
      Submit(state, i, 1 + static_cast<int>(random.Below(16)));
    Assign(state, all);
    SetStatus(state, kWels, DomainStatus::kIn);
    int last_round = 0;
    for (int round = 0; round < 20; ++round) {
      const base::DomainId& domain = round % 2 == 0 ? kLinz : kEnns;
      // Any job may wait, even where the total free capacity suffices.
      std::vector<base::JobId> waiting;
      for (const base::JobId& job : JobsOf(state, domain)) {
        if (random.Below(2) == 0)
          waiting.push_back(job);
      }
      const auto plan = PlanWithdrawals(
          state, {.domain = domain, .reachable = all, .waiting = waiting});
      for (const PlannedWithdrawal& planned : plan) {
        last_round = round;
        ++moves;
        state.Apply(
            ReleaseJob{.job = planned.job,
                       .domain = domain,
                       .assignment = state.jobs().at(planned.job).assignments});
        Assign(state, all);
        const JobRecord& record = state.jobs().at(planned.job);
        CHECK(record.domain != domain);
        int used = 0;
        for (const base::JobId& job : JobsOf(state, record.domain))
          used += state.jobs().at(job).specification.accelerators_per_task;
        CHECK(used <= 16);
      }
    }
    CHECK(last_round < 18);
  }
  // The random runs must move enough jobs for the checks to mean anything.
  CHECK(moves > 300);
}

// Guards against a job that is reassigned forever because it fits in no domain
// although the total free capacity suffices.
TEST_CASE("a job at the assignment limit is not withdrawn") {
  ClusterState state = MakeState({kLinz, kWels});
  const base::JobId job = Submit(state, 0, 8);
  while (state.jobs().at(job).assignments < kMaximumAssignments) {
    SetStatus(state, kWels, DomainStatus::kOut);
    Assign(state, {kLinz, kWels});
    state.Apply(ReleaseJob{.job = job,
                           .domain = kLinz,
                           .assignment = state.jobs().at(job).assignments});
  }
  Assign(state, {kLinz, kWels});
  Submit(state, 1, 16);
  Assign(state, {kLinz});
  SetStatus(state, kWels, DomainStatus::kIn);
  CHECK(PlanWithdrawals(
            state,
            {.domain = kLinz, .reachable = {kLinz, kWels}, .waiting = {job}})
            .empty());
}

}  // namespace wigeonstair::cluster
