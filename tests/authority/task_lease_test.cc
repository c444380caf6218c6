#include "authority/task_lease.h"

#include <catch2/catch.hpp>

#include <random>

#include "cluster/cluster_state.h"
#include "cluster/configuration_patch.h"

namespace wigeonstair::authority {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::DomainId kLinz("linz");
constexpr int kHosts = 3;
constexpr base::Duration kStep = milliseconds(250);

base::HostId HostName(int host) {
  return base::HostId("linz-" + std::to_string(host));
}

// Simulates the control hosts of a domain whose number of workers changes
// often. The hosts apply the log at different times, are cut off from it,
// freeze, lose the authority, and restart without a disk. At most one of them
// is the authority at any time; other tests check that the election ensures
// this.
class LeaseSimulation {
 public:
  LeaseSimulation(std::uint64_t seed, PlantedFault fault)
      : random_(seed), fault_(fault) {
    Configure(13);
    for (Host& host : hosts_)
      CatchUp(host);
  }

  void Run(base::Duration duration) {
    for (const base::Instant end = now_ + duration; now_ < end; now_ += kStep)
      Step();
  }

  // Recoveries that ended while a task lease of a former authority was valid.
  int violations = 0;
  int recoveries = 0;
  int short_recoveries = 0;
  int long_leases = 0;
  int retirements = 0;

 private:
  struct Host {
    cluster::ClusterState state{};
    std::size_t applied = 0;
    // After a restart, the host acts on its state only when it has applied all
    // that the log contained at that time.
    std::size_t follows_from = 0;
    base::Instant frozen_until{};
    // Cut off from the leader of the log.
    base::Instant cut_until{};
    AppliedRevisions known_revisions = {};

    bool follows() const { return applied >= follows_from; }
  };

  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }
  base::Duration RandomDuration(int count) {
    return kStep * (random_() % count);
  }

  void Configure(int workers) {
    cluster::ClusterConfiguration wanted{
        .cluster = "test",
        .domains = {
            {.id = kLinz,
             .racks = {{.id = base::RackId("r1"), .workers = workers}}}}};
    for (int i = 0; i < kHosts; ++i)
      wanted.hosts.push_back({.id = HostName(i), .domain = kLinz});
    cluster::ApplyConfiguration command{
        .operation = std::to_string(log_.size()),
        .expected_revision = newest_.configuration_revision(),
        .target_hash = cluster::HashConfiguration(wanted),
        .patch = cluster::DiffConfigurations(newest_.configuration(), wanted)};
    Append(command);
  }

  void Append(const cluster::Command& command) {
    newest_.Apply(command);
    log_.push_back(command);
  }

  void CatchUp(Host& host) {
    while (host.applied < log_.size())
      host.state.Apply(log_[host.applied++]);
  }

  void Step() {
    static constexpr int kWorkers[] = {0, 13, 200, 300, 400};
    if (Chance(2))
      Configure(kWorkers[random_() % std::size(kWorkers)]);
    for (int i = 0; i < kHosts; ++i)
      StepHost(i);
    StepHolder();
  }

  void StepHost(int index) {
    Host& host = hosts_[index];
    if (now_ < host.frozen_until)
      return;
    if (Chance(1))
      host.frozen_until = now_ + RandomDuration(160);
    if (Chance(1) && holder_ != index)
      host = Host{.follows_from = log_.size()};
    if (Chance(1))
      host.cut_until = now_ + RandomDuration(480);
    if (host.applied < log_.size() && now_ >= host.cut_until && Chance(40))
      host.state.Apply(log_[host.applied++]);
    for (Host& other : hosts_) {
      if (host.follows() && now_ >= other.frozen_until && Chance(70))
        other.known_revisions[HostName(index)] = host.state.revision();
    }
  }

  void StepHolder() {
    if (!holder_) {
      if (now_ < vacant_until_)
        return;
      holder_ = static_cast<int>(random_() % kHosts);
      recovered_ = false;
      leases_.emplace(ReportScheduleLimits{}, now_);
      leases_->set_fault_for_testing(fault_);
    }
    Host& host = hosts_[*holder_];
    const bool frozen = now_ < host.frozen_until;
    // A frozen host loses the authority once it is frozen for longer than its
    // authority lease.
    if (Chance(1) || (frozen && Chance(10)) || host.applied == 0)
      return LoseHolder();
    if (!frozen)
      RenewLeases(host);
  }

  void LoseHolder() {
    former_end_ = std::max(former_end_, granted_end_);
    holder_.reset();
    vacant_until_ = now_ + RandomDuration(12);
  }

