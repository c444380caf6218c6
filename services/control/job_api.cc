#include "services/control/job_api.h"

#include <utility>

#include "cluster/job_feasibility.h"
#include "services/control/json_views.h"
#include "settings/json.h"
#include "settings/object_reader.h"

namespace wigeonstair::control {

namespace {

using settings::ObjectReader;
using settings::Value;

constexpr std::size_t kListedJobs = 1000;
constexpr std::int64_t kMaximumRunMilliseconds =
    std::int64_t{365} * 24 * 3600 * 1000;
constexpr std::size_t kPayloadLimitBytes = 64 * 1024;

net::HttpResponse NotFound(const base::JobId& job) {
  return net::ErrorResponse(404, {.code = base::ErrorCode::kNotFound,
                                  .step = "find job",
                                  .peer = {},
                                  .detail = "there is no job " + job.value()});
}

net::HttpResponse MethodNotAllowed(const net::HttpRequest& request) {
  return net::ErrorResponse(405, {.code = base::ErrorCode::kInvalidArgument,
                                  .step = request.method + " " + request.path,
                                  .peer = {},
                                  .detail = "the method is not allowed here"});
}

// The answer to a submission or cancellation.
net::HttpResponse ReplyResponse(const CommandOutcome& outcome,
                                int accepted_status) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return net::ErrorResponse(net::StatusOf(error->code), *error);
  const auto& reply = std::get<cluster::CommandReply>(outcome);
  base::Error error{.code = base::ErrorCode::kInvalidArgument,
                    .step = "change job",
                    .peer = {},
                    .detail = reply.detail};
  switch (reply.result) {
    case cluster::CommandResult::kAccepted: {
      Value value = Value::Mapping();
      value.Add("job", Value::Text(reply.job.value()));
      value.Add("state", Value::Text("accepted"));
      return JsonResponse(accepted_status, value);
    }
    case cluster::CommandResult::kConflict:
      error.code = base::ErrorCode::kConflict;
      return net::ErrorResponse(409, error);
    case cluster::CommandResult::kNotFound:
      error.code = base::ErrorCode::kNotFound;
      return net::ErrorResponse(404, error);
    case cluster::CommandResult::kTableFull:
      error.code = base::ErrorCode::kResourceLimit;
      return net::ErrorResponse(429, error);
    case cluster::CommandResult::kInvalid:
      break;
  }
  return net::ErrorResponse(400, error);
}

void ReadShape(ObjectReader& reader, cluster::JobSpecification& job) {
  using cluster::CellLevel;
  job.tasks = static_cast<int>(
      reader.IntegerOr("tasks", {.minimum = 1, .maximum = 4096}, 1));
  job.accelerators_per_task = static_cast<int>(reader.IntegerOr(
      "accelerators_per_task", {.minimum = 0, .maximum = 64}, 0));
  job.cores_per_task = static_cast<int>(
      reader.IntegerOr("cores_per_task", {.minimum = 0, .maximum = 4096}, 1));
  job.memory_megabytes_per_task = static_cast<int>(reader.IntegerOr(
      "memory_mb_per_task", {.minimum = 0, .maximum = 64 * 1024 * 1024}, 256));
  job.adjacency = reader.Choice<CellLevel>("adjacency",
                                           {{"anywhere", CellLevel::kDomain},
                                            {"domain", CellLevel::kDomain},
                                            {"rack", CellLevel::kRack},
                                            {"worker", CellLevel::kWorker}},
                                           CellLevel::kDomain);
  job.fallback = reader.Choice<cluster::AdjacencyFallback>(
      "fallback",
      {{"wait", cluster::AdjacencyFallback::kWait},
       {"anywhere", cluster::AdjacencyFallback::kAnywhere}},
      cluster::AdjacencyFallback::kWait);
}

}  // namespace

base::Result<cluster::SubmitJob> ParseSubmission(std::string_view body) {
  const Value value = TRY(settings::ParseJson(body, "job"));
  settings::Faults faults;
  ObjectReader reader(value, "", faults);
  cluster::SubmitJob command;
  command.operation = reader.Id("operation");
  cluster::JobSpecification& job = command.specification;
  const std::string id = reader.TextOr("job", command.operation);
  if (!settings::IsId(id))
    reader.AddFault("job", "must be 1 to 64 letters, digits, '.', '_' or '-'");
  job.id = base::JobId(id);
  job.customer = base::CustomerId(reader.Id("customer"));
  job.job_class = reader.TextOr("class", "default");
  ReadShape(reader, job);
  job.declared_run_milliseconds = reader.IntegerOr(
      "run_ms", {.minimum = 0, .maximum = kMaximumRunMilliseconds}, 0);
  job.urgency =
      reader.Choice<cluster::Urgency>("urgency",
                                      {{"normal", cluster::Urgency::kNormal},
                                       {"urgent", cluster::Urgency::kUrgent}},
                                      cluster::Urgency::kNormal);
  for (std::string& domain : reader.Ids("domains"))
    job.allowed_domains.emplace_back(std::move(domain));
  job.payload = reader.TextOr("payload", {});
  if (job.payload.size() > kPayloadLimitBytes)
    reader.AddFault("payload", "must not be longer than 64 KiB");
  reader.Finish();
  if (!faults.empty())
    return base::Fail(settings::FaultsError("read job", {}, faults));
  return command;
}

