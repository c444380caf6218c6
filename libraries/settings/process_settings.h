#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_PROCESS_SETTINGS_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_PROCESS_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::settings {

// Times that an operator may have to adapt to a network. The defaults are
// those of docs/design.md.
struct Timeouts {
  // Replicated groups.
  base::Duration heartbeat = std::chrono::milliseconds(300);
  base::Duration election_minimum = std::chrono::milliseconds(900);
  base::Duration election_maximum = std::chrono::milliseconds(1500);
  base::Duration leader_lease = std::chrono::milliseconds(800);
  base::Duration commit = std::chrono::milliseconds(5000);
  // Placement authority of a failure domain.
  base::Duration authority_lease = std::chrono::milliseconds(2000);
  base::Duration authority_renewal = std::chrono::milliseconds(700);
  // Membership.
  base::Duration probe_interval = std::chrono::milliseconds(1000);
  base::Duration suspicion = std::chrono::milliseconds(1000);
  // Workers.
  base::Duration worker_report = std::chrono::milliseconds(1000);
  base::Duration worker_lost = std::chrono::milliseconds(5000);
  base::Duration task_lease = std::chrono::milliseconds(10'000);
  // Upstreams and requests.
  base::Duration upstream_heartbeat = std::chrono::milliseconds(1000);
  base::Duration upstream_suspect = std::chrono::milliseconds(3000);
  base::Duration default_deadline = std::chrono::milliseconds(2000);
  base::Duration maximum_deadline = std::chrono::milliseconds(60'000);
  // A second copy of a slow request is sent no earlier; zero turns that off.
  base::Duration hedge_floor = std::chrono::milliseconds(10);
  base::Duration claim_validity = std::chrono::milliseconds(5000);
  base::Duration record_retention = std::chrono::minutes(30);
  // Time to receive one HTTP request.
  base::Duration http_receive = std::chrono::milliseconds(30'000);
  // Time for requests in progress to end after SIGTERM.
  base::Duration drain = std::chrono::milliseconds(60'000);

  auto operator<=>(const Timeouts&) const = default;
};

inline constexpr std::int64_t kKibibyte = 1024;
inline constexpr std::int64_t kMebibyte = 1024 * kKibibyte;

struct Limits {
  std::int64_t http_body_bytes = kMebibyte;
  std::int64_t http_header_bytes = 16 * kKibibyte;
  std::int64_t http_requests_in_progress = 4096;
  std::int64_t admission_queue = 1024;
  std::int64_t message_bytes = 8 * kMebibyte;
  std::int64_t message_queue = 1024;
  std::int64_t operation_ids = 65'536;
  std::int64_t request_records = 200'000;
  std::int64_t stored_answer_bytes = 16 * kKibibyte;
  std::int64_t stored_answers_total_bytes = 64 * kMebibyte;
  // Log entries between two snapshots of a replicated group.
  std::int64_t snapshot_entries = 10'000;
  // Requests kept for GET /v1/requests/{id}.
  std::int64_t explained_requests = 4096;

  auto operator<=>(const Limits&) const = default;
};

// What one process reads from its settings file.
struct ProcessSettings {
  std::string cluster;
  base::HostId host;
  base::DomainId domain;
  // Empty on a host without a disk.
  std::string data_folder;
  // "ip:port" each. `metrics` may be empty; GET /metrics is then served on
  // `http` only.
  std::string http;
  std::string messages;
  std::string metrics;
  // PEM files. Certificate and key are both empty for plain HTTP.
  std::string tls_certificate_file;
  std::string tls_key_file;
  std::string trusted_certificate_file;
  // File with the bearer token of operators. Empty refuses operators' calls.
  std::string operator_token_file;
  // Empty writes the log to standard error.
  std::string log_file;
  base::LogLevel log_level = base::LogLevel::kInfo;
  // All hosts of the cluster, this one included. They are the first contacts;
  // afterwards the cluster configuration and membership have the word.
  std::vector<cluster::HostConfiguration> hosts;
  Timeouts timeouts;
  Limits limits;

  // Reads and checks a file. Relative file names in it are taken from its own
  // folder. Fails with all faults and their lines.
  static base::Result<ProcessSettings> Load(const std::string& path);
  // Like Load, for a text. `source` names it in errors.
  static base::Result<ProcessSettings> FromYaml(std::string_view text,
                                                const std::string& source);
  std::string ToYaml() const;

  // The entry of this host in `hosts`, which a checked object always has.
  const cluster::HostConfiguration& self() const;

  auto operator<=>(const ProcessSettings&) const = default;
};

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_PROCESS_SETTINGS_H_
