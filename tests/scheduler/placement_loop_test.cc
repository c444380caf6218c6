#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include <unistd.h>

#include "services/scheduler/scheduler_process.h"
#include "tests/own_ip.h"

namespace wigeonstair::scheduler {

namespace {

// Accepts every start call and reports its run as done on the next Hold() call.
class FakeWorkers final : public WorkerPort {
 public:
  void Start(const jobs::StartAction& call,
             std::function<void(jobs::CallAnswer)> done) override {
    {
      const std::lock_guard lock(mutex_);
      running_.push_back(call.run);
    }
    ++starts;
    done({.result = jobs::CallResult::kAccepted, .clock_ms = 1000});
  }
  void Stop(const jobs::StopAction&,
            std::function<void(jobs::CallAnswer)> done) override {
    done({.result = jobs::CallResult::kAccepted, .clock_ms = 1000});
  }
  void Hold(const jobs::HoldAction& call,
            std::function<void(jobs::HoldAnswer)> done) override {
    jobs::HoldAnswer answer{
        .lists =
            jobs::HoldAnswer::Lists{.born = call.worker.born, .clock_ms = 1000},
        .acknowledged_end = call.acknowledged_end};
    const std::lock_guard lock(mutex_);
    for (const jobs::RunKey& run : running_) {
      answer.lists->ended.push_back({.number = ++ends_,
                                     .run = run,
                                     .outcome = jobs::ListedOutcome::kDone});
    }
    running_.clear();
    done(answer);
  }

  std::atomic<int> starts{0};

 private:
  std::mutex mutex_;
  std::vector<jobs::RunKey> running_;
  std::uint64_t ends_ = 0;
};

struct TemporaryFolder {
  TemporaryFolder()
      : path(std::filesystem::temp_directory_path() /
             ("scheduler-test-" + std::to_string(getpid()))) {
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
};

jobs::Reply CallWithRetries(SchedulerProcess& process, const jobs::Call& call) {
  jobs::Reply reply;
  for (int attempt = 0; attempt < 100; ++attempt) {
    std::promise<jobs::Reply> promise;
    process.Call(call, std::chrono::seconds(2),
                 [&](const jobs::Reply& result) { promise.set_value(result); });
    reply = promise.get_future().get();
    if (reply.status != jobs::ReplyStatus::kUnavailable &&
        reply.status != jobs::ReplyStatus::kUnknown)
      break;
  }
  return reply;
}

}  // namespace

TEST_CASE("a single scheduler accepts, runs and persists a job") {
  const TemporaryFolder folder;
  FakeWorkers workers;
  base::CounterRegistry counters;
  const net::Address address{.ip = OwnIp(), .port = 18'733};
  const SchedulerOptions options{
      .messages = address,
      .seeds = {address.ip + ":" + std::to_string(address.port)},
      .start = GroupStart::kNew,
      .data_folder = folder.path.string(),
      .cluster = "t",
      .workers = &workers,
      .log = base::EventLog::CreateSilent(),
      .counters = &counters};
  const jobs::CallTarget target{
      .host = "h", .path = "/q/0123456789abcdef", .key = "k"};
  {
    auto process = SchedulerProcess::create(options).value();
    CHECK(CallWithRetries(*process, jobs::ReadConfigurationCall{}).status ==
          jobs::ReplyStatus::kNotConfigured);
    const jobs::PutConfigurationCall put{
        .change = {.configuration = {.version = 1,
                                     .queues = {{.name = "q",
                                                 .host = "h",
                                                 .path_prefix = "/q/",
                                                 .pool = "p"}},
                                     .customers = {{.id = base::CustomerId("c"),
                                                    .keys = {"k"}}}},
                   .document = "one"}};
    CHECK(CallWithRetries(*process, put).status == jobs::ReplyStatus::kDone);
    const jobs::ReportWorkerCall report{
        .worker = {.incarnation = {.id = base::WorkerId("w"), .born = 5},
                   .address = "127.0.0.1:1",
                   .pool = "p",
                   .capacity = {.cpu = 64000,
                                .memory_mb = 1000,
                                .accelerators = 8},
                   .sequence = 1},
        .clock_ms = 1000};
    CHECK(CallWithRetries(*process, report).status == jobs::ReplyStatus::kDone);
    const jobs::SubmitCall submit{.target = target,
                                  .spec = {.steps = {{.count = 2}}}};
    CHECK(CallWithRetries(*process, submit).status == jobs::ReplyStatus::kDone);
    jobs::Reply state;
    for (int poll = 0; poll < 500; ++poll) {
      state = CallWithRetries(*process, jobs::ReadCall{.target = target});
      if (state.state == jobs::JobState::kCompleted)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(state.state == jobs::JobState::kCompleted);
    CHECK(workers.starts == 2);
  }
  // Acknowledged state survives a restart.
  auto process = SchedulerProcess::create(options).value();
  CHECK(CallWithRetries(*process, jobs::ReadConfigurationCall{}).text == "one");
  CHECK(CallWithRetries(*process, jobs::ReadCall{.target = target}).state ==
        jobs::JobState::kCompleted);
  CHECK(workers.starts == 2);
}

}  // namespace wigeonstair::scheduler
