#include "net/http_connection.h"

#include <catch2/catch.hpp>

#include <future>
#include <string>
#include <utility>

#include "tests/net/full_listener.h"
#include "tests/net/raw_server.h"

namespace wigeonstair::net {

namespace {

constexpr char kOkAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kLastAnswer[] =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";

HttpOutcome Call(HttpConnection& connection,
                 base::Duration timeout = std::chrono::seconds(5)) {
  std::promise<HttpOutcome> promise;
  auto outcome = promise.get_future();
  connection.Send(
      {.method = "POST", .path = "/work", .body = "credit", .timeout = timeout},
      [&](HttpOutcome value) { promise.set_value(std::move(value)); });
  return outcome.get();
}

bool IsAnswered(const HttpOutcome& outcome) {
  const auto* answer = std::get_if<HttpAnswer>(&outcome);
  return answer != nullptr && answer->response.status == 200 &&
         answer->response.body == "ok";
}

}  // namespace

// Guards against a call that reaches the next process at an address: it was
// meant for the process that answered before.
TEST_CASE("a closed connection is not opened again") {
  RawServer server([](int) { return kOkAnswer; },
                   RawServer::AfterAnswer::kKeepOpen);
  HttpConnection connection({.address = server.address()});
  CHECK(IsAnswered(Call(connection)));
  CHECK(IsAnswered(Call(connection)));
  CHECK(server.requests_on_kept() == 1);
  server.CloseConnections();
  for (int i = 0; i < 3; ++i)
    CHECK_FALSE(IsAnswered(Call(connection)));
  CHECK_FALSE(connection.IsOpen());
  CHECK(server.requests() == 2);
}

TEST_CASE("a connection that the peer closes after an answer is not kept") {
  RawServer server([](int) { return kLastAnswer; },
                   RawServer::AfterAnswer::kClose);
  HttpConnection connection({.address = server.address()});
  CHECK(IsAnswered(Call(connection)));
  CHECK_FALSE(connection.IsOpen());
  CHECK(std::holds_alternative<HttpNotSent>(Call(connection)));
}

TEST_CASE("a connection without an answer in time is lost") {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  RawServer server(
      [released](int) {
        released.wait();
        return std::string(kOkAnswer);
      },
      RawServer::AfterAnswer::kKeepOpen);
  HttpConnection connection({.address = server.address()});
  const HttpOutcome outcome = Call(connection, std::chrono::milliseconds(50));
  release.set_value();
  const auto* lost = std::get_if<HttpLost>(&outcome);
  REQUIRE(lost != nullptr);
  CHECK(lost->error.code == base::ErrorCode::kTimeout);
  CHECK_FALSE(connection.IsOpen());
}

// Guards against a start that is held for a call which left no byte, and
// against one that is repeated elsewhere although its bytes may have arrived.
TEST_CASE("a connection that does not open carried nothing") {
  FullListener listener;
  HttpConnection connection({.address = listener.address()});
  const HttpOutcome outcome = Call(connection, std::chrono::milliseconds(200));
  const auto* not_sent = std::get_if<HttpNotSent>(&outcome);
  REQUIRE(not_sent != nullptr);
  CHECK(not_sent->error.code == base::ErrorCode::kTimeout);
  CHECK_FALSE(connection.IsOpen());
}

TEST_CASE("a call on a connection that opened may have arrived") {
  for (const auto end :
       {RawServer::AfterAnswer::kClose, RawServer::AfterAnswer::kReset}) {
    // Closes before an answer.
    RawServer server([](int) { return std::string(); }, end);
    HttpConnection first({.address = server.address()});
    CHECK(std::holds_alternative<HttpLost>(Call(first)));
    CHECK(server.requests() == 1);
    // Closes within one.
    RawServer partial([](int) { return std::string("HTTP/1.1 200 O"); }, end);
    HttpConnection second({.address = partial.address()});
    CHECK(std::holds_alternative<HttpLost>(Call(second)));
  }
  // Closes between two calls: the second may have arrived before.
  RawServer server([](int) { return kOkAnswer; },
                   RawServer::AfterAnswer::kKeepOpen);
  HttpConnection kept({.address = server.address()});
  REQUIRE(IsAnswered(Call(kept)));
  server.CloseConnections();
  CHECK(std::holds_alternative<HttpLost>(Call(kept)));
}

TEST_CASE("a peer that refuses the connection received nothing") {
  std::string address;
  {
    RawServer server([](int) { return kOkAnswer; },
                     RawServer::AfterAnswer::kKeepOpen);
    address = server.address();
  }
  HttpConnection refused({.address = address});
  CHECK(std::holds_alternative<HttpNotSent>(Call(refused)));
  HttpConnection malformed({.address = "no address"});
  CHECK(std::holds_alternative<HttpNotSent>(Call(malformed)));
}

}  // namespace wigeonstair::net
