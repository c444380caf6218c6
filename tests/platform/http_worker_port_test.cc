#include "platform/http_worker_port.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <future>
#include <mutex>
#include <string>
#include <vector>

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

}  // namespace

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
