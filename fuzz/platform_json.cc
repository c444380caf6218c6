#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fuzz/fuzz.h"
#include "jobs/dispatcher.h"
#include "platform/configuration_codec.h"
#include "platform/job_codec.h"
#include "platform/settings.h"
#include "platform/worker_codec.h"

namespace {

using namespace wigeonstair;

// Milliseconds since the Unix epoch, in the year 2096.
constexpr std::uint64_t kNowMs = 4'000'000'000'000;

// A leader and one worker that runs two tasks of the job of the corpus. What it
// lists goes through the adapter into the dispatcher and the store.
class Leader {
 public:
  Leader() {
    jobs::JobRecord job{.id = base::JobId("5c")};
    job.spec.steps = {{.count = 1}, {.count = 18, .estimate_ms = 1000}};
    store_.Apply(jobs::SubmitJob{.job = std::move(job)});
    store_.Apply(jobs::RecordWorker{
        .worker = {.incarnation = worker_, .address = "10.0.0.1:80"}});
    store_.Apply(jobs::TakeOver{.term = 1});
    for (const std::uint32_t index : {9u, 17u}) {
      store_.Apply(jobs::PlaceTasks{
          .term = 1,
          .placements = {
              {.task = {.job = base::JobId("5c"), .step = 1, .index = index},
               .attempt = 2,
               .worker = worker_}}});
    }
    dispatcher_.Lead(1, jobs::PlacementHistory(Time().instant), Time());
  }

  // The same lists, several times.
  void Read(const std::string& body) {
    constexpr int kAnswers = 4;
    constexpr std::uint64_t kIntervalMs = 1000;
    for (int i = 0; i < kAnswers; ++i) {
      std::vector<jobs::HoldAction> holds = Run();
      now_ms_ += kIntervalMs;
      for (const jobs::HoldAction& hold : holds) {
        fuzz::Require(hold.acknowledged_end <= highest_end_);
        jobs::HoldAnswer answer = platform::DecodeHoldAnswer(
            {.status = 200, .body = body}, hold.acknowledged_end);
        answer.acknowledged_end = hold.acknowledged_end;
        if (answer.lists) {
          highest_end_ =
              std::max(highest_end_, answer.lists->clock_ms + kFirstEnds);
        }
        dispatcher_.OnHoldAnswer(hold, Time().instant, answer, Time());
      }
    }
    Run();
    const std::string snapshot = store_.Snapshot();
    jobs::JobStore restored;
    fuzz::Require(
        fuzz::Accepted([&] { return restored.Restore(snapshot); }).has_value());
  }

 private:
  // A worker ends at most one run per millisecond after these.
  static constexpr std::uint64_t kFirstEnds = 1000;

  jobs::Now Time() const {
    return {.instant = base::Instant(std::chrono::milliseconds(now_ms_)),
            .wall_ms = now_ms_};
  }

  // Carries out what the dispatcher proposes and returns its holds.
  std::vector<jobs::HoldAction> Run() {
    std::vector<jobs::HoldAction> holds;
    for (int round = 0; round < 2; ++round) {
      dispatcher_.Tick(Time());
      for (const jobs::Action& action : dispatcher_.TakeActions()) {
        if (const auto* hold = std::get_if<jobs::HoldAction>(&action)) {
          holds.push_back(*hold);
        } else if (const auto* proposal =
                       std::get_if<jobs::ProposeAction>(&action)) {
          store_.Apply(proposal->command);
          dispatcher_.OnProposed(proposal->id, true, Time());
        }
      }
    }
    return holds;
  }

  const jobs::WorkerIncarnation worker_{.id = base::WorkerId("i-1"), .born = 5};
  std::uint64_t highest_end_ = 0;
  std::uint64_t now_ms_ = 1'000'000;
  jobs::JobStore store_;
  jobs::Dispatcher dispatcher_{store_, {}};
};

}  // namespace

// What workers, operators, callers and the platform send.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 6) {
    case 0:
      fuzz::Accepted([&] { return platform::DecodeJob(input.bytes); });
      break;
    case 1:
      fuzz::Accepted(
          [&] { return platform::DecodeConfiguration(input.bytes); });
      break;
    case 2:
      fuzz::Accepted(
          [&] { return platform::DecodeReport("i-1", input.bytes, kNowMs); });
      break;
    case 3:
      Leader().Read(std::string(input.bytes));
      break;
    case 4:
      platform::DecodeCallAnswer(
          {.status = 409, .body = std::string(input.bytes)});
      break;
    default:
      fuzz::Accepted([&] { return platform::DecodeSettings(input.bytes); });
  }
  return 0;
}
