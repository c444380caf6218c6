#include "cluster/cluster_state.h"

#include <catch2/catch.hpp>

#include "cluster/cluster_codec.h"

namespace wigeonstair::cluster {

namespace {

ConfigurationPatch PatchWithDomains(std::vector<std::string> domains) {
  ConfigurationPatch patch{.cluster = "test"};
  for (std::string& domain : domains)
    patch.changed_domains.push_back({.id = base::DomainId(std::move(domain))});
  return patch;
}

// Sets the target hash of a command whose patch is relative to `before`.
ApplyConfiguration WithHash(ApplyConfiguration command,
                            const ClusterConfiguration& before = {}) {
  command.target_hash = HashConfiguration(ApplyPatch(before, command.patch));
  return command;
}

ApplyConfiguration Configure(std::string operation, std::uint64_t expected) {
  return WithHash({.operation = std::move(operation),
                   .expected_revision = expected,
                   .patch = PatchWithDomains({"linz", "wels"})});
}

SubmitJob Submit(const std::string& job) {
  return {.operation = "submit-" + job,
          .specification = {.id = base::JobId(job),
                            .customer = base::CustomerId("c")}};
}

const base::DomainId kLinz("linz");
const base::DomainId kWels("wels");
const base::JobId kJob("j1");

ClusterState StateWithAssignedJob() {
  ClusterState state;
  state.Apply(Configure("configure", 0));
  state.Apply(Submit("j1"));
  state.Apply(AssignJob{.job = kJob, .domain = kLinz});
  return state;
}

}  // namespace

// Guards against two operators who both believe that their change is in force.
TEST_CASE("of two racing changes one is applied, the other conflicts") {
  const auto race = [](ClusterFault fault) {
    ClusterState state({.fault = fault});
    const CommandReply first = state.Apply(Configure("op-a", 0));
    const CommandReply second = state.Apply(Configure("op-b", 0));
    return std::pair(first, second);
  };
  const auto [first, second] = race(ClusterFault::kNone);
  CHECK(first.result == CommandResult::kAccepted);
  CHECK(second.result == CommandResult::kConflict);
  CHECK(second.winner_operation == "op-a");
  CHECK(second.revision == first.revision);
  // The check detects the injected fault.
  CHECK(race(ClusterFault::kIgnoreExpectedRevision).second.result ==
        CommandResult::kAccepted);
}

// Guards against a retry after a lost reply that is reported as a conflict or
// applied a second time.
TEST_CASE("a retry of an operation returns the first reply") {
  const auto resend = [](ClusterFault fault) {
    ClusterState state({.fault = fault});
    const CommandReply first = state.Apply(Configure("op-a", 0));
    state.Apply(SetDomainStatus{.operation = "op-b",
                                .expected_revision = 0,
                                .domain = kLinz,
                                .status = DomainStatus::kOut});
    return std::pair(first, state.Apply(Configure("op-a", 0)));
  };
  const auto [first, again] = resend(ClusterFault::kNone);
  CHECK(again == first);
  const auto [faulty, faulty_again] = resend(ClusterFault::kForgetOperations);
  CHECK_FALSE(faulty_again == faulty);
}

// Guards against a retry that is rejected because its patch is relative to the
// configuration that the first attempt has applied, or because its submission
// time differs.
TEST_CASE("a retry with another patch or time gets the first reply") {
  ClusterState state;
  const ApplyConfiguration first = Configure("op-a", 0);
  const CommandReply reply = state.Apply(first);
  ApplyConfiguration again = first;
  again.patch = {.cluster = "test"};
  CHECK(state.Apply(again) == reply);
  SubmitJob submit = Submit("j1");
  const CommandReply submitted = state.Apply(submit);
  submit.time_milliseconds = 99;
  CHECK(state.Apply(submit) == submitted);
}

// Guards against a patch that is applied to a configuration other than the one
// it was computed for.
TEST_CASE("a patch whose result has another hash is rejected") {
  ClusterState state;
  ApplyConfiguration command = Configure("op-a", 0);
  command.target_hash ^= 1;
  CHECK(state.Apply(command).result == CommandResult::kInvalid);
  CHECK(state.revision() == 0);
}

// Guards against a new command that is dropped as a retry because it reuses an
// operation id.
TEST_CASE("an operation id reused for another command is rejected") {
  ClusterState state;
  state.Apply(Configure("op-a", 0));
  const CommandReply reply = state.Apply(Submit("j1"));
  CHECK(reply.result == CommandResult::kAccepted);
  SubmitJob other = Submit("j2");
  other.operation = "submit-j1";
  CHECK(state.Apply(other).result == CommandResult::kInvalid);
  CHECK(state.jobs().size() == 1);
}

// Guards against a table of operation ids that grows without bound, and against
// eviction of the newest ones.
TEST_CASE("the table of operation ids is bounded and evicts the oldest") {
  ClusterState state({.maximum_operations = 2});
  state.Apply(Configure("op-a", 0));
  state.Apply(Submit("j1"));
  state.Apply(Submit("j2"));
  CHECK(state.Apply(Submit("j2")).result == CommandResult::kAccepted);
  // op-a was evicted; the expected revision still prevents a second change.
  CHECK(state.Apply(Configure("op-a", 0)).result == CommandResult::kConflict);
}

// Guards against a domain that acts on a job after it has released the job.
TEST_CASE("commands of an earlier assignment are rejected") {
  ClusterState state = StateWithAssignedJob();
  CHECK(state
            .Apply(ReleaseJob{.job = kJob,
                              .domain = kLinz,
                              .assignment = 1,
                              .checkpoint_milliseconds = 700})
            .result == CommandResult::kAccepted);
  state.Apply(
      AssignJob{.job = kJob, .domain = kWels, .expected_assignment = 1});
  CHECK(state.Apply(FinishJob{.job = kJob, .assignment = 1}).result ==
        CommandResult::kConflict);
  CHECK(state.Apply(KeepCheckpoint{.job = kJob, .assignment = 1}).result ==
        CommandResult::kConflict);
  CHECK(state.jobs().at(kJob).checkpoint_milliseconds == 700);
  CHECK(state.assigned_jobs(kLinz).empty());
  CHECK(state.assigned_jobs(kWels).size() == 1);
}

// Guards against recorded progress that is reset by a placement authority that
// does not know the latest checkpoint.
TEST_CASE("the recorded checkpoint of a job never decreases") {
  ClusterState state = StateWithAssignedJob();
  state.Apply(KeepCheckpoint{
      .job = kJob, .assignment = 1, .checkpoint_milliseconds = 900});
  state.Apply(ReleaseJob{.job = kJob,
                         .domain = kLinz,
                         .assignment = 1,
                         .checkpoint_milliseconds = 0});
  CHECK(state.jobs().at(kJob).checkpoint_milliseconds == 900);
}

// Guards against a job that is reported twice with different outcomes.
TEST_CASE("a job ends only once") {
  ClusterState state = StateWithAssignedJob();
  CHECK(state.Apply(FinishJob{.job = kJob, .assignment = 1}).result ==
        CommandResult::kAccepted);
  CHECK(state.Apply(CancelJob{.operation = "cancel", .job = kJob}).result ==
        CommandResult::kConflict);
  CHECK(state.jobs().at(kJob).outcome == JobOutcome::kFinished);
  CHECK(state.live_jobs() == 0);
}

// Guards against disjoint majorities of a domain's hosts before and after a
// change, each of which could elect a placement authority.
TEST_CASE("a configuration changes at most one host of a domain") {
  ClusterState state;
  ApplyConfiguration first = Configure("op-a", 0);
  for (const char* id : {"linz-1", "linz-2", "linz-3"}) {
    first.patch.changed_hosts.push_back(
        {.id = base::HostId(id), .domain = kLinz});
  }
  REQUIRE(state.Apply(WithHash(first)).result == CommandResult::kAccepted);
  ApplyConfiguration second{.operation = "op-b",
                            .expected_revision = 1,
                            .patch = {.cluster = "test"}};
  second.patch.removed_hosts = {base::HostId("linz-1"), base::HostId("linz-2")};
  CHECK(state.Apply(WithHash(second, state.configuration())).result ==
        CommandResult::kInvalid);
  second.operation = "op-c";
  second.patch.removed_hosts.pop_back();
  CHECK(state.Apply(WithHash(second, state.configuration())).result ==
        CommandResult::kAccepted);
}

// Guards against a replica that diverges after a restart from a snapshot.
TEST_CASE("a restored snapshot equals its source and behaves like it") {
  ClusterState state = StateWithAssignedJob();
  state.Apply(Submit("j2"));
  ClusterState restored;
  const std::string snapshot = state.Snapshot();
  const auto outcome =
      base::Capture([&] { return restored.Restore(snapshot); });
  REQUIRE(std::holds_alternative<std::monostate>(outcome));
  CHECK(restored.Snapshot() == snapshot);
  CHECK(restored.assigned_jobs(kLinz).size() == 1);
  CHECK(restored.Apply(Submit("j2")).result == CommandResult::kAccepted);
  CHECK(restored.live_jobs() == 2);
}

// Guards against a corrupt snapshot or command that terminates the process or
// changes the state.
TEST_CASE("corrupt bytes are rejected and leave the state unchanged") {
  ClusterState state = StateWithAssignedJob();
  const std::string snapshot = state.Snapshot();
  const std::string command = EncodeCommand(Configure("op-z", 7));
  std::uint64_t random = 12345;
  for (int round = 0; round < 3000; ++round) {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    std::string damaged = snapshot;
    damaged.resize((random >> 16) % snapshot.size());
    ClusterState restored;
    const auto outcome =
        base::Capture([&] { return restored.Restore(damaged); });
    CHECK(std::holds_alternative<base::Error>(outcome));
    std::string flipped = command;
    flipped[(random >> 20) % flipped.size()] ^=
        static_cast<char>(1 + ((random >> 40) % 255));
    // Any result is allowed; the call must return a decodable reply.
    const auto reply =
        base::Capture([&] { return DecodeReply(state.ApplyEncoded(flipped)); });
    CHECK(std::holds_alternative<CommandReply>(reply));
  }
}

}  // namespace wigeonstair::cluster
