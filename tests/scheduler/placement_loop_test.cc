#include <catch2/catch.hpp>

#include <thread>

#include "tests/own_ip.h"
#include "tests/scheduler/process_fixture.h"

namespace wigeonstair::scheduler {

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
