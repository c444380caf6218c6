#ifndef WIGEONSTAIR_TESTS_END_TO_END_TEST_CLUSTER_H_
#define WIGEONSTAIR_TESTS_END_TO_END_TEST_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "net/http_client.h"
#include "settings/process_settings.h"
#include "settings/value.h"
#include "tests/end_to_end/child_process.h"

namespace wigeonstair::end_to_end {

struct TestHost {
  std::string id;
  std::string domain;
  cluster::HostStorage storage = cluster::HostStorage::kDisk;
};

enum class Transport { kPlain, kTls };

struct TestClusterOptions {
  Transport transport = Transport::kPlain;
  base::LogLevel log_level = base::LogLevel::kInfo;
  base::Duration commit_timeout = settings::Timeouts().commit;
};

// Real processes on loopback with free ports and a temporary folder. Each
// domain has one rack of four workers with eight accelerators; the customer is
// "acme".
class TestCluster {
 public:
  explicit TestCluster(const std::vector<TestHost>& hosts,
                       TestClusterOptions options = {});
  ~TestCluster();

  void StartControl(const std::string& host);
  void StartEntry(const std::string& host);
  // Starts a control process on every host and applies the configuration.
  void StartAll();
  ChildProcess& control(const std::string& host) { return *controls_[host]; }
  ChildProcess& entry(const std::string& host) { return *entries_[host]; }
  void KillControl(const std::string& host);
  void DeleteData(const std::string& host);

  // Starts a stand-in or the load tool; `name` names its log.
  std::unique_ptr<ChildProcess> Start(
      const std::string& name,
      const std::string& program,
      const std::vector<std::string>& arguments);
  // What it printed so far.
  std::string LogOf(const std::string& name) const;
  std::string ReadFile(const std::string& name) const;

  // An operator's call; fails the test when the process does not answer.
  net::HttpResponse Call(const std::string& host,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body = {});
  // Like Call, but returns any outcome.
  net::HttpOutcome TryCall(const std::string& host,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = {});
  // The body of a change of the configuration.
  std::string ConfigurationBody(const std::string& operation,
                                int expected_revision,
                                int priority = 50) const;
  // The host that is its domain's authority according to `asked`, or empty.
  std::string AuthorityOf(const std::string& domain, const std::string& asked);
  // The leader of the group `cluster` according to `asked`, or empty.
  std::string Leader(const std::string& asked);

  // With TLS: the certificate and key of all processes, and the certificates
  // that they and the test's own calls trust.
  std::string File(const std::string& name) const {
    return folder_ + "/" + name;
  }
  std::string certificate_file() const { return File("certificate.pem"); }
  std::string key_file() const { return File("key.pem"); }
  std::string trusted_file() const { return File("trusted.pem"); }
  std::string token_file() const { return File("token"); }
  // The address that all processes listen on.
  const std::string& ip() const { return ip_; }
  std::string configuration_file() const { return folder_ + "/cluster.yaml"; }
  const settings::ProcessSettings& control_settings(const std::string& host) {
    return control_settings_[host];
  }
  const settings::ProcessSettings& entry_settings(const std::string& host) {
    return entry_settings_[host];
  }

 private:
  std::string Scheme() const {
    return options_.transport == Transport::kTls ? "https" : "http";
  }
  void MakeHosts(const std::vector<TestHost>& hosts);
  void WriteSettings();

  std::string folder_;
  std::string ip_;
  TestClusterOptions options_;
  cluster::ClusterConfiguration configuration_;
  std::map<std::string, settings::ProcessSettings> control_settings_;
  std::map<std::string, settings::ProcessSettings> entry_settings_;
  std::map<std::string, std::unique_ptr<ChildProcess>> controls_;
  std::map<std::string, std::unique_ptr<ChildProcess>> entries_;
  std::unique_ptr<net::HttpClient> client_;
};

// Polls until the condition holds and fails the test after two minutes, which
// only a hung process reaches.
void WaitUntil(const std::string& what, const std::function<bool()>& condition);

// An address for TCP and UDP that no other process uses.
std::string FreeAddress();

settings::Value MustParse(const std::string& json);

}  // namespace wigeonstair::end_to_end

#endif  // WIGEONSTAIR_TESTS_END_TO_END_TEST_CLUSTER_H_
