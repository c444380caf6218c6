#include "services/control/operator_api.h"

#include <utility>

#include "cluster/configuration_patch.h"
#include "placement/guarantee_feasibility.h"
#include "services/control/json_views.h"
#include "settings/cluster_configuration.h"
#include "settings/json.h"
#include "settings/object_reader.h"

namespace wigeonstair::control {

namespace {

using settings::ObjectReader;
using settings::Value;

constexpr base::Duration kInForcePoll = std::chrono::milliseconds(50);

net::HttpResponse Failure(base::ErrorCode code,
                          std::string step,
                          std::string detail) {
  const int status = net::StatusOf(code);
  return net::ErrorResponse(status, {.code = code,
                                     .step = std::move(step),
                                     .peer = {},
                                     .detail = std::move(detail)});
}

net::HttpResponse FailureOf(const base::Error& error) {
  return net::ErrorResponse(net::StatusOf(error.code), error);
}

// Tells an operator whose change was not accepted that the domain is out on
// this side all the same.
net::HttpResponse WithLocalTakeOut(net::HttpResponse response) {
  auto body = base::Capture(
      [&] { return settings::ParseJson(response.body, "own answer"); });
  if (auto* value = std::get_if<Value>(&body); value && response.status != 200)
    response.body = settings::EmitJson(
        value->Add("taken_out_locally", Value::Boolean(true)));
  return response;
}

// Names the winner, as docs/api.md describes.
net::HttpResponse ConflictResponse(const cluster::CommandReply& reply) {
  Value error = Value::Mapping();
  error.Add("code", Value::Text("conflict"));
  error.Add("step", Value::Text("change cluster"));
  error.Add("peer", Value::Text(""));
  error.Add("detail", Value::Text(reply.detail));
  Value value = Value::Mapping();
  value.Add("error", std::move(error));
  value.Add("revision",
            Value::Number(static_cast<std::int64_t>(reply.revision)));
  value.Add("winner_operation", Value::Text(reply.winner_operation));
  return JsonResponse(409, value);
}

net::HttpResponse RefusalResponse(const cluster::CommandReply& reply) {
  switch (reply.result) {
    case cluster::CommandResult::kConflict:
      return ConflictResponse(reply);
    case cluster::CommandResult::kNotFound:
      return Failure(base::ErrorCode::kNotFound, "change cluster",
                     reply.detail);
    case cluster::CommandResult::kTableFull:
      return Failure(base::ErrorCode::kResourceLimit, "change cluster",
                     reply.detail);
    case cluster::CommandResult::kInvalid:
    case cluster::CommandResult::kAccepted:
      break;
  }
  return Failure(base::ErrorCode::kInvalidArgument, "change cluster",
                 reply.detail);
}

struct ConfigurationChange {
  std::string operation;
  std::uint64_t expected_revision = 0;
  cluster::ClusterConfiguration configuration;
};

// Refuses guarantees that the declared workers cannot hold.
base::Result<std::monostate> CheckGuarantees(
    const cluster::ClusterConfiguration& configuration) {
  const auto conflicts = placement::FindGuaranteeConflicts(
      configuration.domains, configuration.customers);
  if (conflicts.empty())
    return std::monostate{};
  std::string text;
  for (const auto& conflict : conflicts)
    text += (text.empty() ? "" : "; ") + conflict.text;
  return base::Fail(base::ErrorCode::kInvalidArgument, "check guarantees", {},
                    text);
}

base::Result<ConfigurationChange> ParseConfigurationChange(
    std::string_view body) {
  const Value value = TRY(settings::ParseJson(body, "configuration change"));
  settings::Faults faults;
  ObjectReader reader(value, "", faults);
  ConfigurationChange change;
  change.operation = reader.Id("operation");
  change.expected_revision = static_cast<std::uint64_t>(
      reader.Integer("expected_revision", {.minimum = 0}));
  const Value* configuration = value.Find("configuration");
  if (configuration == nullptr)
    reader.AddFault("configuration", "is missing");
  if (!faults.empty()) {
    return base::Fail(
        settings::FaultsError("read configuration change", {}, faults));
  }
  change.configuration =
      cluster::Normalize(TRY(settings::ClusterConfigurationFromValue(
          *configuration, "configuration")));
  TRY(CheckGuarantees(change.configuration));
  return change;
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiOptions options)
    : options_(std::move(options)) {}

void OperatorApi::Handle(const net::HttpRequest& request,
                         std::string_view path,
                         net::HttpResponder respond) {
  if (request.method == "GET")
    return respond(Read(path));
  if (request.method == "PUT" && path == "/configuration")
    return ApplyConfiguration(request, std::move(respond));
  if (request.method == "POST" && path == "/members")
    return options_.change_members(request, std::move(respond));
  constexpr std::string_view kDomains = "/domains/";
  constexpr std::string_view kStatus = "/status";
  if (request.method == "POST" && path.starts_with(kDomains) &&
      path.ends_with(kStatus)) {
    path.remove_prefix(kDomains.size());
    path.remove_suffix(kStatus.size());
    return SetDomainStatus(request, base::DomainId(std::string(path)),
                           std::move(respond));
  }
  constexpr std::string_view kHosts = "/hosts/";
  constexpr std::string_view kStopped = "/stopped";
  if (request.method == "POST" && path.starts_with(kHosts) &&
      path.ends_with(kStopped)) {
    path.remove_prefix(kHosts.size());
    path.remove_suffix(kStopped.size());
    return ConfirmHostStopped(request, base::HostId(std::string(path)),
                              std::move(respond));
  }
  respond(
      net::ErrorResponse(405, {.code = base::ErrorCode::kInvalidArgument,
                               .step = request.method + " " + request.path,
                               .peer = {},
                               .detail = "the method is not allowed here"}));
}

net::HttpResponse OperatorApi::Read(std::string_view path) const {
  if (path == "/status")
    return Status();
  if (path == "/configuration")
    return Configuration();
  if (path == "/domains")
    return Domains();
  if (path == "/customers")
    return Customers();
  if (path == "/workers")
    return Workers();
  if (path == "/pending")
    return Pending();
  constexpr std::string_view kDomains = "/domains/";
  constexpr std::string_view kPreview = "/drain-preview";
  if (path.starts_with(kDomains) && path.ends_with(kPreview)) {
    path.remove_prefix(kDomains.size());
    path.remove_suffix(kPreview.size());
    return DrainPreview(base::DomainId(std::string(path)));
  }
  return Failure(base::ErrorCode::kNotFound, "find page",
                 "there is no page /v1" + std::string(path));
}

void OperatorApi::ApplyConfiguration(const net::HttpRequest& request,
                                     net::HttpResponder respond) {
  auto parsed =
      base::Capture([&] { return ParseConfigurationChange(request.body); });
  if (const auto* error = std::get_if<base::Error>(&parsed))
    return respond(FailureOf(*error));
  auto change = std::get<ConfigurationChange>(std::move(parsed));
  // The patch has to be relative to the configuration in force.
  options_.access->ReadBarrier(
      [this, change = std::move(change), respond = std::move(respond)](
          const std::variant<std::monostate, base::Error>& barrier) {
        if (const auto* error = std::get_if<base::Error>(&barrier))
          return respond(FailureOf(*error));
        ProposeConfiguration(change.operation, change.expected_revision,
                             change.configuration, respond);
      });
}

void OperatorApi::ProposeConfiguration(std::string operation,
                                       std::uint64_t expected_revision,
                                       cluster::ClusterConfiguration wanted,
                                       net::HttpResponder respond) {
  cluster::ApplyConfiguration command{
      .operation = std::move(operation),
      .expected_revision = expected_revision,
      .target_hash = cluster::HashConfiguration(wanted)};
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    // After another change only the operation id and the revision count: the
    // command is a resend or a conflict.
    if (state.configuration_revision() == expected_revision)
      command.patch =
          cluster::DiffConfigurations(state.configuration(), wanted);
  });
  Propose(std::move(command), std::move(respond));
}

