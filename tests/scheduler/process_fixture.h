#ifndef WIGEONSTAIR_TESTS_SCHEDULER_PROCESS_FIXTURE_H_
#define WIGEONSTAIR_TESTS_SCHEDULER_PROCESS_FIXTURE_H_

#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <vector>

#include "services/scheduler/scheduler_process.h"

namespace wigeonstair::scheduler {

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

inline jobs::Reply CallWithRetries(SchedulerProcess& process,
                                   const jobs::Call& call) {
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

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_TESTS_SCHEDULER_PROCESS_FIXTURE_H_
