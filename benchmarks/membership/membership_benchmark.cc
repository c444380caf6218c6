// Measures the traffic of membership and the time that an announcement, a leave
// and a host's death take to reach the hosts, on a simulated network with 10%
// loss. Prints one line for each size. Deterministic.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

#include "report/benchmark_result.h"
#include "tests/membership/simulated_network.h"

namespace wigeonstair::membership {
namespace {

constexpr double kLoss = 0.1;
constexpr std::size_t kDomains = 3;
constexpr int kRounds = 40;

base::DomainId DomainOf(std::size_t host) {
  return base::DomainId("domain-" + std::to_string(host % kDomains));
}

UpstreamAnnouncement AnnouncementOf(std::size_t number) {
  return {.id = base::UpstreamId("upstream-" + std::to_string(number)),
          .service = "service-" + std::to_string(number % 5),
          .address = {.ip = "10.1.0.1", .port = 80},
          .slots = 8,
          .connections = 64,
          .incarnation = 1};
}

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct Times {
  std::vector<double> values;

  double Quantile(double quantile) {
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(values.size() - 1));
    return values.empty() ? 0 : values[index];
  }
};

// A cluster in which each upstream sends its heartbeats to one host of its
// domain, and to another one while that host is down.
class Run {
 public:
  Run(std::size_t hosts, std::size_t upstreams)
      : network_(1, kLoss), hosts_(hosts), upstreams_(upstreams) {
    for (std::size_t i = 0; i < hosts; ++i)
      network_.Start(i, DomainOf(i), 1);
    for (std::size_t i = 0; i < upstreams * kDomains; ++i)
      network_.table(HostOf(i)).Announce(AnnouncementOf(i), network_.now());
    Advance(std::chrono::seconds(60));
  }

  std::size_t HostOf(std::size_t upstream) {
    const std::size_t domain = upstream % kDomains;
    const std::size_t in_domain = (hosts_ - domain + kDomains - 1) / kDomains;
    const std::size_t host =
        domain + kDomains * (upstream / kDomains % in_domain);
    return network_.host(host).running ? host : domain;
  }

  // Runs while every upstream sends a heartbeat each second.
  template <typename Condition>
  bool Advance(base::Duration duration, const Condition& done) {
    const base::Instant end = network_.now() + duration;
    while (network_.now() < end) {
      if (network_.now() >= next_heartbeat_) {
        next_heartbeat_ = network_.now() + std::chrono::milliseconds(100);
        SendHeartbeats();
      }
      if (network_.RunUntil(std::min(end, next_heartbeat_), done))
        return true;
    }
    return false;
  }
  void Advance(base::Duration duration) {
    Advance(duration, [] { return false; });
  }

  void SendHeartbeats() {
    ++heartbeat_phase_;
    for (std::size_t i = heartbeat_phase_ % 10; i < upstreams_ * kDomains;
         i += 10)
      network_.table(HostOf(i)).Heartbeat(AnnouncementOf(i).id, 1,
                                          network_.now());
  }

  // The share of the hosts' records that differ from what is true.
  std::size_t WrongUpstreams() {
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < hosts_; ++i) {
      std::size_t alive = 0;
      network_.table(i).store().ForEach<UpstreamRecord>(
          [&](const UpstreamRecord& record) {
            alive += record.state == UpstreamState::kAlive ? 1 : 0;
          });
      wrong += upstreams_ - std::min(alive, upstreams_);
    }
    return wrong;
  }

  double BytesPerHostSecond(base::Duration duration) {
    const std::uint64_t before = BytesSent();
    Advance(duration);
    return static_cast<double>(BytesSent() - before) /
           static_cast<double>(hosts_) / Seconds(duration);
  }

  std::uint64_t BytesSent() {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < hosts_; ++i)
      sum += network_.table(i).counters().bytes_sent;
    return sum;
  }

  std::uint64_t Deaths() {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < hosts_; ++i)
      sum += network_.table(i).counters().deaths;
    return sum;
  }

  // Time until each host of the upstream's domain has this state.
  double Spread(std::size_t upstream, UpstreamState state) {
    const base::Instant start = network_.now();
    const RecordKey key = UpstreamKey(AnnouncementOf(upstream).id);
    Advance(std::chrono::seconds(20), [&] {
      for (std::size_t i = upstream % kDomains; i < hosts_; i += kDomains) {
        const auto* record =
            network_.table(i).store().FindAs<UpstreamRecord>(key);
        if (record == nullptr || record->state != state)
          return false;
      }
      return true;
    });
    return Seconds(network_.now() - start);
  }

  double DeathOf(std::size_t host) {
    network_.Stop(host);
    const base::Instant start = network_.now();
    Advance(std::chrono::seconds(20), [&] {
      for (std::size_t i = 0; i < hosts_; ++i) {
        const auto* record = network_.table(i).store().FindAs<MemberRecord>(
            MemberKey(SimulatedNetwork::IdOf(host)));
        if (network_.host(i).running && record->state != MemberState::kDead)
          return false;
      }
      return true;
    });
    const double seconds = Seconds(network_.now() - start);
    network_.Start(host, DomainOf(host), ++incarnation_);
    Advance(std::chrono::seconds(5));
    return seconds;
  }

  SimulatedNetwork& network() { return network_; }
  std::size_t upstreams() const { return upstreams_; }

 private:
  SimulatedNetwork network_;
  std::size_t hosts_;
  std::size_t upstreams_;
  std::size_t heartbeat_phase_ = 0;
  base::Instant next_heartbeat_;
  std::uint64_t incarnation_ = 1;
};

