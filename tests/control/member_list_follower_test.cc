#include "services/control/member_list_follower.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

#include "cluster/cluster_codec.h"
#include "cluster/configuration_patch.h"
#include "net/event_loop.h"

namespace wigeonstair::control {

namespace {

const base::DomainId kGent("gent");
const base::HostId kFirst("gent-1");
const base::HostId kSecond("gent-2");

// Applies commands to the replicated state at once.
class FakeAccess final : public ClusterAccess {
 public:
  explicit FakeAccess(ReplicatedCluster& cluster) : cluster_(cluster) {}

  void Propose(cluster::Command command,
               std::function<void(CommandOutcome)> done) override {
    cluster_.Apply(++index_, cluster::EncodeCommand(command));
    done(cluster::CommandReply{});
  }
  void ReadBarrier(
      std::function<void(std::variant<std::monostate, base::Error>)> done)
      override {
    done(std::monostate{});
  }

 private:
  ReplicatedCluster& cluster_;
  std::uint64_t index_ = 0;
};

std::unique_ptr<authority::Service> MakeService(net::EventLoop& loop) {
  auto made = base::Capture([&] {
    return authority::Service::create(
        {.loop = &loop,
         .domain = kGent,
         .election = {.self = kSecond,
                      .lease = std::chrono::milliseconds(100),
                      .renewal_interval = std::chrono::milliseconds(30)},
         .tick = std::chrono::milliseconds(5),
         .send = [](const net::Address&, net::MessageType,
                    const std::string&) {},
         .event_log = base::EventLog::CreateSilent()});
  });
  REQUIRE(made.index() == 0);
  return std::get<0>(std::move(made));
}

// The second host of a domain of two, which can reach no other.
struct Fixture {
  Fixture() {
    for (const auto& [host, address] :
         {std::pair{kFirst, "127.0.0.1:1"}, std::pair{kSecond, "127.0.0.1:2"}})
      configuration.hosts.push_back(
          {.id = host, .domain = kGent, .control_messages = address});
    access.Propose(
        cluster::ApplyConfiguration{
            .operation = "configure",
            .target_hash = cluster::HashConfiguration(configuration),
            .patch = cluster::DiffConfigurations({}, configuration)},
        [](const CommandOutcome&) {});
  }
  ~Fixture() {
    authority->Stop();
    loop.Stop();
  }

  void Suspend(const base::HostId& host) {
    access.Propose(
        cluster::SuspendHost{.host = host,
                             .expected_revision = cluster.revision()},
        [](const CommandOutcome&) {});
  }
  void Restore(const base::HostId& host) {
    access.Propose(
        cluster::RestoreHost{.host = host,
                             .expected_revision = cluster.revision()},
        [](const CommandOutcome&) {});
  }
  std::size_t Lists() const {
    return cluster.Read([](const cluster::ClusterState& state) {
      return state.host_lists().lists(kGent).size();
    });
  }
  bool Holds() const {
    return authority->HeldEpoch(base::MonotonicClock::now()).has_value();
  }

  cluster::ClusterConfiguration configuration{.cluster = "test",
                                              .domains = {{.id = kGent}}};
  settings::ProcessSettings settings{.host = kSecond, .domain = kGent};
  ReplicatedCluster cluster{base::EventLog::CreateSilent()};
  FakeAccess access{cluster};
  net::EventLoop loop{{.threads = 1}};
  std::unique_ptr<authority::Service> authority = MakeService(loop);
  base::Instant now = base::MonotonicClock::now();
  MemberListFollower follower{{.settings = &settings,
                               .cluster = &cluster,
                               .access = &access,
                               .authority = authority.get(),
                               .started = now}};
};

}  // namespace

// Guards against two authorities: the first host was alone on the list of
// revision 2 and may not know of its end, although this host learns of all
// changes at once.
TEST_CASE("a host list that was skipped keeps a host from competing") {
  Fixture fixture;
  fixture.Suspend(kSecond);
  fixture.Restore(kSecond);
  fixture.Suspend(kFirst);
  fixture.follower.Tick(true, fixture.now);
  CHECK(fixture.follower.revision() == 4);
  CHECK_FALSE(fixture.authority->settled());
  // Five leases.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK_FALSE(fixture.Holds());
  CHECK(fixture.Lists() == 4);
  SECTION("until the first host says that it follows a newer one") {
    fixture.follower.SawRevision(kFirst, 3);
  }
  SECTION("until an operator confirms that the first host is stopped") {
    fixture.access.Propose(
        cluster::ConfirmHostStopped{.operation = "stopped", .host = kFirst},
        [](const CommandOutcome&) {});
  }
  while (!fixture.Holds() || fixture.Lists() > 1) {
    fixture.follower.Tick(true, base::MonotonicClock::now());
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  CHECK(fixture.authority->settled());
}

// Guards against a host that acts on a state older than one on which it acted
// before its restart.
TEST_CASE("a restarted host follows no list before it has caught up") {
  Fixture fixture;
  fixture.follower.Tick(false, fixture.now);
  CHECK_FALSE(fixture.follower.follows());
  CHECK(fixture.follower.revision() == 0);
  SECTION("without a disk") {
    fixture.follower.Tick(false, fixture.now + std::chrono::hours(1));
    CHECK_FALSE(fixture.follower.follows());
  }
  SECTION("with a disk it goes on alone") {
    fixture.settings.data_folder = "data";
    fixture.follower.Tick(false, fixture.now + std::chrono::seconds(4));
    CHECK_FALSE(fixture.follower.follows());
    fixture.follower.Tick(false, fixture.now + std::chrono::seconds(6));
    CHECK(fixture.follower.follows());
  }
  fixture.follower.Tick(true, fixture.now);
  CHECK(fixture.follower.follows());
  CHECK(fixture.follower.revision() == 1);
}

}  // namespace wigeonstair::control
