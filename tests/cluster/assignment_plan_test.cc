#include "cluster/assignment_plan.h"

#include <catch2/catch.hpp>

namespace wigeonstair::cluster {

namespace {

const base::DomainId kLinz("linz");
const base::DomainId kWels("wels");

// Two domains with 16 accelerators each.
ClusterState MakeState() {
  ConfigurationPatch patch{.cluster = "test"};
  for (const base::DomainId& id : {kLinz, kWels}) {
    patch.changed_domains.push_back(
        {.id = id,
         .racks = {{.id = base::RackId("r"),
                    .workers = 2,
                    .cores_per_worker = 64,
                    .memory_megabytes_per_worker = 1000,
                    .accelerators_per_worker = 8}}});
  }
  ClusterState state;
  state.Apply(ApplyConfiguration{
      .operation = "configure",
      .target_hash = HashConfiguration(ApplyPatch({}, patch)),
      .patch = patch});
  return state;
}

void Submit(ClusterState& state, const std::string& id) {
  state.Apply(SubmitJob{
      .operation = id,
      .specification = {.id = base::JobId(id), .accelerators_per_task = 8}});
}

AssignmentInput BothReachable() {
  return {.reachable = {kLinz, kWels}};
}

void Apply(ClusterState& state, const std::vector<PlannedAssignment>& plan) {
  for (const PlannedAssignment& planned : plan)
    CHECK(state.Apply(planned.command).result == CommandResult::kAccepted);
}

}  // namespace

// Guards against a burst that is assigned to a single domain because the load
// only becomes known after the jobs have started.
TEST_CASE("a burst of jobs is spread over the domains in one plan") {
  ClusterState state = MakeState();
  for (int i = 0; i < 4; ++i)
    Submit(state, "j" + std::to_string(i));
  Apply(state, PlanAssignments(state, BothReachable()));
  CHECK(state.assigned_jobs(kLinz).size() == 2);
  CHECK(state.assigned_jobs(kWels).size() == 2);
  CHECK(state.queued_jobs().empty());
}

// Guards against domains that each allow the full borrowing limit, and against
// a limit that is split among the domains so that no gang fits into a share.
TEST_CASE("a borrowing limit holds for the sum over all domains") {
  ClusterState state = MakeState();
  ClusterConfiguration limited = state.configuration();
  limited.customers = {
      {.id = base::CustomerId("limited"), .borrowing_limit = 16}};
  state.Apply(ApplyConfiguration{
      .operation = "limit",
      .expected_revision = 1,
      .target_hash = HashConfiguration(limited),
      .patch = DiffConfigurations(state.configuration(), limited)});
  for (int i = 0; i < 3; ++i) {
    const std::string id = "j" + std::to_string(i);
    state.Apply(
        SubmitJob{.operation = id,
                  .specification = {.id = base::JobId(id),
                                    .customer = base::CustomerId("limited"),
                                    .accelerators_per_task = 8}});
  }
  Apply(state, PlanAssignments(state, BothReachable()));
  CHECK(state.assigned_jobs(kLinz).size() + state.assigned_jobs(kWels).size() ==
        2);
  CHECK(state.queued_jobs().size() == 1);
  state.Apply(FinishJob{.job = base::JobId("j0"), .assignment = 1});
  Apply(state, PlanAssignments(state, BothReachable()));
  CHECK(state.queued_jobs().empty());
}

// Guards against a second command for a job while the first one is not applied.
TEST_CASE("a job with a command in flight gets no second command") {
  ClusterState state = MakeState();
  Submit(state, "j1");
  AssignmentInput input = BothReachable();
  input.in_flight.insert(base::JobId("j1"));
  CHECK(PlanAssignments(state, input).empty());
}

// Guards against the loss of jobs and checkpoints of a domain that is removed
// permanently.
TEST_CASE("jobs of a stopped domain are requeued with their progress") {
  ClusterState state = MakeState();
  Submit(state, "j1");
  state.Apply(AssignJob{.job = base::JobId("j1"), .domain = kLinz});
  state.Apply(KeepCheckpoint{.job = base::JobId("j1"),
                             .assignment = 1,
                             .checkpoint_milliseconds = 500});
  state.Apply(SetDomainStatus{
      .operation = "out", .domain = kLinz, .status = DomainStatus::kOut});
  CHECK(PlanAssignments(state, {.reachable = {kWels}}).empty());
  AssignmentInput input{.reachable = {kWels}, .stopped = {kLinz}};
  Apply(state, PlanAssignments(state, input));
  Apply(state, PlanAssignments(state, input));
  CHECK(state.assigned_jobs(kWels).size() == 1);
  CHECK(state.jobs().at(base::JobId("j1")).checkpoint_milliseconds == 500);
}

// Guards against a job that waits forever although every domain has refused it.
TEST_CASE("a job that every domain refused ends as refused") {
  ClusterState state = MakeState();
  Submit(state, "j1");
  for (std::uint32_t round = 0; round < 2; ++round) {
    const base::DomainId& domain = round == 0 ? kLinz : kWels;
    state.Apply(AssignJob{.job = base::JobId("j1"),
                          .domain = domain,
                          .expected_assignment = round});
    state.Apply(ReleaseJob{.job = base::JobId("j1"),
                           .domain = domain,
                           .assignment = round + 1,
                           .refusal = "too large"});
  }
  Apply(state, PlanAssignments(state, BothReachable()));
  CHECK(state.jobs().at(base::JobId("j1")).outcome == JobOutcome::kRefused);
}

}  // namespace wigeonstair::cluster
