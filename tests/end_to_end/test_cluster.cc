#include "tests/end_to_end/test_cluster.h"

#include <unistd.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "settings/cluster_configuration.h"
#include "settings/json.h"
#include "tests/own_ip.h"
#include "tools/json_view.h"

namespace wigeonstair::end_to_end {

namespace {

constexpr char kToken[] = "end-to-end-token";
constexpr std::size_t kLogTailBytes = 4096;
constexpr base::Duration kWaitLimit = std::chrono::minutes(2);

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
}

}  // namespace

std::string FreeAddress() {
  return OwnIp() + ":" + std::to_string(NextOwnPort());
}

void WaitUntil(const std::string& what,
               const std::function<bool()>& condition) {
  const base::Instant deadline = base::MonotonicClock::now() + kWaitLimit;
  while (!condition()) {
    if (base::MonotonicClock::now() > deadline)
      FAIL("waited in vain until " << what);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

settings::Value MustParse(const std::string& json) {
  auto parsed =
      base::Capture([&] { return settings::ParseJson(json, "test"); });
  if (const auto* error = std::get_if<base::Error>(&parsed))
    FAIL(error->ToString() << " in " << json);
  return std::get<settings::Value>(std::move(parsed));
}

TestCluster::TestCluster(const std::vector<TestHost>& hosts,
                         TestClusterOptions options)
    : ip_(OwnIp()), options_(options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wigeonstair-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  WriteFile(folder_ + "/token", std::string(kToken) + "\n");
  client_ = std::make_unique<net::HttpClient>(net::HttpClientOptions{
      .trusted_certificates = options.transport == Transport::kTls
                                  ? trusted_file()
                                  : std::string()});
  MakeHosts(hosts);
  WriteSettings();
}

TestCluster::~TestCluster() {
  entries_.clear();
  controls_.clear();
  if (std::uncaught_exceptions() > 0) {
    // The logs show why the test failed.
    WARN("the files of the failed test are kept in " << folder_);
    return;
  }
  std::filesystem::remove_all(folder_);
}

void TestCluster::MakeHosts(const std::vector<TestHost>& hosts) {
  configuration_.cluster = "end-to-end";
  configuration_.customers = {{.id = base::CustomerId("acme"), .name = "Acme"}};
  for (const TestHost& host : hosts) {
    configuration_.hosts.push_back({.id = base::HostId(host.id),
                                    .domain = base::DomainId(host.domain),
                                    .storage = host.storage,
                                    .control_http = FreeAddress(),
                                    .control_messages = FreeAddress(),
                                    .entry_http = FreeAddress(),
                                    .entry_messages = FreeAddress()});
    const bool known = !configuration_.domains.empty() &&
                       configuration_.domains.back().id.value() == host.domain;
    if (known)
      continue;
    configuration_.domains.push_back(
        {.id = base::DomainId(host.domain),
         .region = "test",
         .racks = {{.id = base::RackId(host.domain + "-r1"),
                    .workers = 4,
                    .cores_per_worker = 64,
                    .memory_megabytes_per_worker = 65'536,
                    .accelerators_per_worker = 8}}});
  }
  WriteFile(configuration_file(),
            settings::ClusterConfigurationToYaml(configuration_));
}

void TestCluster::WriteSettings() {
  for (const cluster::HostConfiguration& host : configuration_.hosts) {
    const std::string& id = host.id.value();
    const std::string folder = folder_ + "/" + id;
    std::filesystem::create_directories(folder + "/data");
    settings::ProcessSettings settings{
        .cluster = configuration_.cluster,
        .host = host.id,
        .domain = host.domain,
        .data_folder = host.storage == cluster::HostStorage::kDisk
                           ? folder + "/data"
                           : std::string(),
        .http = host.control_http,
        .messages = host.control_messages,
        .operator_token_file = folder_ + "/token",
        .log_file = folder + "/control.log",
        .log_level = options_.log_level,
        .hosts = configuration_.hosts};
    if (options_.transport == Transport::kTls) {
      settings.tls_certificate_file = certificate_file();
      settings.tls_key_file = key_file();
      settings.trusted_certificate_file = trusted_file();
    }
    settings.timeouts.commit = options_.commit_timeout;
    control_settings_[id] = settings;
    WriteFile(folder + "/control.yaml", settings.ToYaml());
    settings.http = host.entry_http;
    settings.messages = host.entry_messages;
    settings.data_folder.clear();
    settings.log_file = folder + "/entry.log";
    entry_settings_[id] = settings;
    WriteFile(folder + "/entry.yaml", settings.ToYaml());
  }
}

void TestCluster::StartControl(const std::string& host) {
  controls_[host] = std::make_unique<ChildProcess>(
      "wigeonstair-control",
      std::vector<std::string>{"--config",
                               folder_ + "/" + host + "/control.yaml"},
      folder_ + "/" + host + "/control.out");
}

void TestCluster::StartEntry(const std::string& host) {
  entries_[host] = std::make_unique<ChildProcess>(
      "wigeonstair-entry",
      std::vector<std::string>{"--config",
                               folder_ + "/" + host + "/entry.yaml"},
      folder_ + "/" + host + "/entry.out");
  WaitUntil("the entry process of " + host + " answers", [&] {
    return std::holds_alternative<net::HttpAnswer>(
        client_->SendAndWait({.address = entry_settings_[host].http,
                              .scheme = Scheme(),
                              .path = "/healthz"}));
  });
}

void TestCluster::StartAll() {
  for (const auto& [host, settings] : control_settings_)
    StartControl(host);
  const std::string first = control_settings_.begin()->first;
  WaitUntil("a leader is elected", [&] { return !Leader(first).empty(); });
  WaitUntil("the configuration is in force", [&] {
    return Call(first, "PUT", "/v1/configuration",
                ConfigurationBody("first", 0))
               .status == 200;
  });
}

void TestCluster::KillControl(const std::string& host) {
  controls_[host]->Signal(SIGKILL);
  controls_[host]->Wait();
}

void TestCluster::DeleteData(const std::string& host) {
  std::filesystem::remove_all(folder_ + "/" + host + "/data");
  std::filesystem::create_directories(folder_ + "/" + host + "/data");
}

std::unique_ptr<ChildProcess> TestCluster::Start(
    const std::string& name,
    const std::string& program,
    const std::vector<std::string>& arguments) {
  return std::make_unique<ChildProcess>(program, arguments,
                                        folder_ + "/" + name + ".out");
}

std::string TestCluster::LogOf(const std::string& name) const {
  return ReadFile(name + ".out");
}

std::string TestCluster::ReadFile(const std::string& name) const {
  std::ifstream file(File(name));
  return std::string(std::istreambuf_iterator<char>(file), {});
}

net::HttpOutcome TestCluster::TryCall(const std::string& host,
                                      const std::string& method,
                                      const std::string& path,
                                      const std::string& body) {
  return client_->SendAndWait(
      {.method = method,
       .address = control_settings_[host].http,
       .scheme = Scheme(),
       .path = path,
       .headers = {{"Authorization", std::string("Bearer ") + kToken}},
       .body = body,
       .timeout = std::chrono::seconds(20)});
}

net::HttpResponse TestCluster::Call(const std::string& host,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body) {
  const net::HttpOutcome outcome = TryCall(host, method, path, body);
  // The end of the log shows whether the process still runs.
  const auto fail = [&](const char* what, const base::Error& error) {
    const std::string log = ReadFile(host + "/control.out");
    FAIL(host << " does not answer " << method << " " << path << ", " << what
              << ": " << error.ToString() << "\n"
              << log.substr(log.size() -
                            std::min<std::size_t>(log.size(), kLogTailBytes)));
  };
  if (const auto* not_sent = std::get_if<net::HttpNotSent>(&outcome))
    fail("not sent", not_sent->error);
  if (const auto* lost = std::get_if<net::HttpLost>(&outcome))
    fail("lost", lost->error);
  return std::get<net::HttpAnswer>(outcome).response;
}

std::string TestCluster::ConfigurationBody(const std::string& operation,
                                           int expected_revision,
                                           int priority) const {
  cluster::ClusterConfiguration configuration = configuration_;
  configuration.customers[0].priority = priority;
  return R"({"operation":")" + operation + R"(","expected_revision":)" +
         std::to_string(expected_revision) + R"(,"configuration":)" +
         settings::ClusterConfigurationToJson(configuration) + "}";
}

std::string TestCluster::AuthorityOf(const std::string& domain,
                                     const std::string& asked) {
  const net::HttpOutcome outcome = TryCall(asked, "GET", "/v1/domains");
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  if (answer == nullptr)
    return {};
  const settings::Value value = MustParse(answer->response.body);
  for (const settings::Value& item : tools::ItemsOf(value, "domains")) {
    if (tools::TextOf(item, "domain") == domain)
      return tools::TextOf(item, "authority");
  }
  return {};
}

std::string TestCluster::Leader(const std::string& asked) {
  const net::HttpOutcome outcome = TryCall(asked, "GET", "/v1/status");
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  if (answer == nullptr)
    return {};
  const settings::Value value = MustParse(answer->response.body);
  return tools::TextOf(tools::ObjectOf(value, "cluster_group"), "leader");
}

}  // namespace wigeonstair::end_to_end
