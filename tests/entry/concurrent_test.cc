#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

namespace {

constexpr int kCallers = 4;
constexpr int kRequests = 1500;

// Answers calls on its own threads; 1 of 20 calls fails.
class ThreadedUpstreams : public UpstreamClient, public Timers {
 public:
  ThreadedUpstreams() {
    for (int index = 0; index < 3; ++index)
      threads_.emplace_back([this] { Work(); });
  }
  ~ThreadedUpstreams() override {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    ready_.notify_all();
    for (std::thread& thread : threads_)
      thread.join();
  }

  // Runs the callback without delay, so that hedged copies race with answers.
  std::function<void()> After(base::Duration,
                              std::function<void()> callback) override {
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(
          {{}, [callback = std::move(callback)](const net::HttpOutcome&) {
             callback();
           }});
    }
    ready_.notify_one();
    return [] {};
  }

  void Send(net::HttpCall call,
            std::function<void(net::HttpOutcome)> done) override {
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back({std::move(call), std::move(done)});
    }
    ready_.notify_one();
  }

 private:
  void Work() {
    for (int count = 0;; ++count) {
      FakeUpstreams::Pending next;
      {
        std::unique_lock lock(mutex_);
        ready_.wait(lock, [this] { return stopped_ || !calls_.empty(); });
        if (calls_.empty())
          return;
        next = std::move(calls_.front());
        calls_.pop_front();
      }
      if (count % 40 == 0)
        next.done(Lost());
      else if (count % 40 == 20)
        next.done(NotSent());
      else
        next.done(AnswerTo(next.call, next.call.path));
    }
  }

  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<FakeUpstreams::Pending> calls_;
  std::vector<std::thread> threads_;
  bool stopped_ = false;
};

struct AtomicClock : Clock {
  base::Instant Now() override {
    return base::Instant(base::Duration(microseconds.load()));
  }
  std::int64_t WallMilliseconds() override {
    return kWallClockStart + microseconds.load() / 1000;
  }
  std::atomic<std::int64_t> microseconds{std::int64_t{3600} * 1'000'000};
};

// A thread-safe record table whose queries fail as unavailable.
struct LockedRecords : RecordClient {
  void Propose(records::RecordCommand command,
               base::Duration,
               std::function<void(Reply)> done) override {
    records::RecordReply reply;
    reply.status = records::ReplyStatus::kCommitted;
    {
      const std::lock_guard lock(mutex);
      reply.answer = table.Apply(command);
    }
    done(reply);
  }
  void Query(records::RecordQuery,
             base::Duration,
             std::function<void(Reply)> done) override {
    done(base::Error{.code = base::ErrorCode::kUnavailable});
  }

  std::mutex mutex;
  records::RecordTable table;
};

}  // namespace

// Guards against data races on the request path, lost or mismatched answers,
// and leaked admission. Intended for ThreadSanitizer.
TEST_CASE("callers, upstreams and controllers run at the same time") {
  AtomicClock clock;
  LockedRecords records;
  RegistryDirectory directory(
      {.self = base::HostId("h1"), .domain = base::DomainId("d1")});
  FakePeers peers;
  FakeFeed feed;
  feed.view = {.revision = 1,
               .customers = {{.id = base::CustomerId("c1"),
                              .maximum_concurrent_requests = 1000}}};
  const auto log = base::EventLog::CreateSilent();
  ThreadedUpstreams upstreams;
  EntryService service(
      {.request = {.host = base::HostId("h1"), .domain = base::DomainId("d1")},
       .controllers = {.host = base::HostId("h1"),
                       .domain = base::DomainId("d1"),
                       .settle_time = {}},
       .run = std::uint64_t{7} << 32U},
      {.upstreams = upstreams,
       .records = records,
       .directory = directory,
       .peers = peers,
       .feed = feed,
       .clock = clock,
       .timers = upstreams,
       .log = *log});
  for (int index = 0; index < 4; ++index) {
    service.Handle(
        {.method = "PUT",
         .path = "/v1/upstreams/u" + std::to_string(index),
         .body = R"({"service":"s","domain":"d1","address":"127.0.0.1:9",)"
                 R"("slots":2,"connections":2,"incarnation":1})"},
        [](const net::HttpResponse& response) {
          REQUIRE(response.status == 200);
        });
  }
  std::atomic<int> started{0};
  std::atomic<int> answered{0};
  std::atomic<int> correct{0};
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int index = 0; index < kRequests; ++index) {
        // Limits concurrency so that most requests are served and some are
        // queued.
        while (started - answered > 30)
          std::this_thread::yield();
        ++started;
        const std::string path =
            "/" + std::to_string(caller) + "/" + std::to_string(index);
        net::HttpRequest request = Get(path);
        if (index % 5 == 0) {
          request.method = "POST";
          request.headers["Request-Key"] =
              "key-" + path.substr(1, 1) + "-" + std::to_string(10'000 + index);
          request.headers["Request-Issued"] =
              std::to_string(clock.WallMilliseconds());
        }
        service.Handle(
            std::move(request), [&, path](const net::HttpResponse& answer) {
              const std::string_view outcome =
                  net::HeaderValue(answer.headers, "Wigeonstair-Outcome");
              if (outcome == "answered")
                ++(answer.body == path ? correct : wrong);
              ++answered;
            });
      }
    });
  }
  // Each tick advances the clock and sends the heartbeats of all upstreams.
  // Requests that are still queued when the callers have finished reach their
  // deadline.
  int ticks = 0;
  while (answered < kCallers * kRequests) {
    clock.microseconds += 20'000;
    for (int index = 0; index < 4; ++index) {
      service.Handle(
          {.method = "POST",
           .path = "/v1/upstreams/u" + std::to_string(index) + "/heartbeat",
           .body = R"({"incarnation":1})"},
          [](const net::HttpResponse&) {});
    }
    service.Tick();
    ++ticks;
  }
  for (std::thread& caller : callers)
    caller.join();
  CHECK(answered == kCallers * kRequests);
  CHECK(wrong == 0);
  CHECK(correct > kCallers * kRequests / 2);
  CHECK(ticks > 0);
  while (service.in_progress() > 0)
    std::this_thread::yield();
}

}  // namespace wigeonstair::entry
