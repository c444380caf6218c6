#include <catch2/catch.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/own_ip.h"
#include "tests/scheduler/process_fixture.h"

namespace wigeonstair::scheduler {

namespace {

constexpr std::uint16_t kFirstPort = 18'740;
constexpr int kFirstGroup = 3;
// A host that was replaced counts as lost until its successor has run for this
// time.
constexpr base::Duration kCatchUp = std::chrono::seconds(4);

// Schedulers with data folders of their own.
class Group {
 public:
  void Start(int number, GroupStart start) {
    std::vector<std::string> seeds;
    for (int i = 0; i < kFirstGroup; ++i)
      seeds.push_back(AddressOf(i).ToString());
    std::filesystem::create_directories(FolderOf(number));
    processes_[number] =
        SchedulerProcess::create({.messages = AddressOf(number),
                                  .seeds = seeds,
                                  .start = start,
                                  .data_folder = FolderOf(number).string(),
                                  .domain = base::DomainId("1"),
                                  .cluster = "t",
                                  .workers = &workers_,
                                  .log = base::EventLog::CreateSilent(),
                                  .counters = &counters_})
            .value();
  }
  // As on SIGTERM.
  void ShutDown(int number) {
    processes_.at(number)->Drain(std::chrono::seconds(4));
    Kill(number);
  }
  void Kill(int number) { processes_.erase(number); }
  void LoseDisk(int number) {
    Kill(number);
    std::filesystem::remove_all(FolderOf(number));
    Start(number, GroupStart::kExisting);
  }

  bool StoresConfiguration(int through, std::uint64_t version) {
    const jobs::PutConfigurationCall put{
        .change = {.configuration = {.version = version},
                   .document = std::to_string(version)}};
    return CallWithRetries(*processes_.at(through), put).status ==
           jobs::ReplyStatus::kDone;
  }
  std::string Configuration(int through) {
    return CallWithRetries(*processes_.at(through),
                           jobs::ReadConfigurationCall{})
        .text;
  }

 private:
  static net::Address AddressOf(int number) {
    return {.ip = OwnIp(),
            .port = static_cast<std::uint16_t>(kFirstPort + number)};
  }
  std::filesystem::path FolderOf(int number) const {
    return folder_.path / std::to_string(number);
  }

  const TemporaryFolder folder_;
  FakeWorkers workers_;
  base::CounterRegistry counters_;
  std::map<int, std::unique_ptr<SchedulerProcess>> processes_;
};

}  // namespace

// Guards against the loss of all that was acknowledged: the vote of a scheduler
// that was replaced as planned ended with it, and one more lost disk left one
// voter of three.
TEST_CASE("a group survives a planned replacement and then a lost disk") {
  Group group;
  for (int i = 0; i < kFirstGroup; ++i)
    group.Start(i, GroupStart::kNew);
  REQUIRE(group.StoresConfiguration(0, 1));
  const int successor = kFirstGroup;
  group.Start(successor, GroupStart::kExisting);
  std::this_thread::sleep_for(kCatchUp);
  group.ShutDown(0);
  group.LoseDisk(1);
  CHECK(group.Configuration(2) == "1");
  CHECK(group.Configuration(successor) == "1");
  CHECK(group.StoresConfiguration(successor, 2));
}

// As above, for a scheduler that ends without notice as its successor starts.
TEST_CASE("a group survives an unplanned replacement and then a lost disk") {
  Group group;
  for (int i = 0; i < kFirstGroup; ++i)
    group.Start(i, GroupStart::kNew);
  REQUIRE(group.StoresConfiguration(0, 1));
  const int successor = kFirstGroup;
  const base::Instant started_at = base::MonotonicClock::now();
  group.Start(successor, GroupStart::kExisting);
  group.Kill(0);
  std::this_thread::sleep_for(started_at + kCatchUp -
                              base::MonotonicClock::now());
  group.LoseDisk(1);
  CHECK(group.Configuration(2) == "1");
  CHECK(group.Configuration(successor) == "1");
  CHECK(group.StoresConfiguration(successor, 2));
}

}  // namespace wigeonstair::scheduler