JobApi::JobApi(ClusterAccess& access,
               const ReplicatedCluster& cluster,
               const PlacementController& placement,
               std::function<std::string(const base::DomainId&)> authority_of)
    : access_(access),
      cluster_(cluster),
      placement_(placement),
      authority_of_(std::move(authority_of)) {}

void JobApi::Handle(const net::HttpRequest& request,
                    std::string_view path,
                    net::HttpResponder respond) {
  if (path.empty()) {
    if (request.method == "POST")
      return Submit(request, std::move(respond));
    if (request.method == "GET")
      return respond(List(request));
    return respond(MethodNotAllowed(request));
  }
  path.remove_prefix(1);
  constexpr std::string_view kExplain = "/explain";
  if (path.ends_with(kExplain) && request.method == "GET") {
    path.remove_suffix(kExplain.size());
    return respond(Explain(base::JobId(std::string(path))));
  }
  const base::JobId job{std::string(path)};
  if (request.method == "GET")
    return respond(Show(job));
  if (request.method == "DELETE")
    return Cancel(request, job, std::move(respond));
  respond(MethodNotAllowed(request));
}

void JobApi::Submit(const net::HttpRequest& request,
                    net::HttpResponder respond) {
  auto parsed = base::Capture([&] { return ParseSubmission(request.body); });
  if (const auto* error = std::get_if<base::Error>(&parsed))
    return respond(net::ErrorResponse(net::StatusOf(error->code), *error));
  auto command = std::get<cluster::SubmitJob>(std::move(parsed));
  command.time_milliseconds = base::WallClockNow().count();
  // A resend of an accepted job must not be refused because the configuration
  // has changed since.
  const std::string infeasible =
      cluster_.Read([&](const cluster::ClusterState& state) {
        return state.jobs().contains(command.specification.id)
                   ? std::string()
                   : cluster::FindInfeasibility(state.configuration(),
                                                command.specification);
      });
  if (!infeasible.empty()) {
    return respond(net::ErrorResponse(
        422, {.code = base::ErrorCode::kInvalidArgument,
              .step = "submit job",
              .peer = {},
              .detail = "the job can never run: " + infeasible}));
  }
  access_.Propose(std::move(command), [respond = std::move(respond)](
                                          const CommandOutcome& outcome) {
    respond(ReplyResponse(outcome, 201));
  });
}

void JobApi::Cancel(const net::HttpRequest& request,
                    const base::JobId& job,
                    net::HttpResponder respond) {
  const auto query = net::ParseQuery(request.query);
  const auto operation = query.find("operation");
  if (operation == query.end() || !settings::IsId(operation->second)) {
    return respond(
        net::ErrorResponse(400, {.code = base::ErrorCode::kInvalidArgument,
                                 .step = "cancel job",
                                 .peer = {},
                                 .detail = "the query needs operation=ID"}));
  }
  access_.Propose(
      cluster::CancelJob{.operation = operation->second, .job = job},
      [respond = std::move(respond)](const CommandOutcome& outcome) {
        respond(ReplyResponse(outcome, 200));
      });
}

net::HttpResponse JobApi::List(const net::HttpRequest& request) const {
  const auto query = net::ParseQuery(request.query);
  const auto customer = query.find("customer");
  const auto wanted = query.find("state");
  Value list = Value::Sequence();
  cluster_.Read([&](const cluster::ClusterState& state) {
    for (const auto& [id, job] : state.jobs()) {
      if (list.items.size() >= kListedJobs)
        return;
      if (customer != query.end() &&
          job.specification.customer.value() != customer->second)
        continue;
      if (wanted != query.end() && JobPhaseName(job) != wanted->second)
        continue;
      list.items.push_back(JobValue(job));
    }
  });
  Value value = Value::Mapping();
  value.Add("jobs", std::move(list));
  return JsonResponse(200, value);
}

net::HttpResponse JobApi::Show(const base::JobId& job) const {
  return cluster_.Read([&](const cluster::ClusterState& state) {
    const auto found = state.jobs().find(job);
    return found == state.jobs().end()
               ? NotFound(job)
               : JsonResponse(200, JobValue(found->second));
  });
}

net::HttpResponse JobApi::Explain(const base::JobId& job) const {
  Value value = Value::Mapping();
  base::DomainId domain;
  const bool known = cluster_.Read([&](const cluster::ClusterState& state) {
    const auto found = state.jobs().find(job);
    if (found == state.jobs().end())
      return false;
    value.Add("job", JobValue(found->second));
    domain = found->second.domain;
    return true;
  });
  if (!known)
    return NotFound(job);
  if (const auto explanation = placement_.Explain(job)) {
    value.Add("placement",
              ExplanationValue(*explanation, base::MonotonicClock::now()));
    return JsonResponse(200, value);
  }
  // Only the authority of the job's domain knows more.
  const std::string authority =
      domain.empty() ? std::string() : authority_of_(domain);
  if (authority.empty())
    return JsonResponse(200, value);
  Value elsewhere = Value::Mapping();
  elsewhere.Add("authority", Value::Text(authority));
  return JsonResponse(421, elsewhere);
}

}  // namespace wigeonstair::control
