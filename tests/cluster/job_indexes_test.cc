#include <catch2/catch.hpp>

#include "base/random.h"
#include "cluster/cluster_state.h"

namespace wigeonstair::cluster {

namespace {

// Applies random job commands to a state and to a reference queue.
class RandomJobCommands {
 public:
  explicit RandomJobCommands(std::uint64_t seed) : random_(seed) {
    Configure({"d0", "d1", "d2"});
  }

  void Step() {
    const base::JobId job("j" + std::to_string(random_.Below(12)));
    const base::DomainId domain("d" + std::to_string(random_.Below(3)));
    const auto found = state.jobs().find(job);
    const std::uint32_t assignment =
        found == state.jobs().end() ? 0 : found->second.assignments;
    const std::string operation = std::to_string(++operations_);
    switch (random_.Below(7)) {
      case 0:
      case 1:
        Apply(
            SubmitJob{.operation = operation, .specification = RandomJob(job)});
        break;
      case 2:
      case 3:
        Apply(AssignJob{
            .job = job, .domain = domain, .expected_assignment = assignment});
        break;
      case 4:
        Apply(
            ReleaseJob{.job = job, .domain = domain, .assignment = assignment});
        break;
      case 5:
        Apply(CancelJob{.operation = operation, .job = job});
        break;
      default:
        Apply(FinishJob{.job = job,
                        .assignment = assignment,
                        .outcome = JobOutcome::kFinished});
    }
    if (random_.Below(50) == 0)
      Configure(random_.Below(2) == 0
                    ? std::vector<std::string>{"d0", "d1"}
                    : std::vector<std::string>{"d0", "d1", "d2"});
  }

  // Few ended jobs are kept, so that ids are reused.
  ClusterState state{{.maximum_ended_jobs = 3}};
  std::vector<base::JobId> queue;

 private:
  JobSpecification RandomJob(const base::JobId& id) {
    return {.id = id,
            .customer = base::CustomerId(random_.Below(2) == 0 ? "a" : "b"),
            .tasks = 1 + static_cast<int>(random_.Below(3)),
            .accelerators_per_task = static_cast<int>(random_.Below(3)),
            .cores_per_task = static_cast<int>(random_.Below(5))};
  }

  void Configure(const std::vector<std::string>& domains) {
    ClusterConfiguration wanted{.cluster = "test"};
    for (const std::string& domain : domains)
      wanted.domains.push_back({.id = base::DomainId(domain)});
    state.Apply(ApplyConfiguration{
        .operation = std::to_string(++operations_),
        .expected_revision = state.configuration_revision(),
        .target_hash = HashConfiguration(wanted),
        .patch = DiffConfigurations(state.configuration(), wanted)});
  }

  // Updates the reference queue by linear search.
  template <typename JobCommand>
  void Apply(const JobCommand& command) {
    if (state.Apply(command).result != CommandResult::kAccepted)
      return;
    if constexpr (requires { command.specification; }) {
      queue.push_back(command.specification.id);
    } else {
      std::erase(queue, command.job);
      if constexpr (std::is_same_v<JobCommand, ReleaseJob>)
        queue.insert(queue.begin(), command.job);
    }
  }

  base::Random random_;
  int operations_ = 0;
};

DomainLoads RecomputeLoads(const ClusterState& state) {
  DomainLoads loads;
  for (const auto& [id, record] : state.jobs()) {
    if (record.phase == JobPhase::kAssigned)
      loads[record.domain].Add(record.specification);
  }
  return loads;
}

}  // namespace

// Guards against loads or a queue that diverge from the job table, so that a
// domain gets too many jobs or none, and against replicas that differ after a
// restore from a snapshot.
TEST_CASE("loads and queue match the job table after random commands") {
  int assigned = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomJobCommands commands(seed);
    for (int step = 0; step < 300; ++step) {
      commands.Step();
      REQUIRE(commands.state.loads() == RecomputeLoads(commands.state));
      REQUIRE(commands.state.queued_jobs().ids() == commands.queue);
      if (step % 50 != 0)
        continue;
      const std::string snapshot = commands.state.Snapshot();
      ClusterState restored{{.maximum_ended_jobs = 3}};
      const auto outcome =
          base::Capture([&] { return restored.Restore(snapshot); });
      REQUIRE(std::holds_alternative<std::monostate>(outcome));
      REQUIRE(restored.Snapshot() == snapshot);
      REQUIRE(restored.loads() == commands.state.loads());
      REQUIRE(restored.queued_jobs().ids() == commands.queue);
      assigned += restored.loads().empty() ? 0 : 1;
      commands.state = std::move(restored);
    }
  }
  // The random commands must assign enough jobs for the checks to mean
  // anything.
  CHECK(assigned > 500);
}

}  // namespace wigeonstair::cluster
