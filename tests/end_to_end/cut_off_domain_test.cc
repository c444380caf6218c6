#include <catch2/catch.hpp>

#include <csignal>

#include "tests/end_to_end/test_cluster.h"

namespace wigeonstair::end_to_end {

namespace {

// Domain "c" has one of three voters; with "a1" and "b1" frozen it is as good
// as cut off.
std::vector<TestHost> ThreeDomains() {
  return {{.id = "a1", .domain = "a"},
          {.id = "b1", .domain = "b"},
          {.id = "c1", .domain = "c"}};
}

void Freeze(TestCluster& cluster, int signal) {
  for (const char* host : {"a1", "b1"})
    cluster.control(host).Signal(signal);
}

net::HttpResponse Request(TestCluster& cluster,
                          const std::string& method,
                          const std::string& key) {
  net::HttpClient client;
  net::HttpCall call{.method = method,
                     .address = cluster.entry_settings("c1").http,
                     .path = "/v1/services/booking/credit",
                     .headers = {{"Wigeonstair-Customer", "acme"}},
                     .timeout = std::chrono::seconds(20)};
  if (!key.empty()) {
    call.headers["Request-Key"] = key;
    call.headers["Request-Issued"] =
        std::to_string(base::WallClockNow().count());
    call.body = "credit";
  }
  const net::HttpOutcome outcome = client.SendAndWait(call);
  REQUIRE(std::holds_alternative<net::HttpAnswer>(outcome));
  return std::get<net::HttpAnswer>(outcome).response;
}

std::string Outcome(const net::HttpResponse& response) {
  return std::string(net::HeaderValue(response.headers, "Wigeonstair-Outcome"));
}

}  // namespace

// Guards against an operator who takes a refused take-out for one that did
// nothing, although the domain starts no more tasks.
TEST_CASE("a local take-out in a cut-off domain says that it holds") {
  TestCluster cluster(ThreeDomains());
  cluster.StartAll();
  Freeze(cluster, SIGSTOP);
  const std::string path = "/v1/domains/c/status";
  const std::string body =
      R"({"operation":"local","expected_revision":0,"status":"out",)"
      R"("local":true})";
  CHECK(
      cluster.Call("c1", "GET", "/v1/domains").body.find("taken_out_locally") ==
      std::string::npos);
  const net::HttpResponse local = cluster.Call("c1", "POST", path, body);
  // A proposal that is on its way to a frozen leader has an unknown outcome.
  CHECK((local.status == 503 || local.status == 504));
  CHECK(local.body.find(R"("taken_out_locally":true)") != std::string::npos);
  const std::string domains = cluster.Call("c1", "GET", "/v1/domains").body;
  CHECK(domains.find(R"("taken_out_locally":true)") != std::string::npos);
  Freeze(cluster, SIGCONT);
  WaitUntil("the resent take-out is in the log", [&] {
    return cluster.Call("c1", "POST", path, body).status == 200;
  });
}

// Guards against a cut-off domain that stops serving what it can, that runs a
// non-idempotent request without a replicated record (I6), that says "not run"
// although the request ran (I5), or that accepts a configuration alone (I9).
TEST_CASE("a cut-off domain serves idempotent requests and refuses the rest") {
  TestCluster cluster(ThreeDomains());
  cluster.StartAll();
  cluster.StartEntry("c1");
  const std::string control = FreeAddress();
  const auto upstreams =
      cluster.Start("upstreams", "wigeonstair-standin-upstream",
                    {"--service", "booking", "--domain", "c", "--entry",
                     cluster.entry_settings("c1").http, "--service-us", "1000",
                     "--control", control});
  WaitUntil("a non-idempotent request is answered", [&] {
    return Outcome(Request(cluster, "POST", "warm-up-key")) == "answered";
  });
  Freeze(cluster, SIGSTOP);
  WaitUntil("a non-idempotent request is refused as not run", [&] {
    const net::HttpResponse response = Request(cluster, "POST", "cut-off-key");
    // The first ones may be unknown: their claim was on its way to the leader.
    CHECK(Outcome(response) != "answered");
    return Outcome(response) == "not-run" && response.status == 503;
  });
  // On a slow machine an upstream may be suspect for a while.
  WaitUntil("an idempotent request is answered",
            [&] { return Outcome(Request(cluster, "GET", "")) == "answered"; });
  const net::HttpResponse change =
      cluster.Call("c1", "PUT", "/v1/configuration",
                   cluster.ConfigurationBody("cut-off", 1, 99));
  CHECK((change.status == 503 || change.status == 504));
  net::HttpClient client;
  const net::HttpOutcome executions =
      client.SendAndWait({.address = control, .path = "/executions"});
  REQUIRE(std::holds_alternative<net::HttpAnswer>(executions));
  CHECK(
      std::get<net::HttpAnswer>(executions).response.body.find("cut-off-key") ==
      std::string::npos);
  Freeze(cluster, SIGCONT);
  WaitUntil("a new non-idempotent request is answered again", [&] {
    return Outcome(Request(cluster, "POST", "after-the-cut")) == "answered";
  });
}

}  // namespace wigeonstair::end_to_end
