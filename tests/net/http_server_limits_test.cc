#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "tests/net/raw_client.h"

namespace wigeonstair::net {

namespace {

using std::chrono::milliseconds;

std::unique_ptr<HttpServer> StartServer(HttpServerOptions options) {
  options.address = {.ip = "127.0.0.1", .port = 0};
  if (!options.handler) {
    options.handler = [](const HttpRequest& request,
                         const HttpResponder& respond) {
      respond({.status = 200, .body = request.path + "=" + request.body});
    };
  }
  auto outcome =
      base::Capture([&] { return HttpServer::create(std::move(options)); });
  if (auto* error = std::get_if<base::Error>(&outcome))
    FAIL(error->ToString());
  return std::move(std::get<0>(outcome));
}

std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a server that refuses what its pages allow.
TEST_CASE("a body in chunks is served") {
  const auto server = StartServer({.body_limit_bytes = 4});
  RawClient client(server->address().port);
  client.Send(
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");
  CHECK(Contains(client.ReadUntil("/a=abcd"), "HTTP/1.1 200 OK\r\n"));
  client.Send(
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
  CHECK(Contains(client.ReadToEnd(), "HTTP/1.1 413 "));
}

// Guards against answers in another order than the requests.
TEST_CASE("requests sent together are answered in their order") {
  const auto server = StartServer({});
  RawClient client(server->address().port);
  client.Send(Post("/1", "x") + Post("/2", "y") +
              "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string answers = client.ReadToEnd();
  const std::size_t first = answers.find("/1=x");
  const std::size_t second = answers.find("/2=y");
  const std::size_t third = answers.find("/3=");
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third != std::string::npos);
  CHECK(client.ended());
}

// Guards against a refusal that a peer which still sends never reads, because
// the connection is reset.
TEST_CASE("a refusal reaches a peer that is still sending") {
  const auto server = StartServer({.body_limit_bytes = 1000});
  RawClient client(server->address().port);
  client.Send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
  client.Send(std::string(50'000, 'x'));
  const std::string answer = client.ReadToEnd();
  CHECK(answer.starts_with("HTTP/1.1 413 "));
  CHECK(Contains(answer, "Connection: close\r\n"));
  CHECK(client.ended());
}

// Guards against a HEAD whose body the next answer is taken for, and against a
// sender that is never told to send its body.
TEST_CASE("HEAD has no body and a waiting sender is told to continue") {
  const auto server = StartServer({});
  RawClient client(server->address().port);
  client.Send("HEAD /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  const std::string answers = client.ReadUntil("/b=");
  CHECK(Contains(answers, "Content-Length: 3\r\n"));
  CHECK_FALSE(Contains(answers, "/a="));
  client.Send(
      "POST /c HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  CHECK(client.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  client.Send("ab");
  CHECK(Contains(client.ReadUntil("/c=ab"), "HTTP/1.1 200 "));
}

// Guards against heads and bodies that trickle in, and against connections that
// stay open without a request.
TEST_CASE("an unfinished request and an idle connection end in time") {
  const auto server = StartServer({.head_timeout = milliseconds(50),
                                   .stall_timeout = milliseconds(50),
                                   .idle_timeout = milliseconds(50)});
  const std::uint16_t port = server->address().port;
  RawClient head(port);
  head.Send("GET / HTTP");
  CHECK(Contains(head.ReadToEnd(), "HTTP/1.1 408 "));
  RawClient body(port);
  body.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n123");
  CHECK(Contains(body.ReadToEnd(), "HTTP/1.1 408 "));
  RawClient idle(port);
  CHECK(idle.ReadToEnd().empty());
  CHECK(idle.ended());
}

// Guards against a caller that waits for its answer and loses it to strangers
// who take all connections, and against an ordinary caller who does not get in.
TEST_CASE("a request in progress outlives strangers over all limits") {
  std::promise<HttpResponder> arrived;
  base::CounterRegistry counters;
  const auto server = StartServer(
      {.handler =
           [&](const HttpRequest& request, const HttpResponder& respond) {
             if (request.path == "/wait")
               arrived.set_value(respond);
             else
               respond({.status = 200, .body = "quick"});
           },
       .body_limit_bytes = 100'000,
       .connections = std::make_shared<ConnectionTable>(ConnectionLimits{
           .connections = 4, .connections_per_peer = 4, .bytes = 100'000}),
       .counters = &counters});
  const std::uint16_t port = server->address().port;
  RawClient waiting(port);
  waiting.Send(Post("/wait", "x"));
  const HttpResponder respond = arrived.get_future().get();
  std::vector<std::unique_ptr<RawClient>> strangers;
  for (int i = 0; i < 20; ++i) {
    strangers.push_back(std::make_unique<RawClient>(port));
    if (i % 2 == 0) {
      strangers.back()->Send(
          "POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" +
          std::string(80'000, 'x'));
    }
  }
  RawClient ordinary(port);
  ordinary.Send(Post("/", "x"));
  CHECK(Contains(ordinary.ReadUntil("quick"), "HTTP/1.1 200 "));
  respond({.status = 200, .body = "late"});
  CHECK(Contains(waiting.ReadUntil("late"), "HTTP/1.1 200 "));
  CHECK(
      counters.counter("wigeonstair_http_not_served_total{reason=\"dropped\"}")
          .value() > 0);
}

// Guards against an answer to a caller that does not read, which would keep
// its memory and its connection.
TEST_CASE("an answer that is not taken ends in time") {
  const auto server = StartServer(
      {.handler =
           [](const HttpRequest&, const HttpResponder& respond) {
             respond({.status = 200, .body = std::string(64 << 20, 'x')});
           },
       .send_timeout = milliseconds(50)});
  RawClient client(server->address().port);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(Contains(client.ReadUntil("\r\n"), "HTTP/1.1 200 "));
  CHECK(server->Drain(std::chrono::seconds(60)));
}

// Guards against a server that cannot be destroyed while strangers connect and
// stay connected.
TEST_CASE("a server ends while strangers are connected") {
  for (int round = 0; round < 20; ++round) {
    auto server = StartServer({});
    const std::uint16_t port = server->address().port;
    RawClient idle(port);
    RawClient unfinished(port);
    unfinished.Send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
    std::atomic<bool> stopped{false};
    std::thread strangers([&] {
      while (!stopped) {
        RawClient client(port);
        client.Send("GET / HTTP/1.1\r\n\r\n");
      }
    });
    server.reset();
    stopped = true;
    strangers.join();
    CHECK(idle.ReadToEnd().empty());
  }
}

}  // namespace wigeonstair::net