  void RenewLeases(const Host& host) {
    const base::Instant now = now_;
    leases_->Update(
        {.counts = &host.state.worker_counts().counts(kLinz),
         .lists = &host.state.host_lists().lists(kLinz),
         .applied = host.follows() ? std::optional(host.known_revisions)
                                   : std::nullopt},
        now);
    if (!recovered_ && leases_->FormerLeasesEnded(now)) {
      recovered_ = true;
      ++recoveries;
      short_recoveries += now < began() + seconds(20) ? 1 : 0;
      violations += former_end_ > now ? 1 : 0;
    }
    const base::Duration lease = leases_->schedule().lease;
    long_leases += lease > seconds(20) ? 1 : 0;
    // A worker's clock may be slower than the authority's.
    granted_end_ = std::max(granted_end_, now + lease + lease / 200);
    if (const auto revision = leases_->RetirableRevision(now);
        revision && Chance(50) &&
        host.state.worker_counts().counts(kLinz).size() > 1) {
      Append(
          cluster::RetireWorkerCounts{.domain = kLinz, .revision = *revision});
      ++retirements;
    }
  }

  // When the current holder became the authority, at the earliest.
  base::Instant began() const { return vacant_until_; }

  std::mt19937_64 random_;
  PlantedFault fault_;
  base::Instant now_{seconds(100)};
  std::vector<cluster::Command> log_;
  cluster::ClusterState newest_;
  Host hosts_[kHosts];
  std::optional<int> holder_;
  std::optional<TaskLeases> leases_;
  bool recovered_ = false;
  base::Instant vacant_until_{};
  // When the last task lease ends that any authority granted, and the last that
  // a former authority granted.
  base::Instant granted_end_{};
  base::Instant former_end_{};
};

// Violations in 500 runs of 10 simulated minutes each.
int CountViolations(PlantedFault fault) {
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    LeaseSimulation history(seed, fault);
    history.Run(std::chrono::minutes(10));
    violations += history.violations;
  }
  return violations;
}

}  // namespace

// Guards against a job that is started again while it still runs under a task
// lease of a former authority. That authority may have applied a newer or an
// older configuration, and hosts may freeze or restart without a disk.
TEST_CASE("a recovery lasts as long as the leases granted before") {
  int recoveries = 0;
  int short_recoveries = 0;
  int long_leases = 0;
  int retirements = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    INFO("seed " << seed);
    LeaseSimulation history(seed, PlantedFault::kNone);
    history.Run(std::chrono::minutes(10));
    REQUIRE(history.violations == 0);
    recoveries += history.recoveries;
    short_recoveries += history.short_recoveries;
    long_leases += history.long_leases;
    retirements += history.retirements;
  }
  // Runs without these events would prove nothing.
  CHECK(recoveries > short_recoveries);
  CHECK(short_recoveries > 100);
  CHECK(long_leases > 100);
  CHECK(retirements > 100);
}

// Guards against a property test that finds no violation whatever happens.
TEST_CASE("the check of recoveries finds planted faults") {
  for (const PlantedFault fault :
       {PlantedFault::kIgnoreOtherRevisions, PlantedFault::kWaitForOwnLease,
        PlantedFault::kRetireAtOnce}) {
    CAPTURE(static_cast<int>(fault));
    CHECK(CountViolations(fault) > 0);
  }
}

// Leases become longer only when every host under a kept list has applied the
// higher number of workers. Guards against ignoring a removed host, which may
// come back with its former state while its list is kept, and against waiting
// for it after its list is retired.
TEST_CASE("longer leases need every listed host to know of more workers") {
  const std::vector<cluster::WorkerCount> counts = {
      {.revision = 1, .fewest = 13, .most = 13},
      {.revision = 3, .fewest = 400, .most = 400}};
  std::vector<cluster::HostList> lists = {
      {.revision = 1, .hosts = {{HostName(1), ""}, {HostName(2), ""}}},
      {.revision = 4, .hosts = {{HostName(1), ""}}}};
  TaskLeases leases({}, base::Instant{});
  const auto lease = [&] {
    leases.Update(
        {.counts = &counts, .lists = &lists, .applied = {{{HostName(1), 4}}}},
        base::Instant{});
    return leases.schedule().lease;
  };
  CHECK(lease() == seconds(10));
  lists.erase(lists.begin());
  CHECK(lease() == seconds(24));
  lists.push_back(
      {.revision = 5, .hosts = {{HostName(1), ""}, {HostName(2), ""}}});
  CHECK(lease() == seconds(24));
}

}  // namespace wigeonstair::authority
