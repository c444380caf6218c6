#include <catch2/catch.hpp>

#include <csignal>

#include "tests/end_to_end/test_cluster.h"
#include "tools/json_view.h"

namespace wigeonstair::end_to_end {

namespace {

// Two domains; three voters, so that one can be killed.
std::vector<TestHost> TwoDomains() {
  return {{.id = "a1", .domain = "a"},
          {.id = "a2", .domain = "a"},
          {.id = "b1", .domain = "b"}};
}

struct Load {
  std::unique_ptr<ChildProcess> upstreams;
  std::unique_ptr<ChildProcess> tool;
};

// A part of every load, sent before a test disturbs it.
constexpr int kExecutionsBeforeFault = 20;

int Executions(net::HttpClient& client, const std::string& control) {
  const net::HttpOutcome outcome =
      client.SendAndWait({.address = control, .path = "/executions"});
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  return answer == nullptr ? 0
                           : static_cast<int>(tools::NumberOf(
                                 MustParse(answer->response.body), "total"));
}

// Returns when the load runs: a fault that comes before it disturbs nothing.
Load StartLoad(TestCluster& cluster, const std::vector<std::string>& options) {
  Load load;
  const std::string control = FreeAddress();
  load.upstreams = cluster.Start(
      "upstreams", "wigeonstair-standin-upstream",
      {"--service", "booking", "--configuration", cluster.configuration_file(),
       "--count", "2", "--service-us", "2000", "--control", control});
  net::HttpClient client;
  for (const char* host : {"a1", "b1"}) {
    WaitUntil("requests are served", [&] {
      const net::HttpOutcome outcome =
          client.SendAndWait({.address = cluster.entry_settings(host).http,
                              .path = "/v1/services/booking/warm-up",
                              .headers = {{"Wigeonstair-Customer", "acme"}}});
      const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
      return answer != nullptr && answer->response.status == 200;
    });
  }
  std::vector<std::string> arguments = {
      "--configuration", cluster.configuration_file(), "--executions", control};
  arguments.insert(arguments.end(), options.begin(), options.end());
  load.tool = cluster.Start("load", "wigeonstair-load", arguments);
  WaitUntil("the load runs", [&] {
    return Executions(client, control) >= kExecutionsBeforeFault;
  });
  return load;
}

void StartEntries(TestCluster& cluster) {
  for (const char* host : {"a1", "a2", "b1"})
    cluster.StartEntry(host);
}

}  // namespace

// Guards against a non-idempotent request that runs twice, a false "not run"
// and a crossed answer (I4, I5, I6) while the leader of the records and an
// entry process are killed and callers resend through other hosts. The load
// tool compares with the executions that the upstreams counted and exits with
// 1 on any of them.
TEST_CASE("kills of a leader and an entry host cause no second run") {
  TestCluster cluster(TwoDomains());
  cluster.StartAll();
  StartEntries(cluster);
  Load load = StartLoad(
      cluster, {"--rate", "100", "--count", "600", "--non-idempotent-percent",
                "80", "--resends", "3", "--seed", "7"});
  std::string leader;
  WaitUntil("there is a leader", [&] {
    leader = cluster.Leader("a1");
    return !leader.empty();
  });
  cluster.KillControl(leader);
  cluster.entry("a2").Signal(SIGKILL);
  cluster.entry("a2").Wait();
  cluster.StartControl(leader);
  const int code = load.tool->Wait();
  INFO(cluster.LogOf("load"));
  CHECK(code == 0);
}

// Guards against a graceful shutdown that cuts a request in progress (I8): the
// load tool would report a lost request as an error of its own only through
// the exit code 1 or an outcome that is not "answered".
TEST_CASE("a graceful shutdown of an entry host cuts no request") {
  TestCluster cluster(TwoDomains());
  cluster.StartAll();
  StartEntries(cluster);
  Load load = StartLoad(
      cluster, {"--rate", "100", "--count", "300", "--non-idempotent-percent",
                "50", "--resends", "3", "--seed", "8"});
  cluster.entry("a2").Signal(SIGTERM);
  CHECK(cluster.entry("a2").Wait() == 0);
  CHECK(load.tool->Wait() == 0);
  const std::string report = cluster.LogOf("load");
  INFO(report);
  CHECK(
      report.find("requests  300       0        0        0     0        300") !=
      std::string::npos);
}

}  // namespace wigeonstair::end_to_end