// Where the rows of the run go; the columns follow the printed ones.
report::ResultTable measures{
    .title = "10% loss, 3 domains; seconds until all hosts know",
    .columns = {"hosts", "upstreams per domain", "bytes/s per host",
                "announce, median", "announce, longest", "leave, median",
                "leave, longest", "death, median", "death, longest",
                "wrong records", "false deaths"},
    .rows = {}};

template <typename... Values>
void Store(const Values&... values) {
  const auto text = [](double value) {
    char cell[40];
    std::snprintf(cell, sizeof(cell), "%.4g", value);
    return std::string(cell);
  };
  measures.rows.push_back({text(static_cast<double>(values))...});
}

double Measure(std::size_t hosts, std::size_t upstreams) {
  Run run(hosts, upstreams);
  const std::size_t wrong = run.WrongUpstreams();
  const std::uint64_t deaths = run.Deaths();
  const double bytes = run.BytesPerHostSecond(std::chrono::seconds(60));
  const std::uint64_t false_deaths = run.Deaths() - deaths;
  Times announce;
  Times leave;
  Times death;
  for (int round = 0; round < kRounds; ++round) {
    const std::size_t upstream = upstreams * kDomains + round;
    Table& table = run.network().table(run.HostOf(upstream));
    table.Announce(AnnouncementOf(upstream), run.network().now());
    announce.values.push_back(run.Spread(upstream, UpstreamState::kAlive));
    table.LeaveUpstream(AnnouncementOf(upstream).id, 1, run.network().now());
    leave.values.push_back(run.Spread(upstream, UpstreamState::kLeaving));
    if (round % 4 == 0)
      death.values.push_back(run.DeathOf(hosts - 1 - round / 4 % 3));
  }
  std::printf(
      "%5zu %9zu %9.0f %11.2f %11.2f %8.2f %8.2f %8.2f %8.2f %6zu %6llu\n",
      hosts, upstreams, bytes, announce.Quantile(0.5), announce.Quantile(1),
      leave.Quantile(0.5), leave.Quantile(1), death.Quantile(0.5),
      death.Quantile(1), wrong, static_cast<unsigned long long>(false_deaths));
  std::fflush(stdout);
  Store(hosts, upstreams, bytes, announce.Quantile(0.5), announce.Quantile(1),
        leave.Quantile(0.5), leave.Quantile(1), death.Quantile(0.5),
        death.Quantile(1), wrong, false_deaths);
  return bytes;
}

}  // namespace
}  // namespace wigeonstair::membership

int main(int argc, char** argv) {
  using wigeonstair::membership::Measure;
  namespace report = wigeonstair::report;
  auto result = report::DescribeRun("Membership", argc, argv);
  const std::string data = report::TakeDataFlag(argc, argv);
  if (argc == 3) {
    Measure(std::stoul(argv[1]), std::stoul(argv[2]));
    return 0;
  }
  std::printf(
      "10%% loss, 3 domains; upstreams per domain; bytes sent per host and "
      "second at rest; seconds until all hosts know\n");
  std::printf(
      "hosts upstreams  bytes/s announce50 announcemax  leave50 leavemax  "
      "death50 deathmax  wrong falsedeaths\n");
  report::Plot plot{
      .title = "Membership traffic against size",
      .x = {.label = "hosts"},
      .y = {.label = "sent by a host at rest", .unit = "bytes/s"}};
  for (const std::size_t upstreams : {50, 400}) {
    const double small = Measure(9, upstreams);
    const double middle = Measure(30, upstreams);
    const double large = Measure(90, upstreams);
    plot.series.push_back(
        {.name = std::to_string(upstreams) + " upstreams per domain",
         .points = {{9, small}, {30, middle}, {90, large}}});
    std::printf("slope at %zu upstreams: %.2f from 9 to 90 hosts\n", upstreams,
                std::log(large / small) / std::log(10.0));
  }
  result.tables.push_back(wigeonstair::membership::measures);
  result.plots.push_back(plot);
  return report::StoreResult(data, result) ? 0 : 1;
}
