#include "platform/http_worker_port.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/net/full_listener.h"
#include "tests/net/raw_server.h"

namespace wigeonstair::platform {

namespace {

std::string Answer(std::uint64_t born) {
  const std::string body =
      R"({"ClockMs":5000,"Running":[],"Finished":[],"born":)" +
      std::to_string(born) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A worker that keeps its id and its address when it restarts. Records the
// `LastSeen` of each hold. A restart closes its connections.
class FakeWorker {
 public:
  FakeWorker()
      : server_(
            [this](int) {
              const std::lock_guard lock(mutex_);
              acknowledged_.push_back(
                  NumberAfter(server_.request(), "\"LastSeen\":"));
              return Answer(born_);
            },
            net::RawServer::AfterAnswer::kKeepOpen) {}

  jobs::HoldAction HoldFor(std::uint64_t born,
                           std::uint64_t acknowledged_end) const {
    return {.worker = {.id = base::WorkerId("i-1"), .born = born},
            .address = server_.address(),
            .fencing_token = 7,
            .acknowledged_end = acknowledged_end};
  }

  void Restart(std::uint64_t born) {
    {
      const std::lock_guard lock(mutex_);
      born_ = born;
      acknowledged_.clear();
    }
    server_.CloseConnections();
  }

  std::vector<std::uint64_t> acknowledged() const {
    const std::lock_guard lock(mutex_);
    return acknowledged_;
  }

 private:
  static std::uint64_t NumberAfter(const std::string& text,
                                   const std::string& name) {
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stoull(text.substr(at + name.size()));
  }

  mutable std::mutex mutex_;
  std::uint64_t born_ = 1;
  std::vector<std::uint64_t> acknowledged_;
  net::RawServer server_;
};

jobs::HoldAnswer Hold(HttpWorkerPort& port, const jobs::HoldAction& call) {
  std::promise<jobs::HoldAnswer> promise;
  auto answer = promise.get_future();
  port.Hold(call, [&](jobs::HoldAnswer value) {
    promise.set_value(std::move(value));
  });
  return answer.get();
}

jobs::CallAnswer Start(HttpWorkerPort& port, const std::string& address) {
  std::promise<jobs::CallAnswer> promise;
  auto answer = promise.get_future();
  port.Start(
      {.run = {.task = {.job = base::JobId("5c0e7a21d94b36f8")}, .attempt = 1},
       .worker = {.id = base::WorkerId("i-1"), .born = 1},
       .address = address,
       .fencing_token = 7},
      [&](const jobs::CallAnswer& value) { promise.set_value(value); });
  return answer.get();
}

}  // namespace

// Guards against a task that is held for seconds (LOST): a worker that is lost
// for good was taken for one that may still carry out the start.
TEST_CASE("a start to a host that is gone was not sent") {
  HttpWorkerPort port;
  net::FullListener gone;
  CHECK(Start(port, gone.address()).result == jobs::CallResult::kNotSent);
  // A host that lives, and a process that does not.
  net::RawServer closed([](int) { return std::string(); },
                        net::RawServer::AfterAnswer::kReset);
  closed.StopListening();
  CHECK(Start(port, closed.address()).result == jobs::CallResult::kNotSent);
}

TEST_CASE("a start that may have arrived is unanswered") {
  HttpWorkerPort port;
  for (const auto end : {net::RawServer::AfterAnswer::kClose,
                         net::RawServer::AfterAnswer::kReset}) {
    net::RawServer server([](int) { return std::string(); }, end);
    const jobs::CallAnswer answer = Start(port, server.address());
    CHECK(answer.result == jobs::CallResult::kUnanswered);
    CHECK_FALSE(answer.may_be_repeated);
    CHECK(server.requests() == 1);
  }
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  net::RawServer silent(
      [released](int) {
        released.wait();
        return Answer(1);
      },
      net::RawServer::AfterAnswer::kKeepOpen);
  CHECK(Start(port, silent.address()).result == jobs::CallResult::kUnanswered);
  release.set_value();
}

// Guards against a start on a kept connection to a host that went away since
// its last answer.
TEST_CASE("a kept connection carries a start only shortly after an answer") {
  constexpr auto kLongAfter = std::chrono::milliseconds(120);
  net::RawServer server([](int) { return Answer(1); },
                        net::RawServer::AfterAnswer::kKeepOpen);
  HttpWorkerPort port;
  for (int i = 0; i < 3; ++i) {
    CHECK(Start(port, server.address()).result == jobs::CallResult::kAccepted);
    std::this_thread::sleep_for(kLongAfter);
  }
  CHECK(server.requests_on_kept() == 0);
  CHECK(server.requests() == 3);
}

// Guards against finished tasks that start again: a worker that restarted
// under its id forgot its first ends, which nobody had read, because they were
// numbered like acknowledged ends of its former incarnation.
TEST_CASE("a restarted worker gets no acknowledgement of its former ends") {
  FakeWorker worker;
  HttpWorkerPort port;
  Hold(port, worker.HoldFor(1, 0));
  CHECK(Hold(port, worker.HoldFor(1, 4)).acknowledged_end == 4);
  CHECK(worker.acknowledged() == std::vector<std::uint64_t>{0, 4});
  worker.Restart(2);
  for (int i = 0; i < 3; ++i) {
    const jobs::HoldAnswer answer = Hold(port, worker.HoldFor(1, 4));
    CHECK((answer.lists && answer.lists->born == 2));
    CHECK(answer.acknowledged_end == 0);
  }
  // Ends of its own.
  CHECK(Hold(port, worker.HoldFor(2, 1)).acknowledged_end == 1);
  CHECK(worker.acknowledged() == std::vector<std::uint64_t>{0, 0, 0, 1});
}

// Guards against ends that are listed again for ever: the first hold over a
// connection acknowledges nothing.
TEST_CASE("an acknowledgement follows the first answer on a connection") {
  FakeWorker worker;
  HttpWorkerPort port;
  CHECK(Hold(port, worker.HoldFor(1, 4)).acknowledged_end == 0);
  CHECK(Hold(port, worker.HoldFor(1, 4)).acknowledged_end == 4);
  CHECK(worker.acknowledged() == std::vector<std::uint64_t>{0, 4});
}

}  // namespace wigeonstair::platform
