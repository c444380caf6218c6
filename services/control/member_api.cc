#include "services/control/member_api.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "services/control/json_views.h"
#include "settings/json.h"
#include "settings/object_reader.h"

namespace wigeonstair::control {

namespace {

using settings::Value;

// A new voter has to receive the snapshot first.
constexpr base::Duration kChangeTimeout = std::chrono::seconds(30);

enum class Action { kAdd, kRemove };

struct Request {
  Action action = Action::kAdd;
  base::HostId host;
};

base::Result<Request> ParseRequest(std::string_view body) {
  const Value value = TRY(settings::ParseJson(body, "member change"));
  settings::Faults faults;
  settings::ObjectReader reader(value, "", faults);
  Request request;
  reader.Id("operation");
  request.action = reader.Choice<Action>(
      "action", {{"add", Action::kAdd}, {"remove", Action::kRemove}});
  request.host = base::HostId(reader.Id("host"));
  reader.Finish();
  if (!faults.empty())
    return base::Fail(settings::FaultsError("read member change", {}, faults));
  return request;
}

base::Result<consensus::MemberChange> MakeChange(
    const Request& request,
    const MemberChangeTargets& targets) {
  if (request.action == Action::kRemove) {
    return consensus::MemberChange{.kind = consensus::MemberChangeKind::kRemove,
                                   .host = request.host};
  }
  const auto host =
      std::find_if(targets.hosts.begin(), targets.hosts.end(),
                   [&](const cluster::HostConfiguration& candidate) {
                     return candidate.id == request.host;
                   });
  if (host == targets.hosts.end()) {
    return base::Fail(base::ErrorCode::kNotFound, "change members",
                      request.host.value(),
                      "the configuration has no such host; add it there first");
  }
  return consensus::MemberChange{
      .kind = host->storage == cluster::HostStorage::kDisk
                  ? consensus::MemberChangeKind::kAddVoter
                  : consensus::MemberChangeKind::kAddLearner,
      .host = host->id,
      .address = host->control_messages};
}

net::HttpResponse MembersResponse(const consensus::MemberList& members) {
  Value list = Value::Sequence();
  for (const consensus::Member& member : members) {
    Value entry = Value::Mapping();
    entry.Add("host", Value::Text(member.host.value()));
    entry.Add("role", Value::Text(member.role == consensus::MemberRole::kVoter
                                      ? "voter"
                                      : "learner"));
    list.items.push_back(std::move(entry));
  }
  Value value = Value::Mapping();
  value.Add("members", std::move(list));
  return JsonResponse(200, value);
}

net::HttpResponse OutcomeResponse(const consensus::ChangeOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return net::ErrorResponse(net::StatusOf(error->code), *error);
  return MembersResponse(std::get<consensus::MemberList>(outcome));
}

}  // namespace

void HandleMemberChange(const net::HttpRequest& request,
                        const MemberChangeTargets& targets,
                        net::HttpResponder respond) {
  const auto parsed =
      base::Capture([&]() -> base::Result<consensus::MemberChange> {
        return MakeChange(TRY(ParseRequest(request.body)), targets);
      });
  if (const auto* error = std::get_if<base::Error>(&parsed))
    return respond(net::ErrorResponse(net::StatusOf(error->code), *error));
  const auto change = std::get<consensus::MemberChange>(parsed);
  if (targets.records_replica == nullptr) {
    return respond(net::ErrorResponse(
        503, {.code = base::ErrorCode::kUnavailable,
              .step = "change members",
              .peer = {},
              .detail = "this host has no disk and no replica of the request "
                        "records; ask a host with a disk"}));
  }
  targets.cluster_replica->ChangeMembers(
      change, kChangeTimeout,
      [change, records = targets.records_replica,
       respond = std::move(respond)](const consensus::ChangeOutcome& outcome) {
        // A learner of the cluster group has no part in the records.
        if (std::holds_alternative<base::Error>(outcome) ||
            change.kind == consensus::MemberChangeKind::kAddLearner)
          return respond(OutcomeResponse(outcome));
        records->ChangeMembers(
            change, kChangeTimeout,
            [respond](const consensus::ChangeOutcome& records_outcome) {
              respond(OutcomeResponse(records_outcome));
            });
      });
}

}  // namespace wigeonstair::control
