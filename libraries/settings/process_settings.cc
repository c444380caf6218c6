#include "settings/process_settings.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "settings/cluster_configuration.h"
#include "settings/fault.h"
#include "settings/object_reader.h"
#include "settings/value.h"
#include "settings/yaml.h"

namespace wigeonstair::settings {

namespace {

constexpr const char* kReadStep = "read settings";

struct TimeoutField {
  std::string_view key;
  base::Duration Timeouts::*member;
  IntegerRange range_milliseconds;
};

// An hour is far above every sensible value; it catches a wrong unit.
constexpr IntegerRange kShort{.minimum = 10, .maximum = 3'600'000};
constexpr IntegerRange kFloor{.minimum = 0, .maximum = 60'000};
constexpr IntegerRange kRetention{.minimum = 60'000, .maximum = 86'400'000};

constexpr TimeoutField kTimeoutFields[] = {
    {"heartbeat_ms", &Timeouts::heartbeat, kShort},
    {"election_minimum_ms", &Timeouts::election_minimum, kShort},
    {"election_maximum_ms", &Timeouts::election_maximum, kShort},
    {"leader_lease_ms", &Timeouts::leader_lease, kShort},
    {"commit_ms", &Timeouts::commit, kShort},
    {"authority_lease_ms", &Timeouts::authority_lease, kShort},
    {"authority_renewal_ms", &Timeouts::authority_renewal, kShort},
    {"probe_interval_ms", &Timeouts::probe_interval, kShort},
    {"suspicion_ms", &Timeouts::suspicion, kShort},
    {"worker_report_ms", &Timeouts::worker_report, kShort},
    {"worker_lost_ms", &Timeouts::worker_lost, kShort},
    {"task_lease_ms", &Timeouts::task_lease, kShort},
    {"upstream_heartbeat_ms", &Timeouts::upstream_heartbeat, kShort},
    {"upstream_suspect_ms", &Timeouts::upstream_suspect, kShort},
    {"default_deadline_ms", &Timeouts::default_deadline, kShort},
    {"maximum_deadline_ms", &Timeouts::maximum_deadline, kShort},
    {"hedge_floor_ms", &Timeouts::hedge_floor, kFloor},
    {"claim_validity_ms", &Timeouts::claim_validity, kShort},
    {"record_retention_ms", &Timeouts::record_retention, kRetention},
    {"http_receive_ms", &Timeouts::http_receive, kShort},
    {"drain_ms", &Timeouts::drain, kShort},
};

struct LimitField {
  std::string_view key;
  std::int64_t Limits::*member;
  IntegerRange range;
};

constexpr IntegerRange kBytes{.minimum = 1024, .maximum = 64 * kMebibyte};
constexpr IntegerRange kCount{.minimum = 1, .maximum = 1'000'000};

constexpr LimitField kLimitFields[] = {
    {"http_body_bytes", &Limits::http_body_bytes, kBytes},
    {"http_header_bytes", &Limits::http_header_bytes, kBytes},
    {"http_requests_in_progress", &Limits::http_requests_in_progress, kCount},
    {"admission_queue", &Limits::admission_queue, kCount},
    {"message_bytes", &Limits::message_bytes, kBytes},
    {"message_queue", &Limits::message_queue, kCount},
    {"operation_ids", &Limits::operation_ids, kCount},
    {"request_records", &Limits::request_records, kCount},
    {"stored_answer_bytes", &Limits::stored_answer_bytes, kBytes},
    {"stored_answers_total_bytes",
     &Limits::stored_answers_total_bytes,
     {.minimum = 1024, .maximum = 1024 * kMebibyte}},
    {"snapshot_entries", &Limits::snapshot_entries, kCount},
    {"explained_requests", &Limits::explained_requests, kCount},
};

std::int64_t Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

void ReadTimeouts(ObjectReader& reader, Timeouts& timeouts) {
  for (const TimeoutField& field : kTimeoutFields) {
    base::Duration& duration = timeouts.*field.member;
    duration = std::chrono::milliseconds(reader.IntegerOr(
        field.key, field.range_milliseconds, Milliseconds(duration)));
  }
}

void ReadLimits(ObjectReader& reader, Limits& limits) {
  for (const LimitField& field : kLimitFields) {
    std::int64_t& limit = limits.*field.member;
    limit = reader.IntegerOr(field.key, field.range, limit);
  }
}

base::LogLevel ReadLogLevel(ObjectReader& reader) {
  return reader.Choice<base::LogLevel>("level",
                                       {{"debug", base::LogLevel::kDebug},
                                        {"info", base::LogLevel::kInfo},
                                        {"warning", base::LogLevel::kWarning},
                                        {"error", base::LogLevel::kError}},
                                       base::LogLevel::kInfo);
}

std::string LogLevelName(base::LogLevel level) {
  switch (level) {
    case base::LogLevel::kDebug:
      return "debug";
    case base::LogLevel::kInfo:
      return "info";
    case base::LogLevel::kWarning:
      return "warning";
    case base::LogLevel::kError:
      return "error";
  }
  return "info";
}

ProcessSettings ReadSettings(ObjectReader& reader) {
  ProcessSettings settings;
  settings.cluster = reader.Id("cluster");
  settings.host = base::HostId(reader.Id("host"));
  settings.domain = base::DomainId(reader.Id("domain"));
  settings.data_folder = reader.TextOr("data_folder", "");
  settings.http = reader.Address("http");
  settings.messages = reader.Address("messages");
  settings.metrics = reader.AddressOr("metrics", "");
  settings.operator_token_file = reader.TextOr("operator_token_file", "");
  reader.Object("tls", [&settings](ObjectReader& tls) {
    settings.tls_certificate_file = tls.TextOr("certificate_file", "");
    settings.tls_key_file = tls.TextOr("key_file", "");
    settings.trusted_certificate_file =
        tls.TextOr("trusted_certificate_file", "");
  });
  reader.Object("log", [&settings](ObjectReader& log) {
    settings.log_file = log.TextOr("file", "");
    settings.log_level = ReadLogLevel(log);
  });
  reader.Objects("hosts", 1, [&settings](ObjectReader& host) {
    settings.hosts.push_back(ReadHost(host));
  });
  reader.Object("timeouts", [&settings](ObjectReader& timeouts) {
    ReadTimeouts(timeouts, settings.timeouts);
  });
  reader.Object("limits", [&settings](ObjectReader& limits) {
    ReadLimits(limits, settings.limits);
  });
  reader.Finish();
  return settings;
}

const cluster::HostConfiguration* FindSelf(const ProcessSettings& settings) {
  const auto found =
      std::find_if(settings.hosts.begin(), settings.hosts.end(),
                   [&](const auto& host) { return host.id == settings.host; });
  return found == settings.hosts.end() ? nullptr : &*found;
}

void Require(bool condition,
             std::string path,
             std::string message,
             Faults& faults) {
  if (!condition) {
    faults.push_back(
        {.line = 0, .path = std::move(path), .message = std::move(message)});
  }
}

void CheckSelf(const ProcessSettings& settings, Faults& faults) {
  const auto* self = FindSelf(settings);
  if (self == nullptr) {
    Require(false, "host",
            "'" + settings.host.value() + "' is not in the list of hosts",
            faults);
    return;
  }
  Require(self->domain == settings.domain, "domain",
          "the list of hosts puts '" + settings.host.value() +
              "' into the failure domain '" + self->domain.value() + "'",
          faults);
  const bool control = settings.http == self->control_http &&
                       settings.messages == self->control_messages;
  const bool entry = settings.http == self->entry_http &&
                     settings.messages == self->entry_messages;
  Require(control || entry, "http",
          "http and messages must be the control pair or the entry pair of '" +
              settings.host.value() + "' in the list of hosts",
          faults);
  const bool disk = self->storage == cluster::HostStorage::kDisk;
  Require(!control || disk == !settings.data_folder.empty(), "data_folder",
          disk ? "a control process on a host with a disk needs a data folder"
               : "the list of hosts says that this host has no disk",
          faults);
  Require(settings.metrics.empty() || (settings.metrics != settings.http &&
                                       settings.metrics != settings.messages),
          "metrics", "must differ from http and messages", faults);
}

// Relations that the protocols rely on.
void CheckTimeouts(const Timeouts& timeouts, Faults& faults) {
  Require(timeouts.heartbeat * 2 <= timeouts.leader_lease,
          "timeouts.leader_lease_ms",
          "must be at least two heartbeats (heartbeat_ms)", faults);
  Require(timeouts.leader_lease < timeouts.election_minimum,
          "timeouts.leader_lease_ms",
          "must be shorter than election_minimum_ms, or two leaders could "
          "hold a lease at once",
          faults);
  Require(timeouts.election_minimum < timeouts.election_maximum,
          "timeouts.election_maximum_ms",
          "must be longer than election_minimum_ms", faults);
  Require(timeouts.authority_renewal * 2 <= timeouts.authority_lease,
          "timeouts.authority_lease_ms",
          "must be at least twice authority_renewal_ms", faults);
  Require(timeouts.worker_report * 3 <= timeouts.task_lease,
          "timeouts.task_lease_ms",
          "must be at least three times "
          "worker_report_ms, or one lost report stops tasks",
          faults);
  Require(timeouts.worker_report * 2 <= timeouts.worker_lost,
          "timeouts.worker_lost_ms", "must be at least twice worker_report_ms",
          faults);
  Require(timeouts.upstream_heartbeat * 2 <= timeouts.upstream_suspect,
          "timeouts.upstream_suspect_ms",
          "must be at least twice upstream_heartbeat_ms", faults);
  Require(timeouts.default_deadline <= timeouts.maximum_deadline,
          "timeouts.default_deadline_ms",
          "must not be longer than maximum_deadline_ms", faults);
  Require(timeouts.record_retention >=
              4 * (timeouts.maximum_deadline + timeouts.claim_validity),
          "timeouts.record_retention_ms",
          "must be at least four times maximum_deadline_ms plus "
          "claim_validity_ms, or a resend could outlive its record",
          faults);
}

Faults CheckSettings(const ProcessSettings& settings) {
  Faults faults;
  CheckHosts(settings.hosts, "hosts", faults);
  CheckSelf(settings, faults);
  CheckTimeouts(settings.timeouts, faults);
  Require(
      settings.tls_certificate_file.empty() == settings.tls_key_file.empty(),
      "tls", "certificate_file and key_file must be given together", faults);
  Require(settings.limits.stored_answer_bytes <=
              settings.limits.stored_answers_total_bytes,
          "limits.stored_answer_bytes",
          "must not exceed stored_answers_total_bytes", faults);
  return faults;
}

void AddText(Value& value, std::string_view key, const std::string& text) {
  if (!text.empty())
    value.Add(std::string(key), Value::Text(text));
}

// Only values that differ from the default are written, so that a better
// default of a later version takes effect.
Value TimeoutsToValue(const Timeouts& timeouts) {
  Value value = Value::Mapping();
  const Timeouts defaults;
  for (const TimeoutField& field : kTimeoutFields) {
    if (timeouts.*field.member != defaults.*field.member) {
      value.Add(std::string(field.key),
                Value::Number(Milliseconds(timeouts.*field.member)));
    }
  }
  return value;
}

Value LimitsToValue(const Limits& limits) {
  Value value = Value::Mapping();
  const Limits defaults;
  for (const LimitField& field : kLimitFields) {
    if (limits.*field.member != defaults.*field.member)
      value.Add(std::string(field.key), Value::Number(limits.*field.member));
  }
  return value;
}

void MakeAbsolute(const std::filesystem::path& folder, std::string& file) {
  if (!file.empty() && std::filesystem::path(file).is_relative())
    file = (folder / file).lexically_normal().string();
}

}  // namespace

base::Result<ProcessSettings> ProcessSettings::FromYaml(
    std::string_view text,
    const std::string& source) {
  const Value value = TRY(ParseYaml(text, source));
  Faults faults;
  ObjectReader reader(value, "", faults);
  ProcessSettings settings = ReadSettings(reader);
  if (faults.empty()) {
    faults = CheckSettings(settings);
    LocateFaults(value, faults);
  }
  if (!faults.empty())
    return base::Fail(FaultsError(kReadStep, source, faults));
  return settings;
}

base::Result<ProcessSettings> ProcessSettings::Load(const std::string& path) {
  const std::string text = TRY(ReadTextFile(path));
  ProcessSettings settings = TRY(FromYaml(text, path));
  const auto folder =
      std::filesystem::absolute(std::filesystem::path(path)).parent_path();
  for (std::string* file :
       {&settings.data_folder, &settings.tls_certificate_file,
        &settings.tls_key_file, &settings.trusted_certificate_file,
        &settings.operator_token_file, &settings.log_file}) {
    MakeAbsolute(folder, *file);
  }
  return settings;
}

std::string ProcessSettings::ToYaml() const {
  Value value = Value::Mapping();
  value.Add("cluster", Value::Text(cluster))
      .Add("host", Value::Text(host.value()))
      .Add("domain", Value::Text(domain.value()));
  AddText(value, "data_folder", data_folder);
  value.Add("http", Value::Text(http)).Add("messages", Value::Text(messages));
  AddText(value, "metrics", metrics);
  AddText(value, "operator_token_file", operator_token_file);
  Value tls = Value::Mapping();
  AddText(tls, "certificate_file", tls_certificate_file);
  AddText(tls, "key_file", tls_key_file);
  AddText(tls, "trusted_certificate_file", trusted_certificate_file);
  value.Add("tls", std::move(tls));
  Value log = Value::Mapping();
  AddText(log, "file", log_file);
  log.Add("level", Value::Text(LogLevelName(log_level)));
  value.Add("log", std::move(log));
  Value list = Value::Sequence();
  for (const auto& entry : hosts)
    list.items.push_back(HostToValue(entry));
  value.Add("hosts", std::move(list));
  value.Add("timeouts", TimeoutsToValue(timeouts));
  value.Add("limits", LimitsToValue(limits));
  return EmitYaml(value);
}

const cluster::HostConfiguration& ProcessSettings::self() const {
  return *FindSelf(*this);
}

}  // namespace wigeonstair::settings