void OperatorApi::SetDomainStatus(const net::HttpRequest& request,
                                  const base::DomainId& domain,
                                  net::HttpResponder respond) {
  auto parsed = base::Capture(
      [&] { return settings::ParseJson(request.body, "domain status"); });
  if (const auto* error = std::get_if<base::Error>(&parsed))
    return respond(FailureOf(*error));
  settings::Faults faults;
  ObjectReader reader(std::get<Value>(parsed), "", faults);
  cluster::SetDomainStatus command{.domain = domain};
  command.operation = reader.Id("operation");
  command.expected_revision = static_cast<std::uint64_t>(
      reader.IntegerOr("expected_revision", {.minimum = 0}, 0));
  command.status = reader.Choice<cluster::DomainStatus>(
      "status", {{"out", cluster::DomainStatus::kOut},
                 {"in", cluster::DomainStatus::kIn}});
  command.drain_mode = reader.Choice<cluster::DrainMode>(
      "drain",
      {{"release", cluster::DrainMode::kRelease},
       {"hold", cluster::DrainMode::kHoldForReturn}},
      cluster::DrainMode::kRelease);
  const bool local = reader.BooleanOr("local", false);
  reader.Finish();
  if (!faults.empty()) {
    return respond(
        FailureOf(settings::FaultsError("read domain status", {}, faults)));
  }
  if (local && domain == options_.domain &&
      command.status == cluster::DomainStatus::kOut) {
    options_.take_out_locally(domain);
    respond = [respond = std::move(respond)](net::HttpResponse response) {
      respond(WithLocalTakeOut(std::move(response)));
    };
  }
  Propose(std::move(command), std::move(respond));
}

