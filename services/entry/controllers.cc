#include "services/entry/controllers.h"

#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/result.h"
#include "services/entry/gate_pump.h"

namespace wigeonstair::entry {

namespace {

constexpr int kHeartbeatMilliseconds = 1000;

net::HttpResponse Ok(std::string body) {
  return {.status = 200,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

net::HttpResponse Conflict(const base::UpstreamId& id, std::string detail) {
  return net::ErrorResponse(net::StatusOf(base::ErrorCode::kConflict),
                            {.code = base::ErrorCode::kConflict,
                             .step = "upstream call",
                             .peer = id.value(),
                             .detail = std::move(detail)});
}

net::HttpResponse Answer(routing::HeartbeatResult result,
                         const base::UpstreamId& id) {
  switch (result) {
    case routing::HeartbeatResult::kAccepted:
      return Ok(R"({"heartbeat_ms":)" + std::to_string(kHeartbeatMilliseconds) +
                "}");
    case routing::HeartbeatResult::kOutdated:
      return Conflict(id, "a higher incarnation is known");
    case routing::HeartbeatResult::kAnnounceAgain:
      break;
  }
  return net::ErrorResponse(404, {.code = base::ErrorCode::kNotFound,
                                  .step = "upstream call",
                                  .peer = id.value(),
                                  .detail = "announce the upstream first"});
}

const char* StateName(routing::UpstreamState state) {
  switch (state) {
    case routing::UpstreamState::kAlive:
      return "alive";
    case routing::UpstreamState::kSuspect:
      return "suspect";
    case routing::UpstreamState::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace

Controllers::Controllers(ControllerOptions options,
                         UpstreamDirectory& directory,
                         EntryPeers& peers,
                         ClusterFeed& feed)
    : options_(std::move(options)),
      directory_(directory),
      peers_(peers),
      feed_(feed),
      share_({.self = options_.host,
              .settle_time = options_.settle_time,
              .domain_hosts = options_.domain_hosts}),
      builder_({.own_domain = options_.domain,
                .health = options_.health,
                .gate = options_.gate}) {}

std::unique_ptr<const routing::Snapshot> Controllers::InitialSnapshot(
    base::Instant now) {
  const std::lock_guard lock(mutex_);
  return Build(now);
}

std::unique_ptr<const routing::Snapshot> Controllers::Build(base::Instant now) {
  share_.Update(peers_.LiveHosts(), now, peers_.Reach());
  const std::vector<routing::KnownUpstream> upstreams = directory_.Upstreams();
  if (blackboard_ != nullptr)
    LogChanges(upstreams);
  return builder_.Build(upstreams, share_, feed_.Latest(),
                        peers_.RemoteServices(), now);
}

void Controllers::LogChanges(
    const std::vector<routing::KnownUpstream>& upstreams) {
  std::map<base::UpstreamId, routing::UpstreamState> states;
  for (const routing::KnownUpstream& upstream : upstreams) {
    const routing::Announcement& announcement = upstream.announcement;
    states[announcement.id] = upstream.state;
    const auto before = logged_states_.find(announcement.id);
    if (before != logged_states_.end() && before->second == upstream.state)
      continue;
    blackboard_->log.Info(upstream.state == routing::UpstreamState::kAlive
                              ? base::EventNumber::kUpstreamAnnounced
                              : base::EventNumber::kUpstreamLeft,
                          {{"upstream", announcement.id.value()},
                           {"service", announcement.service},
                           {"address", announcement.address},
                           {"incarnation", announcement.incarnation},
                           {"state", StateName(upstream.state)}});
  }
  logged_states_ = std::move(states);
}

void Controllers::Publish(base::Instant now) {
  blackboard_->snapshots.Publish(Build(now));
  const bool settled = share_.Settled(now);
  if (settled && !share_settled_) {
    blackboard_->log.Info(base::EventNumber::kShareChanged,
                          {{"entry_hosts", peers_.LiveHosts().size() + 1}});
  }
  share_settled_ = settled;
}

void Controllers::Tick() {
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = blackboard_->clock.Now();
    directory_.Tick(now);
    Publish(now);
  }
  PumpGates();
}

// Runs without the lock because a resumed request may finish inside this call.
void Controllers::PumpGates() {
  std::vector<std::pair<std::string, std::shared_ptr<routing::ServiceGate>>>
      gates;
  {
    const auto snapshot = blackboard_->snapshots.Read();
    for (const auto& [service, entry] : snapshot->services)
      gates.emplace_back(service, entry.gate);
  }
  for (const auto& [service, gate] : gates) {
    gate->limit().Evaluate();
    gate->answer_times().Evaluate();
    blackboard_->counters
        .gauge("wigeonstair_concurrency_limit{service=\"" + service + "\"}")
        .Set(gate->limit().limit());
    PumpGate(*blackboard_, *gate, service);
  }
}

net::HttpResponse Controllers::HandleUpstream(const net::HttpRequest& request) {
  const auto parsed = base::Capture([&] { return ParseUpstreamCall(request); });
  if (const auto* error = std::get_if<base::Error>(&parsed)) {
    constexpr int kMethodNotAllowed = 405;
    const int status = error->code == base::ErrorCode::kPermissionDenied
                           ? kMethodNotAllowed
                           : net::StatusOf(error->code);
    return net::ErrorResponse(status, *error);
  }
  const std::lock_guard lock(mutex_);
  const base::Instant now = blackboard_->clock.Now();
  net::HttpResponse response =
      std::visit([&](const auto& call) { return Handle(call, now); },
                 std::get<UpstreamCall>(parsed));
  // The effect of a heartbeat can wait for the next tick.
  if (!std::holds_alternative<HeartbeatCall>(std::get<UpstreamCall>(parsed)))
    Publish(now);
  return response;
}

net::HttpResponse Controllers::Handle(const AnnounceCall& call,
                                      base::Instant now) {
  const auto accepted = base::Capture(
      [&] { return directory_.Announce(call.announcement, now); });
  if (const auto* error = std::get_if<base::Error>(&accepted)) {
    blackboard_->log.Warning(base::EventNumber::kUpstreamRefusedCall,
                             {{"upstream", call.announcement.id.value()},
                              {"detail", error->detail}});
    return net::ErrorResponse(net::StatusOf(error->code), *error);
  }
  return Ok(R"({"heartbeat_ms":)" + std::to_string(kHeartbeatMilliseconds) +
            R"(,"accepted_incarnation":)" +
            std::to_string(std::get<std::uint64_t>(accepted)) + "}");
}

net::HttpResponse Controllers::Handle(const HeartbeatCall& call,
                                      base::Instant now) {
  return Answer(directory_.Heartbeat(call.id, call.incarnation, now), call.id);
}

net::HttpResponse Controllers::Handle(const LeaveCall& call,
                                      base::Instant now) {
  return Answer(directory_.Leave(call.id, call.incarnation, now), call.id);
}

std::string Controllers::StatusJson() {
  const std::lock_guard lock(mutex_);
  const base::Instant now = blackboard_->clock.Now();
  // Names contain only characters that need no escaping in JSON.
  std::string body =
      R"({"host":")" + options_.host.value() + R"(","domain":")" +
      options_.domain.value() + R"(","draining":)" +
      (blackboard_->draining ? "true" : "false") + R"(,"revision":)" +
      std::to_string(feed_.Latest().revision) + R"(,"requests_in_progress":)" +
      std::to_string(blackboard_->in_progress.load()) + R"(,"entry_hosts":)" +
      std::to_string(peers_.LiveHosts().size() + 1) + R"(,"upstreams":[)";
  bool first = true;
  for (const routing::KnownUpstream& known : directory_.Upstreams()) {
    const routing::Announcement& announcement = known.announcement;
    body +=
        std::string(first ? "" : ",") + R"({"id":")" + announcement.id.value() +
        R"(","service":")" + announcement.service + R"(","address":")" +
        announcement.address + R"(","state":")" + StateName(known.state) +
        R"(","incarnation":)" + std::to_string(announcement.incarnation) +
        R"(,"share":)" +
        std::to_string(share_.Share(announcement.slots, announcement.id, now)) +
        "}";
    first = false;
  }
  return body + "]}";
}

}  // namespace wigeonstair::entry
