#include "services/entry/entry_process.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "base/monotonic_clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/message_server.h"
#include "records/codec.h"
#include "records/record_table.h"

namespace wigeonstair::entry {

namespace {

template <typename T>
T Value(std::variant<T, base::Error> outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    FAIL(error->ToString());
  return std::get<0>(std::move(outcome));
}

// A control process that only serves request records.
class FakeControlProcess {
 public:
  explicit FakeControlProcess(net::EventLoop& loop)
      : server_(Value(base::Capture([&] {
          return net::MessageServer::create(
              loop,
              {.address = {.ip = "127.0.0.1"},
               .cluster = "test",
               .handler = [this](net::MessageType type, const std::string& body,
                                 const net::MessageReply& reply) {
                 Handle(type, body, reply);
               }});
        }))) {}

  std::string address() const { return server_->address().ToString(); }

 private:
  void Handle(net::MessageType type,
              const std::string& body,
              const net::MessageReply& reply) {
    records::RecordReply answer;
    answer.status = records::ReplyStatus::kCommitted;
    if (type == records::kProposeMessage) {
      answer.answer = Value(base::Capture(
          [&] { return records::DecodeAnswer(table_.ApplyEncoded(body)); }));
    } else if (type == records::kQueryMessage) {
      answer.answer = table_.Query(
          Value(base::Capture([&] { return records::DecodeQuery(body); })).key);
    } else {
      return;
    }
    reply(records::Encode(answer));
  }

  records::RecordTable table_;
  std::unique_ptr<net::MessageServer> server_;
};

// An upstream that answers with the request's path, and holds back the answer
// to "/held" until it is released.
class HoldingUpstream {
 public:
  HoldingUpstream()
      : server_(Value(base::Capture([&] {
          return net::HttpServer::create(
              {.address = {.ip = "127.0.0.1"},
               .handler = [this](const net::HttpRequest& request,
                                 const net::HttpResponder& responder) {
                 Handle(request, responder);
               }});
        }))) {}

  std::string address() const { return server_->address().ToString(); }

  void WaitUntilHeld() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return held_ != nullptr; });
  }
  void Release() {
    net::HttpResponder responder;
    {
      const std::lock_guard lock(mutex_);
      responder = std::move(held_);
    }
    responder(answer_);
  }

 private:
  void Handle(const net::HttpRequest& request,
              const net::HttpResponder& responder) {
    net::HttpResponse answer{.status = 200, .body = request.path};
    answer.headers["Wigeonstair-Request-Id"] =
        net::HeaderValue(request.headers, "Wigeonstair-Request-Id");
    if (request.path != "/held")
      return responder(answer);
    const std::lock_guard lock(mutex_);
    held_ = responder;
    answer_ = answer;
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  net::HttpResponder held_;
  net::HttpResponse answer_;
  std::unique_ptr<net::HttpServer> server_;
};

settings::ProcessSettings Settings(const std::string& control) {
  settings::ProcessSettings settings;
  settings.cluster = "test";
  settings.host = base::HostId("h1");
  settings.domain = base::DomainId("d1");
  settings.http = "127.0.0.1:0";
  settings.messages = "127.0.0.1:0";
  settings.log_level = base::LogLevel::kError;
  settings.hosts.push_back({.id = settings.host,
                            .domain = settings.domain,
                            .control_messages = control,
                            .entry_http = "127.0.0.1:1"});
  return settings;
}

net::HttpCall Call(const EntryProcess& process,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body = {}) {
  net::HttpCall call{.method = method,
                     .address = process.address().ToString(),
                     .path = path,
                     .headers = {{"Wigeonstair-Customer", "c1"},
                                 {"Wigeonstair-Deadline-Ms", "20000"}},
                     .body = body,
                     .timeout = std::chrono::seconds(30)};
  if (method == "POST") {
    call.headers["Request-Key"] = "key-00001";
    call.headers["Request-Issued"] =
        std::to_string(base::WallClockNow().count());
  }
  return call;
}

net::HttpResponse Answer(const net::HttpOutcome& outcome) {
  REQUIRE(std::holds_alternative<net::HttpAnswer>(outcome));
  return std::get<net::HttpAnswer>(outcome).response;
}

}  // namespace

// Guards against integration faults over real sockets: announcement, idempotent
// and non-idempotent requests, and a drain that completes a request in progress
// and refuses new ones as not run.
TEST_CASE("an entry process serves callers and drains") {
  net::EventLoop loop;
  FakeControlProcess control(loop);
  HoldingUpstream upstream;
  const auto process = Value(base::Capture(
      [&] { return EntryProcess::create(Settings(control.address())); }));
  net::HttpClient client;
  const std::string announcement =
      R"({"service":"s","domain":"d1","slots":8,"connections":64,)"
      R"("incarnation":1,"address":")" +
      upstream.address() + "\"}";
  CHECK(Answer(client.SendAndWait(
                   Call(*process, "PUT", "/v1/upstreams/u1", announcement)))
            .status == 200);

  const net::HttpResponse first =
      Answer(client.SendAndWait(Call(*process, "GET", "/v1/services/s/a%20b")));
  CHECK(first.status == 200);
  CHECK(first.body == "/a b");

  const net::HttpCall credit =
      Call(*process, "POST", "/v1/services/s/credit", "x");
  CHECK(Answer(client.SendAndWait(credit)).body == "/credit");
  const net::HttpResponse resend = Answer(client.SendAndWait(credit));
  CHECK(resend.body == "/credit");
  CHECK(net::HeaderValue(resend.headers, "Wigeonstair-Upstream") == "u1");

  std::mutex mutex;
  std::condition_variable changed;
  std::optional<net::HttpOutcome> held;
  client.Send(Call(*process, "GET", "/v1/services/s/held"),
              [&](net::HttpOutcome outcome) {
                const std::lock_guard lock(mutex);
                held = std::move(outcome);
                changed.notify_all();
              });
  upstream.WaitUntilHeld();
  // Catch2 allows assertions on one thread only.
  bool drained = false;
  std::thread drain([&] {
    drained = std::holds_alternative<std::monostate>(
        base::Capture([&] { return process->Drain(); }));
  });
  net::HttpResponse health;
  do {
    health = Answer(client.SendAndWait(Call(*process, "GET", "/healthz")));
  } while (health.status == 200);
  const net::HttpResponse refused =
      Answer(client.SendAndWait(Call(*process, "GET", "/v1/services/s/late")));
  CHECK(refused.status == 503);
  CHECK(net::HeaderValue(refused.headers, "Wigeonstair-Outcome") == "not-run");
  upstream.Release();
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return held.has_value(); });
  }
  CHECK(Answer(*held).body == "/held");
  drain.join();
  CHECK(drained);
}

}  // namespace wigeonstair::entry
