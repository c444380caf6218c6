#include "standin/upstream_agent.h"

#include <utility>
#include <variant>

#include "settings/json.h"
#include "tools/percent_encoding.h"

namespace wigeonstair::standin {

namespace {

using settings::Value;

constexpr base::Duration kHeartbeat = std::chrono::seconds(1);
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(300);
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr int kSlowFactor = 20;

bool Hangs(UpstreamFault fault) {
  return fault == UpstreamFault::kHang || fault == UpstreamFault::kDie;
}

std::string Target(const net::HttpRequest& request) {
  return request.query.empty() ? request.path
                               : request.path + "?" + request.query;
}

net::HttpResponse NotRun(const std::string& request_id) {
  return {.status = 503,
          .headers = {{"Wigeonstair-Not-Run", "true"},
                      {"Wigeonstair-Request-Id", request_id}},
          .body = R"({"error":{"code":"resource_limit","detail":"no slot"}})"};
}

}  // namespace

UpstreamAgent::UpstreamAgent(UpstreamOptions options, Environment environment)
    : options_(std::move(options)), environment_(environment) {
  for (const std::string& entry : options_.entries)
    entries_.push_back({.address = entry});
}

base::Result<std::shared_ptr<UpstreamAgent>> UpstreamAgent::create(
    UpstreamOptions options,
    Environment environment) {
  std::shared_ptr<UpstreamAgent> agent(
      new UpstreamAgent(std::move(options), environment));
  TRY(agent->Open());
  return agent;
}

base::Result<std::monostate> UpstreamAgent::Open() {
  server_ = TRY(net::HttpServer::create(
      {.address = {.ip = options_.ip, .port = options_.port},
       .handler = [this](const net::HttpRequest& request,
                         const net::HttpResponder& respond) {
         OnRequest(request, respond);
       }}));
  address_ = server_->address().ToString();
  truncating_ =
      TRY(TruncatingServer::create(options_.ip, [this](const std::string& key) {
        environment_.executions.Add(key);
      }));
  return std::monostate();
}

bool UpstreamAgent::TakeSlot() {
  if (taken_slots_.fetch_add(1) < options_.slots)
    return true;
  taken_slots_.fetch_sub(1);
  return false;
}

void UpstreamAgent::OnRequest(const net::HttpRequest& request,
                              const net::HttpResponder& respond) {
  if (request.method == "GET" && request.path == "/executions") {
    respond({.status = 200,
             .headers = {},
             .body = settings::EmitJson(environment_.executions.ToValue(0))});
    return;
  }
  const UpstreamFault fault = fault_.load();
  if (fault == UpstreamFault::kLeave || !TakeSlot()) {
    refused_.fetch_add(1);
    respond(NotRun(std::string(
        net::HeaderValue(request.headers, "Wigeonstair-Request-Id"))));
    return;
  }
  base::Duration wait = options_.service_time;
  if (fault == UpstreamFault::kSlow)
    wait *= kSlowFactor;
  auto finish = [self = shared_from_this(), request, respond] {
    self->Execute(request, respond);
  };
  if (Hangs(fault))
    Hold(std::move(finish));
  else if (wait > base::Duration::zero())
    environment_.loop.Schedule(wait, std::move(finish));
  else
    finish();
}

void UpstreamAgent::Hold(std::function<void()> finish) {
  const std::lock_guard lock(mutex_);
  held_.push_back(std::move(finish));
}

void UpstreamAgent::ReleaseHeld() {
  std::vector<std::function<void()>> held;
  {
    const std::lock_guard lock(mutex_);
    held.swap(held_);
  }
  for (const auto& finish : held)
    finish();
}

void UpstreamAgent::Execute(const net::HttpRequest& request,
                            const net::HttpResponder& respond) {
  environment_.executions.Add(
      std::string(net::HeaderValue(request.headers, "Request-Key")));
  net::HttpResponse answer = BuildAnswer(request, fault_.load());
  answered_.fetch_add(1);
  // Before the answer: the caller may use the slot as soon as it has it.
  taken_slots_.fetch_sub(1);
  respond(std::move(answer));
}

net::HttpResponse UpstreamAgent::BuildAnswer(const net::HttpRequest& request,
                                             UpstreamFault fault) {
  std::string id(net::HeaderValue(request.headers, "Wigeonstair-Request-Id"));
  std::string body =
      EchoBody(options_.id, request.method, Target(request), request.body);
  {
    const std::lock_guard lock(mutex_);
    if (fault == UpstreamFault::kCrossed) {
      std::swap(id, last_request_id_);
      body = EchoBody(options_.id, "GET", "/another-request", "");
    } else {
      last_request_id_ = id;
    }
  }
  return {.status = fault == UpstreamFault::kFailEverything ? 500 : 200,
          .headers = {{"Wigeonstair-Request-Id", id},
                      {"Content-Type", "application/json"}},
          .body = std::move(body)};
}

void UpstreamAgent::SetFault(UpstreamFault fault,
                             std::optional<base::Duration> duration,
                             base::Instant now) {
  const UpstreamFault before = fault_.exchange(fault);
  fault_end_ = duration ? std::optional(now + *duration) : std::nullopt;
  if (Hangs(before) && !Hangs(fault))
    ReleaseHeld();
  if (fault == UpstreamFault::kLeave) {
    Leave();
    return;
  }
  const bool moves = (before == UpstreamFault::kTruncated) !=
                     (fault == UpstreamFault::kTruncated);
  if (moves || left_ || before == UpstreamFault::kDie) {
    // Announced again: with the address of the truncating listener, or after
    // it was gone.
    left_ = false;
    ++options_.incarnation;
    for (Entry& entry : entries_)
      entry = {.address = entry.address, .in_flight = entry.in_flight};
  }
}

void UpstreamAgent::Leave() {
  left_ = true;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Call(i, "POST",
         "/v1/upstreams/" + tools::PercentEncoded(options_.id) + "/leave",
         IncarnationBody());
  }
  ReleaseHeld();
}

