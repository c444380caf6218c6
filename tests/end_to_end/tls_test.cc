#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>

#include "tests/end_to_end/test_cluster.h"
#include "tests/net/test_certificate.h"

namespace wigeonstair::end_to_end {

namespace {

constexpr char kPath[] = "/v1/services/booking/day";

// Three voters; every process serves TLS. One entry host has its domain alone.
class TlsCluster {
 public:
  TlsCluster()
      : cluster({{.id = "a1", .domain = "a"},
                 {.id = "b1", .domain = "b"},
                 {.id = "b2", .domain = "b"}},
                {.transport = Transport::kTls}) {
    Replace();
    cluster.StartAll();
    cluster.StartEntry("a1");
  }

  // Writes a new certificate and adds it to the trusted ones.
  void Replace() {
    net::WriteTestCertificate(cluster.certificate_file(), cluster.key_file(),
                              cluster.ip());
    std::ofstream(cluster.trusted_file(), std::ios::app)
        << std::ifstream(cluster.certificate_file()).rdbuf();
  }

  net::HttpOutcome Ask(const std::string& address,
                       const std::string& path,
                       const std::string& scheme,
                       const std::string& trusted) const {
    net::HttpClient client({.trusted_certificates = trusted});
    return client.SendAndWait({.address = address,
                               .scheme = scheme,
                               .path = path,
                               .headers = {{"Wigeonstair-Customer", "acme"}}});
  }

  // Runs `wigeonstair-ctl status` and returns its exit code.
  int Status(const std::string& name, const std::string& trusted) {
    std::vector<std::string> arguments = {
        "--server", cluster.control_settings("a1").http, "--token-file",
        cluster.token_file(), "status"};
    if (!trusted.empty()) {
      arguments.push_back("--trusted-certificate");
      arguments.push_back(trusted);
    }
    return cluster.Start(name, "wigeonstair-ctl", arguments)->Wait();
  }

  std::string entry() { return cluster.entry_settings("a1").http; }
  std::string control() { return cluster.control_settings("a1").http; }

  TestCluster cluster;
};

std::string Body(const net::HttpOutcome& outcome) {
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  return answer == nullptr ? std::string() : answer->response.body;
}

int StatusCode(const net::HttpOutcome& outcome) {
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  return answer == nullptr ? 0 : answer->response.status;
}

std::string Detail(const net::HttpOutcome& outcome) {
  if (const auto* lost = std::get_if<net::HttpLost>(&outcome))
    return lost->error.detail;
  const auto* not_sent = std::get_if<net::HttpNotSent>(&outcome);
  return not_sent == nullptr ? std::string() : not_sent->error.detail;
}

void SetFault(const std::string& control, const std::string& fault) {
  net::HttpClient client;
  const net::HttpOutcome outcome =
      client.SendAndWait({.method = "POST",
                          .address = control,
                          .path = "/faults",
                          .body = R"({"id":"*","fault":")" + fault + "\"}"});
  REQUIRE(StatusCode(outcome) == 200);
}

std::unique_ptr<ChildProcess> StartUpstream(TlsCluster& tls,
                                            const std::string& control) {
  auto upstream =
      tls.cluster.Start("upstream", "wigeonstair-standin-upstream",
                        {"--service", "booking", "--domain", "a", "--entry",
                         tls.entry(), "--trusted-certificate",
                         tls.cluster.trusted_file(), "--control", control});
  WaitUntil("a caller is answered over TLS", [&] {
    return StatusCode(tls.Ask(tls.entry(), kPath, "https",
                              tls.cluster.trusted_file())) == 200;
  });
  return upstream;
}

}  // namespace

// Guards against processes that ignore the certificate files of their settings,
// that answer plain HTTP beside TLS, or that a caller trusts with any
// certificate.
TEST_CASE("whole processes serve TLS and refuse plain HTTP and strangers") {
  TlsCluster tls;
  const auto upstream = StartUpstream(tls, FreeAddress());
  const std::string trusted = tls.cluster.trusted_file();
  INFO(tls.cluster.LogOf("trusted"));
  CHECK(tls.Status("trusted", trusted) == 0);

  const std::string other = tls.cluster.File("other.pem");
  net::WriteTestCertificate(other, tls.cluster.File("other_key.pem"),
                            tls.cluster.ip());
  for (const std::string& address : {tls.entry(), tls.control()}) {
    const net::HttpOutcome plain = tls.Ask(address, "/healthz", "http", "");
    CHECK(StatusCode(plain) == 0);
    CHECK(Detail(plain).find("serves HTTPS") != std::string::npos);
    const net::HttpOutcome stranger =
        tls.Ask(address, "/healthz", "https", other);
    CHECK(std::holds_alternative<net::HttpNotSent>(stranger));
    CHECK(Detail(stranger).find("not trusted") != std::string::npos);
  }
  CHECK(tls.Status("plain", "") == 6);
  CHECK(tls.cluster.LogOf("plain").find("--trusted-certificate") !=
        std::string::npos);
  // More than once: threads of the HTTP library run while the process ends.
  constexpr int kRuns = 8;
  for (int run = 0; run < kRuns; ++run)
    CHECK(tls.Status("stranger", other) == 6);
  CHECK(tls.cluster.LogOf("stranger").find("not trusted") != std::string::npos);
}

// Guards against a new certificate that needs a restart, and against a reload
// that cuts the connection of a request in progress (I8).
TEST_CASE("a replaced certificate is in use and cuts no request") {
  TlsCluster tls;
  const std::string upstream_control = FreeAddress();
  const auto upstream = StartUpstream(tls, upstream_control);
  SetFault(upstream_control, "hang");
  net::HttpClient caller({.trusted_certificates = tls.cluster.trusted_file()});
  const auto promise = std::make_shared<std::promise<net::HttpOutcome>>();
  caller.Send({.address = tls.entry(),
               .scheme = "https",
               .path = kPath,
               .headers = {{"Wigeonstair-Customer", "acme"},
                           {"Wigeonstair-Deadline-Ms", "60000"}},
               .timeout = std::chrono::seconds(60)},
              [promise](net::HttpOutcome outcome) {
                promise->set_value(std::move(outcome));
              });
  WaitUntil("the request is in progress", [&] {
    return Body(tls.Ask(upstream_control, "/status", "http", ""))
               .find("\"taken_slots\":1") != std::string::npos;
  });

  const std::string old = tls.cluster.File("old.pem");
  std::filesystem::copy_file(tls.cluster.certificate_file(), old);
  tls.Replace();
  tls.cluster.entry("a1").Signal(SIGHUP);
  tls.cluster.control("a1").Signal(SIGHUP);
  for (const std::string& address : {tls.entry(), tls.control()}) {
    WaitUntil("the new certificate is in use", [&] {
      return StatusCode(tls.Ask(address, "/healthz", "https",
                                tls.cluster.certificate_file())) == 200;
    });
    CHECK(StatusCode(tls.Ask(address, "/healthz", "https", old)) == 0);
  }
  CHECK(tls.Status("replaced", tls.cluster.certificate_file()) == 0);

  SetFault(upstream_control, "none");
  CHECK(StatusCode(promise->get_future().get()) == 200);
}

}  // namespace wigeonstair::end_to_end
