#include "settings/questionnaire.h"

#include <arpa/inet.h>

#include <algorithm>
#include <optional>

#include "settings/cluster_configuration.h"
#include "settings/guarantee_check.h"
#include "settings/object_reader.h"
#include "settings/yaml.h"

namespace wigeonstair::settings {

namespace {

using cluster::CellLevel;
using cluster::CustomerConfiguration;
using cluster::DomainConfiguration;
using cluster::Guarantee;
using cluster::HostConfiguration;
using cluster::HostStorage;
using cluster::RackConfiguration;

constexpr const char* kReadStep = "read questionnaire";
constexpr int kMegabytesPerGigabyte = 1024;
constexpr int kSecondsPerMinute = 60;
constexpr IntegerRange kCountRange{.minimum = 1, .maximum = 10'000};
constexpr IntegerRange kCellRange{.minimum = 1, .maximum = 100'000};
// The last port of a host is its base port plus kEntryMetrics.
constexpr IntegerRange kBasePortRange{.minimum = 1024, .maximum = 65'530};
constexpr int kNormalPriority = 50;

// The answers while they are read.
struct Reading {
  Questionnaire result;
  AnswerPaths paths;
  Faults faults;
};

std::string Indexed(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

int ReadInt(ObjectReader& reader, std::string_view key, IntegerRange range) {
  return static_cast<int>(reader.Integer(key, range));
}

// A number, or a word that stands for no limit.
std::optional<std::int64_t> ReadNumberOrUnlimited(ObjectReader& reader,
                                                  std::string_view key,
                                                  IntegerRange range,
                                                  std::string_view word) {
  return reader.IsWord(key, word) ? std::nullopt
                                  : reader.OptionalInteger(key, range);
}

RackConfiguration ReadRack(ObjectReader& reader) {
  return {
      .id = base::RackId(reader.Id("name")),
      .workers = ReadInt(reader, "workers", kCountRange),
      .cores_per_worker =
          ReadInt(reader, "cores_per_worker", {.minimum = 1, .maximum = 4096}),
      .memory_megabytes_per_worker =
          kMegabytesPerGigabyte * ReadInt(reader, "memory_gb_per_worker",
                                          {.minimum = 1, .maximum = 65'536}),
      .accelerators_per_worker = ReadInt(reader, "accelerators_per_worker",
                                         {.minimum = 0, .maximum = 1024})};
}

std::string ReadIp(ObjectReader& reader) {
  std::string ip = reader.Text("ip");
  in_addr address{};
  if (!ip.empty() && inet_pton(AF_INET, ip.c_str(), &address) != 1)
    reader.AddFault("ip", "must be an IPv4 address such as 192.0.2.1");
  return ip;
}

void ReadHostAnswers(ObjectReader& reader,
                     const base::DomainId& domain,
                     Reading& reading) {
  const base::HostId id(reader.Id("name"));
  const HostAnswers answers{
      .ip = ReadIp(reader),
      .base_port = ReadInt(reader, "base_port", kBasePortRange)};
  const bool disk = reader.YesNo("disk");
  auto& hosts = reading.result.configuration.hosts;
  reading.paths.Add(Indexed("hosts", hosts.size()), reader.path());
  hosts.push_back(
      {.id = id,
       .domain = domain,
       .storage = disk ? HostStorage::kDisk : HostStorage::kNone,
       .control_http = answers.Address(PortOffset::kControlHttp),
       .control_messages = answers.Address(PortOffset::kControlMessages),
       .entry_http = answers.Address(PortOffset::kEntryHttp),
       .entry_messages = answers.Address(PortOffset::kEntryMessages)});
  reading.result.hosts.emplace(id, answers);
}

void ReadDomain(ObjectReader& reader, Reading& reading) {
  auto& domains = reading.result.configuration.domains;
  const std::string place = Indexed("domains", domains.size());
  reading.paths.Add(place, reader.path());
  DomainConfiguration domain;
  domain.id = base::DomainId(reader.Id("name"));
  domain.region = reader.Id("region");
  const auto minutes =
      ReadNumberOrUnlimited(reader, "minutes_of_work_when_cut_off",
                            {.minimum = 0, .maximum = 5'256'000}, "unlimited");
  if (minutes)
    domain.autonomy_seconds = *minutes * kSecondsPerMinute;
  reader.Objects("racks", 0, [&](ObjectReader& rack) {
    reading.paths.Add(Indexed(place + ".racks", domain.racks.size()),
                      rack.path());
    domain.racks.push_back(ReadRack(rack));
  });
  reader.Objects("hosts", 1, [&](ObjectReader& host) {
    ReadHostAnswers(host, domain.id, reading);
  });
  domains.push_back(std::move(domain));
}

Guarantee ReadGuarantee(ObjectReader& reader) {
  Guarantee guarantee;
  guarantee.domain = base::DomainId(reader.Id("in"));
  guarantee.count = ReadInt(reader, "times", kCellRange);
  guarantee.shape.accelerators = ReadInt(reader, "accelerators", kCellRange);
  guarantee.shape.level = reader.Choice<CellLevel>(
      "together_in", {{"worker", CellLevel::kWorker},
                      {"rack", CellLevel::kRack},
                      {"domain", CellLevel::kDomain},
                      {"accelerator", CellLevel::kAccelerator}});
  return guarantee;
}

int ReadPriority(ObjectReader& reader) {
  constexpr std::pair<std::string_view, int> kWords[] = {
      {"low", 20}, {"normal", kNormalPriority}, {"high", 80}};
  for (const auto& [word, priority] : kWords) {
    if (reader.IsWord("priority", word))
      return priority;
  }
  return static_cast<int>(reader.IntegerOr(
      "priority", {.minimum = 0, .maximum = 100}, kNormalPriority));
}

void ReadCustomer(ObjectReader& reader, Reading& reading) {
  auto& customers = reading.result.configuration.customers;
  const std::string place = Indexed("customers", customers.size());
  reading.paths.Add(place, reader.path());
  CustomerConfiguration customer;
  customer.id = base::CustomerId(reader.Id("name"));
  customer.name = reader.TextOr("full_name", customer.id.value());
  customer.priority = ReadPriority(reader);
  const auto limit =
      ReadNumberOrUnlimited(reader, "may_borrow_accelerators",
                            {.minimum = 0, .maximum = 1'000'000}, "unlimited");
  if (limit)
    customer.borrowing_limit = static_cast<int>(*limit);
  customer.request_weight = static_cast<int>(reader.IntegerOr(
      "share_of_requests", {.minimum = 1, .maximum = 1000}, 1));
  customer.maximum_concurrent_requests = static_cast<int>(reader.IntegerOr(
      "requests_at_once_per_host", {.minimum = 1, .maximum = 100'000}, 256));
  reader.Objects("guaranteed", 0, [&](ObjectReader& guarantee) {
    reading.paths.Add(
        Indexed(place + ".guarantees", customer.guarantees.size()),
        guarantee.path());
    customer.guarantees.push_back(ReadGuarantee(guarantee));
  });
  customers.push_back(std::move(customer));
}

void ReadFiles(ObjectReader& reader, FileAnswers& files) {
  files.data_folder = reader.TextOr("data_folder", files.data_folder);
  files.log_folder = reader.TextOr("log_folder", "");
  files.operator_token = reader.TextOr("operator_token", "");
  files.certificate = reader.TextOr("certificate", "");
  files.key = reader.TextOr("key", "");
  files.trusted_certificate = reader.TextOr("trusted_certificate", "");
  if (files.certificate.empty() != files.key.empty())
    reader.AddFault("key", "certificate and key must be given together");
  if (files.data_folder.empty())
    reader.AddFault("data_folder", "must not be empty");
}

void ReadAnswers(ObjectReader& reader, Reading& reading) {
  Questionnaire& result = reading.result;
  result.configuration.cluster = reader.Id("platform");
  result.log_level =
      reader.Choice<base::LogLevel>("log_level",
                                    {{"info", base::LogLevel::kInfo},
                                     {"debug", base::LogLevel::kDebug},
                                     {"warning", base::LogLevel::kWarning},
                                     {"error", base::LogLevel::kError}},
                                    base::LogLevel::kInfo);
  reader.Object("files",
                [&](ObjectReader& files) { ReadFiles(files, result.files); });
  reader.Objects("failure_domains", 1,
                 [&](ObjectReader& domain) { ReadDomain(domain, reading); });
  reader.Objects("customers", 1, [&](ObjectReader& customer) {
    ReadCustomer(customer, reading);
  });
  reader.Finish();
}

// Each host's six ports are distinct by construction; two hosts on one
// address need base ports at least six apart.
void CheckPorts(const Questionnaire& answers, Faults& faults) {
  const auto& hosts = answers.configuration.hosts;
  constexpr int kPorts = static_cast<int>(PortOffset::kEntryMetrics) + 1;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const HostAnswers& host = answers.hosts.at(hosts[i].id);
    for (std::size_t j = 0; j < i; ++j) {
      const HostAnswers& other = answers.hosts.at(hosts[j].id);
      if (hosts[i].id != hosts[j].id && host.ip == other.ip &&
          std::abs(host.base_port - other.base_port) < kPorts) {
        faults.push_back(
            {.line = 0,
             .path = Indexed("hosts", i) + ".base_port",
             .message = "overlaps the ports of '" + hosts[j].id.value() +
                        "'; each host uses " + std::to_string(kPorts) +
                        " ports from its base port"});
      }
    }
  }
}

Faults CheckAnswers(const Questionnaire& answers) {
  const auto& configuration = answers.configuration;
  Faults faults = CheckClusterConfiguration(configuration);
  // Overlaps are reported by base port, which is what the operator wrote.
  std::erase_if(faults, [](const Fault& fault) {
    return fault.path.ends_with("_http") || fault.path.ends_with("_messages");
  });
  const bool references_hold = faults.empty();
  CheckPorts(answers, faults);
  CheckVoters(configuration, faults);
  if (references_hold) {
    const Faults unmet = CheckGuarantees(configuration);
    faults.insert(faults.end(), unmet.begin(), unmet.end());
  }
  return faults;
}

}  // namespace

std::string HostAnswers::Address(PortOffset offset) const {
  return ip + ":" + std::to_string(base_port + static_cast<int>(offset));
}

void AnswerPaths::Add(std::string configuration, std::string answer) {
  prefixes_[std::move(configuration)] = std::move(answer);
}

std::string AnswerPaths::Translate(const std::string& path) const {
  static const std::map<std::string, std::string> kKeys = {
      {".id", ".name"}, {".domain", ".in"}, {".count", ".times"}};
  std::string prefix = path;
  std::string rest;
  // The longest known prefix is the most exact answer.
  while (!prefixes_.contains(prefix)) {
    const auto cut = prefix.find_last_of(".[");
    if (cut == std::string::npos)
      return path == "hosts" ? "failure_domains" : path;
    rest.insert(0, prefix, cut);
    prefix.resize(cut);
  }
  const auto renamed = kKeys.find(rest);
  return prefixes_.at(prefix) +
         (renamed == kKeys.end() ? rest : renamed->second);
}

void CheckVoters(const cluster::ClusterConfiguration& configuration,
                 Faults& faults) {
  std::map<base::DomainId, int> voters;
  int total = 0;
  for (const HostConfiguration& host : configuration.hosts) {
    if (host.storage == HostStorage::kDisk) {
      ++voters[host.domain];
      ++total;
    }
  }
  if (total != 3 && total != 5) {
    faults.push_back({.line = 0,
                      .path = "hosts",
                      .message = std::to_string(total) +
                                 " hosts have a disk; exactly 3 or 5 must, "
                                 "because they vote"});
    return;
  }
  if (configuration.domains.size() < 2)
    return;
  for (std::size_t i = 0; i < configuration.domains.size(); ++i) {
    const auto& id = configuration.domains[i].id;
    if (voters[id] * 2 > total) {
      faults.push_back(
          {.line = 0,
           .path = Indexed("domains", i) + ".id",
           .message = "'" + id.value() + "' holds " +
                      std::to_string(voters[id]) + " of the " +
                      std::to_string(total) +
                      " hosts with a disk; its loss would stop all changes. "
                      "Give a host of another failure domain a disk instead"});
    }
  }
}

base::Result<Questionnaire> QuestionnaireFromYaml(std::string_view text,
                                                  const std::string& source) {
  const Value value = TRY(ParseYaml(text, source));
  Reading reading;
  ObjectReader reader(value, "", reading.faults);
  ReadAnswers(reader, reading);
  if (reading.faults.empty()) {
    reading.faults = CheckAnswers(reading.result);
    for (Fault& fault : reading.faults)
      fault.path = reading.paths.Translate(fault.path);
    LocateFaults(value, reading.faults);
  }
  if (!reading.faults.empty())
    return base::Fail(FaultsError(kReadStep, source, reading.faults));
  return std::move(reading.result);
}

base::Result<Questionnaire> LoadQuestionnaire(const std::string& path) {
  const std::string text = TRY(ReadTextFile(path));
  return QuestionnaireFromYaml(text, path);
}

}  // namespace wigeonstair::settings
