#include "standin/worker_agent.h"

#include <utility>
#include <variant>

#include "settings/json.h"
#include "settings/object_reader.h"
#include "tools/json_view.h"
#include "tools/percent_encoding.h"

namespace wigeonstair::standin {

namespace {

// Beyond the time for which the answer may be held.
constexpr base::Duration kCallTimeout = std::chrono::seconds(2);
// One that the authority holds, and one with news.
constexpr int kOpenCalls = 2;
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(300);
constexpr base::Duration kLongLag = std::chrono::seconds(30);
constexpr base::Instant kForever = base::Instant::max();

}  // namespace

std::optional<WorkerFault> ParseWorkerFault(std::string_view name) {
  if (name == "none")
    return WorkerFault::kNone;
  if (name == "fail")
    return WorkerFault::kFailEverything;
  if (name == "lag")
    return WorkerFault::kLagUsage;
  if (name == "freeze")
    return WorkerFault::kFreeze;
  if (name == "vanish")
    return WorkerFault::kVanish;
  return std::nullopt;
}

WorkerAgent::WorkerAgent(Options options,
                         net::HttpClient& client,
                         net::EventLoop& loop,
                         base::EventLog& log)
    : options_(std::move(options)),
      client_(client),
      loop_(loop),
      log_(log),
      model_(options_.worker),
      server_(options_.servers.front()) {}

bool WorkerAgent::IsAbsent(base::Instant now) const {
  return absent_until_ && now < *absent_until_;
}

void WorkerAgent::Stop(base::Instant now) {
  if (std::exchange(stopped_, true) || !registered_ || open_calls_ == 0 ||
      IsAbsent(now))
    return;
  Send("POST", ReportPath(), model_.NextReport(now));
}

std::string WorkerAgent::WorkerPath() const {
  return "/v1/workers/" + tools::PercentEncoded(options_.worker.id);
}

std::string WorkerAgent::ReportPath() const {
  return WorkerPath() + "/report";
}

void WorkerAgent::Tick(base::Instant now) {
  if (stopped_ || IsAbsent(now))
    return;
  if (absent_until_)
    EndAbsence(now);
  model_.Advance(now);
  if (!registered_) {
    if (now >= next_call_ && open_calls_ == 0)
      Send("PUT", WorkerPath(), model_.Registration());
    return;
  }
  const bool due = now >= next_call_ && open_calls_ == 0;
  if (due || (model_.HasNews() && open_calls_ < kOpenCalls)) {
    next_call_ = now + report_interval_;
    Send("POST", ReportPath(), model_.NextReport(now, wait_));
  }
}

void WorkerAgent::SetFault(WorkerFault fault,
                           std::optional<base::Duration> duration,
                           base::Instant now) {
  fault_ = fault;
  model_.set_fault(fault == WorkerFault::kFailEverything
                       ? TaskFault::kFailEverything
                       : TaskFault::kNone);
  model_.set_usage_lag(
      fault == WorkerFault::kLagUsage ? kLongLag : options_.worker.usage_lag);
  if (fault == WorkerFault::kFreeze || fault == WorkerFault::kVanish)
    absent_until_ = duration ? now + *duration : kForever;
  else if (absent_until_)
    absent_until_ = now;
  if (fault == WorkerFault::kVanish) {
    // A restarted worker has no tasks and counts as another one.
    WorkerOptions worker = model_.options();
    ++worker.incarnation;
    model_ = WorkerModel(std::move(worker));
    RegisterAnew(now);
  }
}

void WorkerAgent::EndAbsence(base::Instant now) {
  absent_until_.reset();
  next_call_ = now;
  if (fault_ == WorkerFault::kFreeze || fault_ == WorkerFault::kVanish)
    fault_ = WorkerFault::kNone;
  for (const auto& handle : std::exchange(held_answers_, {}))
    handle();
}

void WorkerAgent::Send(std::string method,
                       std::string path,
                       const settings::Value& body) {
  net::HttpCall call;
  call.method = std::move(method);
  call.address = server_;
  call.scheme = options_.scheme;
  call.path = std::move(path);
  call.headers["Content-Type"] = "application/json";
  call.body = settings::EmitJson(body);
  call.timeout = kCallTimeout + (registered_ ? wait_ : base::Duration::zero());
  ++in_flight_;
  ++open_calls_;
  const Call sent{.generation = generation_,
                  .sequence = model_.sequence(),
                  .sent_at = base::MonotonicClock::now()};
  client_.Send(std::move(call),
               [self = shared_from_this(), sent](net::HttpOutcome outcome) {
                 self->loop_.Post([self, sent, received = std::move(outcome)] {
                   const auto handle = [self, sent, received] {
                     --self->in_flight_;
                     if (sent.generation != self->generation_)
                       return;
                     --self->open_calls_;
                     self->Handle(received, sent);
                   };
                   if (self->IsAbsent(base::MonotonicClock::now()) &&
                       self->fault_ == WorkerFault::kFreeze) {
                     self->held_answers_.emplace_back(handle);
                   } else {
                     handle();
                   }
                 });
               });
}

void WorkerAgent::Handle(const net::HttpOutcome& outcome, const Call& call) {
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  if (answer == nullptr)
    TryNextServer(base::MonotonicClock::now());
  else
    HandleAnswer(answer->response, call);
}

void WorkerAgent::HandleAnswer(const net::HttpResponse& response,
                               const Call& call) {
  const base::Instant now = base::MonotonicClock::now();
  if (response.status >= 200 && response.status < 300) {
    HandleBody(response.body, call);
    return;
  }
  if (response.status == 404 && registered_) {
    RegisterAnew(now);
    return;
  }
  if (response.status == 421) {
    const auto body = base::Capture([&response] {
      return settings::ParseJson(response.body, "answer of the server");
    });
    if (const auto* value = std::get_if<settings::Value>(&body)) {
      const std::string authority = tools::TextOf(*value, "authority");
      if (settings::IsAddress(authority) && authority != server_) {
        server_ = authority;
        RegisterAnew(now);
        return;
      }
    }
  }
  TryNextServer(now);
}

void WorkerAgent::HandleBody(const std::string& body, const Call& call) {
  const base::Instant now = base::MonotonicClock::now();
  if (registered_) {
    const auto answer =
        base::Capture([&body] { return DecodeReportAnswer(body); });
    if (const auto* good = std::get_if<ReportAnswer>(&answer))
      HandleReportAnswer(*good, call);
    else
      TryNextServer(now);
    return;
  }
  const auto answer =
      base::Capture([&body] { return DecodeRegistrationAnswer(body); });
  const auto* good = std::get_if<RegistrationAnswer>(&answer);
  if (good == nullptr) {
    TryNextServer(now);
    return;
  }
  model_.OnRegistered(*good);
  registered_ = true;
  if (good->report_interval > base::Duration::zero())
    report_interval_ = good->report_interval;
  wait_ = good->wait;
  next_call_ = now;
  log_.Info(base::EventNumber::kStandinRegistered,
            {{"worker", options_.worker.id},
             {"server", server_},
             {"epoch", good->epoch}});
}

void WorkerAgent::HandleReportAnswer(const ReportAnswer& answer,
                                     const Call& call) {
  const base::Instant now = base::MonotonicClock::now();
  // An answer of an authority that was replaced counts as lost.
  if (answer.epoch >= model_.epoch())
    model_.MarkAnswered(call.sequence);
  model_.OnReportAnswer(answer, call.sent_at, now);
  wait_ = answer.wait;
  // The answer to a report that a newer one replaced schedules nothing.
  if (answer.report_after && call.sequence == model_.sequence())
    next_call_ = now + *answer.report_after;
}

void WorkerAgent::RegisterAnew(base::Instant at) {
  registered_ = false;
  ++generation_;
  open_calls_ = 0;
  next_call_ = at;
}

void WorkerAgent::TryNextServer(base::Instant now) {
  RegisterAnew(now + kRetryDelay);
  next_server_ = (next_server_ + 1) % options_.servers.size();
  server_ = options_.servers[next_server_];
  if (next_server_ == 0) {
    log_.Write(base::LogLevel::kDebug, base::EventNumber::kStandinRefused,
               {{"worker", options_.worker.id}});
  }
}

}  // namespace wigeonstair::standin
