#include "settings/cluster_configuration.h"

#include <utility>

#include "settings/json.h"
#include "settings/yaml.h"

namespace wigeonstair::settings {

namespace {

using cluster::CellLevel;
using cluster::ClusterConfiguration;
using cluster::CustomerConfiguration;
using cluster::DomainConfiguration;
using cluster::Guarantee;
using cluster::HostConfiguration;
using cluster::HostStorage;
using cluster::RackConfiguration;

constexpr const char* kReadStep = "read cluster configuration";

constexpr IntegerRange kPriorityRange{.minimum = 0, .maximum = 100};
constexpr IntegerRange kWorkersRange{.minimum = 1, .maximum = 10'000};
constexpr IntegerRange kCoresRange{.minimum = 1, .maximum = 4096};
constexpr IntegerRange kMemoryRange{.minimum = 1, .maximum = 67'108'864};
constexpr IntegerRange kAcceleratorsRange{.minimum = 0, .maximum = 1024};
constexpr IntegerRange kCellRange{.minimum = 1, .maximum = 100'000};
constexpr IntegerRange kRequestsRange{.minimum = 1, .maximum = 100'000};
constexpr IntegerRange kWeightRange{.minimum = 1, .maximum = 1000};
// Ten years.
constexpr IntegerRange kAutonomyRange{.minimum = 0, .maximum = 315'360'000};

int ReadInt(ObjectReader& reader, std::string_view key, IntegerRange range) {
  return static_cast<int>(reader.Integer(key, range));
}

RackConfiguration ReadRack(ObjectReader& reader) {
  return {.id = base::RackId(reader.Id("id")),
          .workers = ReadInt(reader, "workers", kWorkersRange),
          .cores_per_worker = ReadInt(reader, "cores_per_worker", kCoresRange),
          .memory_megabytes_per_worker =
              ReadInt(reader, "memory_mb_per_worker", kMemoryRange),
          .accelerators_per_worker =
              ReadInt(reader, "accelerators_per_worker", kAcceleratorsRange)};
}

DomainConfiguration ReadDomain(ObjectReader& reader) {
  DomainConfiguration domain;
  domain.id = base::DomainId(reader.Id("id"));
  domain.region = reader.Id("region");
  domain.autonomy_seconds =
      reader.OptionalInteger("autonomy_seconds", kAutonomyRange);
  reader.Objects("racks", 0, [&domain](ObjectReader& rack) {
    domain.racks.push_back(ReadRack(rack));
  });
  return domain;
}

Guarantee ReadGuarantee(ObjectReader& reader) {
  Guarantee guarantee;
  guarantee.domain = base::DomainId(reader.Id("domain"));
  guarantee.shape.level = ReadCellLevel(reader, "level");
  guarantee.shape.accelerators = ReadInt(reader, "accelerators", kCellRange);
  guarantee.count = ReadInt(reader, "count", kCellRange);
  return guarantee;
}

CustomerConfiguration ReadCustomer(ObjectReader& reader) {
  CustomerConfiguration customer;
  customer.id = base::CustomerId(reader.Id("id"));
  customer.name = reader.TextOr("name", customer.id.value());
  customer.priority =
      static_cast<int>(reader.IntegerOr("priority", kPriorityRange, 50));
  if (const auto limit = reader.OptionalInteger(
          "borrowing_limit", {.minimum = 0, .maximum = 1'000'000})) {
    customer.borrowing_limit = static_cast<int>(*limit);
  }
  customer.request_weight =
      static_cast<int>(reader.IntegerOr("request_weight", kWeightRange, 1));
  customer.maximum_concurrent_requests = static_cast<int>(
      reader.IntegerOr("maximum_concurrent_requests", kRequestsRange, 256));
  reader.Objects("guarantees", 0, [&customer](ObjectReader& guarantee) {
    customer.guarantees.push_back(ReadGuarantee(guarantee));
  });
  return customer;
}

ClusterConfiguration ReadCluster(ObjectReader& reader) {
  ClusterConfiguration configuration;
  configuration.cluster = reader.Id("cluster");
  reader.Objects("domains", 1, [&configuration](ObjectReader& domain) {
    configuration.domains.push_back(ReadDomain(domain));
  });
  reader.Objects("customers", 0, [&configuration](ObjectReader& customer) {
    configuration.customers.push_back(ReadCustomer(customer));
  });
  reader.Objects("hosts", 1, [&configuration](ObjectReader& host) {
    configuration.hosts.push_back(ReadHost(host));
  });
  reader.Finish();
  return configuration;
}

template <typename Items, typename Convert>
Value ListOf(const Items& items, Convert convert) {
  Value list = Value::Sequence();
  for (const auto& item : items)
    list.items.push_back(convert(item));
  return list;
}

Value RackToValue(const RackConfiguration& rack) {
  return Value::Mapping()
      .Add("id", Value::Text(rack.id.value()))
      .Add("workers", Value::Number(rack.workers))
      .Add("cores_per_worker", Value::Number(rack.cores_per_worker))
      .Add("memory_mb_per_worker",
           Value::Number(rack.memory_megabytes_per_worker))
      .Add("accelerators_per_worker",
           Value::Number(rack.accelerators_per_worker));
}

Value DomainToValue(const DomainConfiguration& domain) {
  Value value = Value::Mapping();
  value.Add("id", Value::Text(domain.id.value()))
      .Add("region", Value::Text(domain.region));
  if (domain.autonomy_seconds)
    value.Add("autonomy_seconds", Value::Number(*domain.autonomy_seconds));
  return value.Add("racks", ListOf(domain.racks, RackToValue));
}

Value GuaranteeToValue(const Guarantee& guarantee) {
  return Value::Mapping()
      .Add("domain", Value::Text(guarantee.domain.value()))
      .Add("level",
           Value::Text(std::string(CellLevelName(guarantee.shape.level))))
      .Add("accelerators", Value::Number(guarantee.shape.accelerators))
      .Add("count", Value::Number(guarantee.count));
}

Value CustomerToValue(const CustomerConfiguration& customer) {
  Value value = Value::Mapping();
  value.Add("id", Value::Text(customer.id.value()))
      .Add("name", Value::Text(customer.name))
      .Add("priority", Value::Number(customer.priority));
  if (customer.borrowing_limit)
    value.Add("borrowing_limit", Value::Number(*customer.borrowing_limit));
  return value.Add("request_weight", Value::Number(customer.request_weight))
      .Add("maximum_concurrent_requests",
           Value::Number(customer.maximum_concurrent_requests))
      .Add("guarantees", ListOf(customer.guarantees, GuaranteeToValue));
}

}  // namespace

std::string_view CellLevelName(CellLevel level) {
  switch (level) {
    case CellLevel::kAccelerator:
      return "accelerator";
    case CellLevel::kWorker:
      return "worker";
    case CellLevel::kRack:
      return "rack";
    case CellLevel::kDomain:
      return "domain";
  }
  return "unknown";
}

CellLevel ReadCellLevel(ObjectReader& reader, std::string_view key) {
  return reader.Choice<CellLevel>(key,
                                  {{"accelerator", CellLevel::kAccelerator},
                                   {"worker", CellLevel::kWorker},
                                   {"rack", CellLevel::kRack},
                                   {"domain", CellLevel::kDomain}});
}

HostConfiguration ReadHost(ObjectReader& reader) {
  return {.id = base::HostId(reader.Id("id")),
          .domain = base::DomainId(reader.Id("domain")),
          .storage = reader.Choice<HostStorage>(
              "storage",
              {{"none", HostStorage::kNone}, {"disk", HostStorage::kDisk}}),
          .control_http = reader.Address("control_http"),
          .control_messages = reader.Address("control_messages"),
          .entry_http = reader.Address("entry_http"),
          .entry_messages = reader.Address("entry_messages")};
}

Value HostToValue(const HostConfiguration& host) {
  const bool disk = host.storage == HostStorage::kDisk;
  return Value::Mapping()
      .Add("id", Value::Text(host.id.value()))
      .Add("domain", Value::Text(host.domain.value()))
      .Add("storage", Value::Text(disk ? "disk" : "none"))
      .Add("control_http", Value::Text(host.control_http))
      .Add("control_messages", Value::Text(host.control_messages))
      .Add("entry_http", Value::Text(host.entry_http))
      .Add("entry_messages", Value::Text(host.entry_messages));
}

Value ClusterConfigurationToValue(const ClusterConfiguration& configuration) {
  return Value::Mapping()
      .Add("cluster", Value::Text(configuration.cluster))
      .Add("domains", ListOf(configuration.domains, DomainToValue))
      .Add("customers", ListOf(configuration.customers, CustomerToValue))
      .Add("hosts", ListOf(configuration.hosts, HostToValue));
}

base::Result<ClusterConfiguration> ClusterConfigurationFromValue(
    const Value& value,
    const std::string& source) {
  Faults faults;
  ObjectReader reader(value, "", faults);
  ClusterConfiguration configuration = ReadCluster(reader);
  // Checks across the whole would repeat the faults of unread members.
  if (faults.empty()) {
    faults = CheckClusterConfiguration(configuration);
    LocateFaults(value, faults);
  }
  if (!faults.empty())
    return base::Fail(FaultsError(kReadStep, source, faults));
  return configuration;
}

base::Result<ClusterConfiguration> ClusterConfigurationFromYaml(
    std::string_view text,
    const std::string& source) {
  const Value value = TRY(ParseYaml(text, source));
  return ClusterConfigurationFromValue(value, source);
}

base::Result<ClusterConfiguration> ClusterConfigurationFromJson(
    std::string_view text,
    const std::string& source) {
  const Value value = TRY(ParseJson(text, source));
  return ClusterConfigurationFromValue(value, source);
}

base::Result<ClusterConfiguration> LoadClusterConfiguration(
    const std::string& path) {
  const std::string text = TRY(ReadTextFile(path));
  return ClusterConfigurationFromYaml(text, path);
}

std::string ClusterConfigurationToYaml(
    const ClusterConfiguration& configuration) {
  return EmitYaml(ClusterConfigurationToValue(configuration));
}

std::string ClusterConfigurationToJson(
    const ClusterConfiguration& configuration) {
  return EmitJson(ClusterConfigurationToValue(configuration));
}

}  // namespace wigeonstair::settings
