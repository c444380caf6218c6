#ifndef WIGEONSTAIR_TESTS_ENTRY_FAKES_H_
#define WIGEONSTAIR_TESTS_ENTRY_FAKES_H_

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "records/record_table.h"
#include "services/entry/entry_service.h"
#include "services/entry/registry_directory.h"

namespace wigeonstair::entry {

inline constexpr std::int64_t kWallClockStart = 1'700'000'000'000;

struct FakeClock : Clock {
  base::Instant Now() override { return now; }
  std::int64_t WallMilliseconds() override {
    return kWallClockStart +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               now.time_since_epoch())
               .count();
  }

  base::Instant now{std::chrono::hours(1)};
};

// Holds calls until the test answers them, in any order.
struct FakeUpstreams : UpstreamClient {
  struct Pending {
    net::HttpCall call;
    std::function<void(net::HttpOutcome)> done;
  };

  void Send(net::HttpCall call,
            std::function<void(net::HttpOutcome)> done) override {
    pending.push_back({std::move(call), std::move(done)});
  }

  Pending Take(std::size_t index = 0) {
    Pending taken = std::move(pending.at(index));
    pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
  }

  std::deque<Pending> pending;
};

// Holds callbacks until the test fires them; the delays are only recorded.
struct FakeTimers : Timers {
  std::function<void()> After(base::Duration delay,
                              std::function<void()> callback) override {
    const auto stored_callback =
        std::make_shared<std::function<void()>>(std::move(callback));
    waiting.emplace_back(delay, stored_callback);
    return [stored_callback] { *stored_callback = nullptr; };
  }

  void FireAll() {
    for (const auto& [delay, stored_callback] : std::exchange(waiting, {})) {
      const std::function<void()> callback = *stored_callback;
      if (callback)
        callback();
    }
  }

  std::vector<std::pair<base::Duration, std::shared_ptr<std::function<void()>>>>
      waiting;
};

// Builds the response of a correct upstream to the call.
inline net::HttpAnswer AnswerTo(const net::HttpCall& call,
                                const std::string& body,
                                int status = 200) {
  net::HttpAnswer answer{.response = {.status = status, .body = body}};
  answer.response.headers["Wigeonstair-Request-Id"] =
      net::HeaderValue(call.headers, "Wigeonstair-Request-Id");
  answer.response.headers["Content-Length"] = std::to_string(body.size());
  answer.response.headers["Content-Type"] = "text/plain";
  return answer;
}

inline net::HttpLost Lost(base::ErrorCode code = base::ErrorCode::kTimeout) {
  return {.error = {.code = code, .step = "fake", .detail = "lost"}};
}

inline net::HttpNotSent NotSent() {
  return {.error = {.code = base::ErrorCode::kUnavailable, .step = "fake"}};
}

// A record group that answers synchronously from a table that several fakes may
// share.
struct FakeRecords : RecordClient {
  enum class Quorum { kYes, kNo, kLoseReplies, kRefuseClock };

  explicit FakeRecords(records::RecordTable& shared) : table(shared) {}

  void Propose(records::RecordCommand command,
               base::Duration,
               std::function<void(Reply)> done) override {
    if (quorum == Quorum::kNo)
      return done(base::Error{.code = base::ErrorCode::kUnavailable});
    if (quorum == Quorum::kRefuseClock) {
      return done(records::RecordReply{
          .status = records::ReplyStatus::kNotProposed,
          .answer =
              records::ClaimRefused{
                  .reason = records::ClaimRefusalReason::kClockDiffers},
          .detail = "the clock is wrong"});
    }
    const records::RecordAnswer answer = table.Apply(command);
    if (quorum == Quorum::kLoseReplies)
      return done(base::Error{.code = base::ErrorCode::kTimeout});
    done(records::RecordReply{.status = records::ReplyStatus::kCommitted,
                              .answer = answer});
  }

  void Query(records::RecordQuery query,
             base::Duration,
             std::function<void(Reply)> done) override {
    if (quorum != Quorum::kYes && quorum != Quorum::kRefuseClock)
      return done(base::Error{.code = base::ErrorCode::kUnavailable});
    done(records::RecordReply{.status = records::ReplyStatus::kCommitted,
                              .answer = table.Query(query.key)});
  }

  records::RecordTable& table;
  Quorum quorum = Quorum::kYes;
};

struct FakePeers : EntryPeers {
  std::vector<routing::EntryHost> LiveHosts() override { return hosts; }
  routing::ClusterReach Reach() override { return reach; }
  std::vector<routing::RemoteService> RemoteServices() override {
    return remotes;
  }

  std::vector<routing::EntryHost> hosts;
  routing::ClusterReach reach = routing::ClusterReach::kMajority;
  std::vector<routing::RemoteService> remotes;
};

struct FakeFeed : ClusterFeed {
  routing::ClusterView Latest() override { return view; }
  routing::ClusterView view;
};

struct HarnessOptions {
  std::string host = "h1";
  InjectedFaults faults = {};
  routing::RegistryFault registry_fault = routing::RegistryFault::kNone;
  std::size_t queue_length = 1024;
};