void OperatorApi::ConfirmHostStopped(const net::HttpRequest& request,
                                     const base::HostId& host,
                                     net::HttpResponder respond) {
  auto parsed = base::Capture(
      [&] { return settings::ParseJson(request.body, "stopped host"); });
  if (const auto* error = std::get_if<base::Error>(&parsed))
    return respond(FailureOf(*error));
  settings::Faults faults;
  ObjectReader reader(std::get<Value>(parsed), "", faults);
  cluster::ConfirmHostStopped command{.host = host};
  command.operation = reader.Id("operation");
  reader.Finish();
  if (!faults.empty()) {
    return respond(
        FailureOf(settings::FaultsError("read stopped host", {}, faults)));
  }
  Propose(std::move(command), std::move(respond));
}

void OperatorApi::Propose(cluster::Command command,
                          net::HttpResponder respond) {
  const std::string operation(cluster::OperationOf(command));
  options_.access->Propose(
      std::move(command), [this, operation, respond = std::move(respond)](
                              const CommandOutcome& outcome) {
        if (const auto* error = std::get_if<base::Error>(&outcome))
          return respond(FailureOf(*error));
        const auto& reply = std::get<cluster::CommandReply>(outcome);
        if (reply.result != cluster::CommandResult::kAccepted)
          return respond(RefusalResponse(reply));
        AnswerWhenInForce(
            operation, reply.revision,
            base::MonotonicClock::now() + options_.in_force_timeout, respond);
      });
}

void OperatorApi::AnswerWhenInForce(const std::string& operation,
                                    std::uint64_t revision,
                                    base::Instant deadline,
                                    net::HttpResponder respond) {
  Value missing = MissingValue(revision);
  const bool in_force = missing.items.empty();
  if (!in_force && base::MonotonicClock::now() < deadline) {
    options_.loop->Schedule(
        kInForcePoll, [this, operation, revision, deadline,
                       respond = std::move(respond)]() mutable {
          AnswerWhenInForce(operation, revision, deadline, std::move(respond));
        });
    return;
  }
  Value value = Value::Mapping();
  value.Add("operation", Value::Text(operation));
  value.Add("revision", Value::Number(static_cast<std::int64_t>(revision)));
  value.Add("state", Value::Text(in_force ? "in_force" : "pending"));
  value.Add("missing", std::move(missing));
  respond(JsonResponse(in_force ? 200 : 202, value));
}

Value OperatorApi::MissingValue(std::uint64_t revision) const {
  Value list = Value::Sequence();
  for (const MissingPart& part : options_.missing(revision)) {
    Value entry = Value::Mapping();
    entry.Add(part.kind, Value::Text(part.id));
    entry.Add("why", Value::Text(part.why));
    list.items.push_back(std::move(entry));
  }
  return list;
}