void UpstreamAgent::Tick(base::Instant now) {
  if (fault_end_ && now >= *fault_end_)
    SetFault(UpstreamFault::kNone, std::nullopt, now);
  if (left_ || fault_.load() == UpstreamFault::kDie)
    return;
  const std::string path =
      "/v1/upstreams/" + tools::PercentEncoded(options_.id);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Entry& entry = entries_[i];
    if (entry.in_flight || now < entry.next_call)
      continue;
    entry.next_call = now + kHeartbeat;
    entry.in_flight = true;
    if (entry.announced)
      Call(i, "POST", path + "/heartbeat", IncarnationBody());
    else
      Call(i, "PUT", path, Announcement());
  }
}

void UpstreamAgent::Call(std::size_t entry,
                         const std::string& method,
                         const std::string& path,
                         const Value& body) {
  net::HttpCall call;
  call.method = method;
  call.address = entries_[entry].address;
  call.scheme = options_.entry_scheme;
  call.path = path;
  call.headers["Content-Type"] = "application/json";
  call.body = settings::EmitJson(body);
  call.timeout = kCallTimeout;
  calls_in_flight_.fetch_add(1);
  environment_.client.Send(std::move(call), [self = shared_from_this(),
                                             entry](net::HttpOutcome outcome) {
    self->environment_.loop.Post([self, entry, received = std::move(outcome)] {
      self->OnCallAnswer(entry, received);
      self->calls_in_flight_.fetch_sub(1);
    });
  });
}

void UpstreamAgent::OnCallAnswer(std::size_t index,
                                 const net::HttpOutcome& outcome) {
  Entry& entry = entries_[index];
  entry.in_flight = false;
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  const bool accepted = answer != nullptr && answer->response.status < 300;
  if (accepted && !entry.announced && !left_) {
    entry.announced = true;
    environment_.log.Info(base::EventNumber::kStandinRegistered,
                          {{"upstream", options_.id},
                           {"entry", entry.address},
                           {"address", address_}});
  }
  if (accepted)
    return;
  entry.announced = false;
  entry.next_call = base::MonotonicClock::now() + kRetryDelay;
  // Another process announced this id with a later incarnation.
  if (answer != nullptr && answer->response.status == 409)
    options_.incarnation = base::WallClockNow().count();
}

Value UpstreamAgent::Announcement() const {
  const bool truncated = fault_.load() == UpstreamFault::kTruncated;
  return Value::Mapping()
      .Add("service", Value::Text(options_.service))
      .Add("domain", Value::Text(options_.domain))
      .Add("address",
           Value::Text(truncated ? truncating_->address() : address_))
      .Add("slots", Value::Number(options_.slots))
      .Add("connections", Value::Number(options_.connections))
      .Add("incarnation", Value::Number(options_.incarnation));
}

Value UpstreamAgent::IncarnationBody() const {
  return Value::Mapping().Add("incarnation",
                              Value::Number(options_.incarnation));
}

Value UpstreamAgent::Status() const {
  std::int64_t announced = 0;
  for (const Entry& entry : entries_)
    announced += entry.announced ? 1 : 0;
  return Value::Mapping()
      .Add("id", Value::Text(options_.id))
      .Add("address", Value::Text(address_))
      .Add("announced_to", Value::Number(announced))
      .Add("taken_slots", Value::Number(taken_slots_.load()))
      .Add("answered", Value::Number(answered_.load()))
      .Add("refused", Value::Number(refused_.load()));
}

}  // namespace wigeonstair::standin