// One entry host on a logical clock, with upstreams of one service.
struct Harness {
  explicit Harness(HarnessOptions options = {},
                   records::RecordTable* shared = nullptr)
      : records(shared != nullptr ? *shared : own_table),
        directory({.self = base::HostId(options.host),
                   .domain = base::DomainId("d1"),
                   .fault = options.registry_fault}),
        service({.request = {.host = base::HostId(options.host),
                             .domain = base::DomainId("d1"),
                             .faults = options.faults},
                 .controllers = {.host = base::HostId(options.host),
                                 .domain = base::DomainId("d1"),
                                 .settle_time = {},
                                 .gate = {.queue = {.maximum_length =
                                                        options.queue_length}}},
                 // Gives each host its own attempt and request ids.
                 .run = std::hash<std::string>()(options.host) << 32U},
                {.upstreams = upstreams,
                 .records = records,
                 .directory = directory,
                 .peers = peers,
                 .feed = feed,
                 .clock = clock,
                 .timers = timers,
                 .log = *log}) {
    Advance(std::chrono::milliseconds(100));
  }

  // Queued requests refer to the queue that holds them, so all requests must be
  // answered before the service is destroyed.
  ~Harness() {
    for (int round = 0; round < 4 && service.in_progress() > 0; ++round) {
      while (!upstreams.pending.empty())
        upstreams.Take().done(Lost());
      Advance(std::chrono::seconds(61));
    }
  }
  Harness(const Harness&) = delete;
  Harness& operator=(const Harness&) = delete;

  void Advance(base::Duration time) {
    clock.now += time;
    service.Tick();
  }

  net::HttpResponse Call(net::HttpRequest request) {
    std::optional<net::HttpResponse> response;
    service.Handle(std::move(request), [&](net::HttpResponse answer) {
      response = std::move(answer);
    });
    return response.value();
  }

  // Starts a request. The returned optional is set when the answer arrives.
  std::shared_ptr<std::optional<net::HttpResponse>> Start(
      net::HttpRequest request) {
    auto response = std::make_shared<std::optional<net::HttpResponse>>();
    service.Handle(std::move(request), [response](net::HttpResponse answer) {
      REQUIRE_FALSE(response->has_value());
      *response = std::move(answer);
    });
    return response;
  }

  // Announces an upstream and advances the clock past its slow start.
  void AddUpstream(const std::string& id, int slots = 8) {
    const net::HttpResponse response =
        Call({.method = "PUT",
              .path = "/v1/upstreams/" + id,
              .body = R"({"service":"s","domain":"d1","address":"127.0.0.1:9",)"
                      R"("slots":)" +
                      std::to_string(slots) +
                      R"(,"connections":64,"incarnation":1})"});
    REQUIRE(response.status == 200);
    announced_ids.push_back(id);
    for (int second = 0; second < 6; ++second) {
      HeartbeatAll();
      Advance(std::chrono::seconds(1));
    }
  }

  void HeartbeatAll() {
    for (const std::string& id : announced_ids)
      Heartbeat(id);
  }

  net::HttpResponse Heartbeat(const std::string& id) {
    return Call({.method = "POST",
                 .path = "/v1/upstreams/" + id + "/heartbeat",
                 .body = R"({"incarnation":1})"});
  }

  std::vector<std::string> announced_ids;
  FakeClock clock;
  FakeTimers timers;
  FakeUpstreams upstreams;
  records::RecordTable own_table;
  FakeRecords records;
  RegistryDirectory directory;
  FakePeers peers;
  FakeFeed feed;
  std::shared_ptr<base::EventLog> log = base::EventLog::CreateSilent();
  EntryService service;
};

inline net::HttpRequest Get(const std::string& path = "/item",
                            const std::string& customer = "c1") {
  net::HttpRequest request{.method = "GET", .path = "/v1/services/s" + path};
  request.headers["Wigeonstair-Customer"] = customer;
  return request;
}

inline net::HttpRequest CreditRequest(Harness& harness,
                                      const std::string& key,
                                      const std::string& body = "amount=5") {
  net::HttpRequest request{
      .method = "POST", .path = "/v1/services/s/credit", .body = body};
  request.headers["Wigeonstair-Customer"] = "c1";
  request.headers["Request-Key"] = key;
  request.headers["Request-Issued"] =
      std::to_string(harness.clock.WallMilliseconds());
  return request;
}

inline std::string HeaderOf(const std::optional<net::HttpResponse>& response,
                            const std::string& name) {
  REQUIRE(response.has_value());
  return std::string(net::HeaderValue(response->headers, name));
}

inline std::string OutcomeOf(const std::optional<net::HttpResponse>& response) {
  return HeaderOf(response, "Wigeonstair-Outcome");
}

inline std::string ReasonOf(const std::optional<net::HttpResponse>& response) {
  return HeaderOf(response, "Wigeonstair-Reason");
}

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_TESTS_ENTRY_FAKES_H_