net::HttpResponse OperatorApi::Status() const {
  Value value = Value::Mapping();
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    value.Add("revision",
              Value::Number(static_cast<std::int64_t>(state.revision())));
    value.Add("configuration_revision", Value::Number(static_cast<std::int64_t>(
                                            state.configuration_revision())));
    value.Add("live_jobs",
              Value::Number(static_cast<std::int64_t>(state.live_jobs())));
    Value suspended = Value::Sequence();
    for (const base::HostId& host : state.suspended_hosts())
      suspended.items.push_back(Value::Text(host.value()));
    value.Add("suspended_hosts", std::move(suspended));
    Value stopped = Value::Sequence();
    for (const auto& [host, revision] : state.stopped_hosts())
      stopped.items.push_back(Value::Text(host.value()));
    value.Add("stopped_hosts", std::move(stopped));
    value.Add(
        "queued_jobs",
        Value::Number(static_cast<std::int64_t>(state.queued_jobs().size())));
  });
  options_.add_status(value);
  return JsonResponse(200, value);
}

net::HttpResponse OperatorApi::Configuration() const {
  Value value = Value::Mapping();
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    value.Add("revision", Value::Number(static_cast<std::int64_t>(
                              state.configuration_revision())));
    value.Add("configuration",
              settings::ClusterConfigurationToValue(state.configuration()));
  });
  return JsonResponse(200, value);
}

net::HttpResponse OperatorApi::Domains() const {
  Value list = Value::Sequence();
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    for (const cluster::DomainConfiguration& domain :
         state.configuration().domains) {
      const cluster::DomainState status = state.domain(domain.id);
      Value value = Value::Mapping();
      value.Add("domain", Value::Text(domain.id.value()));
      value.Add("region", Value::Text(domain.region));
      value.Add("status",
                Value::Text(std::string(DomainStatusName(status.status))));
      value.Add("revision",
                Value::Number(static_cast<std::int64_t>(status.revision)));
      value.Add("assigned_jobs", Value::Number(static_cast<std::int64_t>(
                                     state.assigned_jobs(domain.id).size())));
      options_.add_domain(domain.id, value);
      list.items.push_back(std::move(value));
    }
  });
  Value value = Value::Mapping();
  value.Add("domains", std::move(list));
  return JsonResponse(200, value);
}

net::HttpResponse OperatorApi::Customers() const {
  if (!options_.placement->capacity())
    return AskAuthority(options_.domain);
  Value list = Value::Sequence();
  for (const placement::CustomerView& customer :
       options_.placement->customers())
    list.items.push_back(CustomerValue(customer));
  Value value = Value::Mapping();
  value.Add("customers", std::move(list));
  return JsonResponse(200, value);
}

net::HttpResponse OperatorApi::Workers() const {
  if (!options_.placement->capacity())
    return AskAuthority(options_.domain);
  Value list = Value::Sequence();
  for (const placement::WorkerView& worker : options_.placement->workers())
    list.items.push_back(WorkerValue(worker));
  Value value = Value::Mapping();
  value.Add("workers", std::move(list));
  return JsonResponse(200, value);
}

net::HttpResponse OperatorApi::Pending() const {
  const std::uint64_t revision = options_.cluster->revision();
  Value value = Value::Mapping();
  value.Add("revision", Value::Number(static_cast<std::int64_t>(revision)));
  value.Add("missing", MissingValue(revision));
  return JsonResponse(200, value);
}

net::HttpResponse OperatorApi::DrainPreview(
    const base::DomainId& domain) const {
  const auto preview = options_.placement->PreviewDrain();
  if (!preview || domain != options_.domain)
    return AskAuthority(domain);
  return JsonResponse(200, DrainPreviewValue(*preview));
}

net::HttpResponse OperatorApi::AskAuthority(
    const base::DomainId& domain) const {
  const std::string address = options_.authority_of(domain);
  if (address.empty()) {
    return Failure(base::ErrorCode::kUnavailable, "ask authority",
                   "no placement authority of failure domain " +
                       domain.value() + " is known; try again");
  }
  Value value = Value::Mapping();
  value.Add("authority", Value::Text(address));
  return JsonResponse(421, value);
}

}  // namespace wigeonstair::control
