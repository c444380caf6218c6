#include "benchmarks/state/measurements.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include "base/monotonic_clock.h"
#include "cluster/cluster_state.h"
#include "cluster/configuration_patch.h"
#include "consensus/file_disk.h"
#include "consensus/log_storage.h"
#include "consensus/replica_driver.h"
#include "records/record_table.h"
#include "tests/consensus/local_group.h"

namespace wigeonstair::bench {

namespace {

using base::Instant;
using consensus::LocalGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kLong = seconds(30);

Instant Now() {
  return base::MonotonicClock::now();
}

Latencies Summarize(std::vector<double> samples_us, double elapsed_seconds) {
  std::sort(samples_us.begin(), samples_us.end());
  const std::size_t count = samples_us.size();
  Latencies latencies{
      .median_us = samples_us[count / 2],
      .p99_us = samples_us[count * 99 / 100],
      .per_second = static_cast<double>(count) / elapsed_seconds};
  latencies.samples_us = std::move(samples_us);
  return latencies;
}

double Microseconds(base::Duration duration) {
  return static_cast<double>(duration.count());
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds_of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

// Keeps `concurrent` commands open until `count` are done.
class CommitLoad {
 public:
  CommitLoad(consensus::ReplicaRuntime& runtime, int count, int bytes)
      : runtime_(runtime),
        left_(count),
        command_(static_cast<std::size_t>(bytes), 'x') {}

  std::vector<double> Run(int concurrent) {
    for (int i = 0; i < concurrent; ++i)
      Next();
    std::unique_lock lock(mutex_);
    done_.wait(lock, [this] { return open_ == 0 && left_ <= 0; });
    return samples_;
  }

 private:
  void Next() {
    {
      const std::lock_guard lock(mutex_);
      if (left_ <= 0)
        return;
      --left_;
      ++open_;
    }
    runtime_.Propose(command_, kLong,
                     [this, start = Now()](const auto&) { Done(start); });
  }

  void Done(Instant start) {
    {
      const std::lock_guard lock(mutex_);
      samples_.push_back(Microseconds(Now() - start));
    }
    Next();
    const std::lock_guard lock(mutex_);
    --open_;
    done_.notify_one();
  }

  consensus::ReplicaRuntime& runtime_;
  std::mutex mutex_;
  std::condition_variable done_;
  int left_;
  int open_ = 0;
  std::string command_;
  std::vector<double> samples_;
};

std::uint64_t BytesSent(consensus::LocalHost& host) {
  return host.counters
      .counter("wigeonstair_consensus_bytes_sent_total{group=\"test\"}")
      .value();
}

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

double PeakResidentMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024.0;
}

// As a voter does it.
void WriteSnapshot(std::string state) {
  const consensus::TemporaryFolder folder;
  auto disk =
      base::Capture([&] { return consensus::FileDisk::create(folder.path()); });
  auto storage = base::Capture([&] {
    return consensus::LogStorage::create({.disk = std::get<0>(disk).get(),
                                          .group = "test",
                                          .host = base::HostId("host-0")});
  });
  const consensus::PersistBatch batch{
      .sequence = 1,
      .snapshot =
          std::make_shared<const consensus::Snapshot>(consensus::Snapshot{
              .index = 1, .term = 1, .state = std::move(state)}),
      .log_after_snapshot = consensus::LogAfterSnapshot::kDiscard};
  const auto written = base::Capture([&] {
    return std::get<0>(storage)->Write({&batch, 1});
  });
  if (std::holds_alternative<base::Error>(written))
    std::fprintf(stderr, "the snapshot could not be written\n");
}

struct JobsOf {
  explicit JobsOf(int count) {
    cluster::ConfigurationPatch patch{.cluster = "bench"};
    patch.changed_domains = {{.id = base::DomainId("domain-1")}};
    state.Apply(cluster::ApplyConfiguration{
        .operation = "configure",
        .target_hash =
            cluster::HashConfiguration(cluster::ApplyPatch({}, patch)),
        .patch = patch});
    for (int i = 0; i < count; ++i) {
      const base::JobId job("team-1-job-" + std::to_string(1'000'000 + i));
      state.Apply(cluster::SubmitJob{
          .operation = "submit-" + job.value(),
          .specification = {.id = job,
                            .customer = base::CustomerId("customer-1"),
                            .job_class = "default",
                            .declared_run_milliseconds = 3'600'000}});
      state.Apply(
          cluster::AssignJob{.job = job, .domain = base::DomainId("domain-1")});
      // Ended ones make room in the table of jobs that have not ended.
      if (i >= kLiveJobs) {
        state.Apply(
            cluster::FinishJob{.job = job,
                               .assignment = 1,
                               .outcome = cluster::JobOutcome::kFinished,
                               .detail = "all tasks finished"});
      }
    }
  }
  static constexpr int kLiveJobs = 49'999;
  cluster::ClusterState state;
};

Latencies MeasureSync(const std::string& folder,
                      int count,
                      int bytes,
                      std::uint64_t reserved_bytes) {
  auto disk =
      base::Capture([&] { return consensus::FileDisk::create(folder); });
  auto& files = *std::get<0>(disk);
  auto file = base::Capture([&] { return files.Create("floor"); });
  base::Capture([&] { return std::get<0>(file)->Reserve(reserved_bytes); });
  base::Capture([&] { return std::get<0>(file)->Sync(); });
  const std::string record(static_cast<std::size_t>(bytes), 'x');
  std::vector<double> samples;
  const Instant begin = Now();
  for (int i = 0; i < count; ++i) {
    const Instant start = Now();
    base::Capture([&] { return std::get<0>(file)->Append(record); });
    base::Capture([&] { return std::get<0>(file)->Sync(); });
    samples.push_back(Microseconds(Now() - start));
  }
  return Summarize(std::move(samples), Microseconds(Now() - begin) / 1e6);
}

}  // namespace

Latencies MeasureFsync(const std::string& folder, int count, int bytes) {
  return MeasureSync(folder, count, bytes, 0);
}

Latencies MeasureReservedSync(const std::string& folder, int count, int bytes) {
  return MeasureSync(
      folder, count, bytes,
      static_cast<std::uint64_t>(count) * static_cast<std::uint64_t>(bytes));
}

Latencies MeasureSharedFsync(const std::string& folder,
                             int count,
                             int bytes,
                             int writers) {
  std::vector<std::future<Latencies>> results;
  results.reserve(static_cast<std::size_t>(writers));
  for (int i = 0; i < writers; ++i) {
    results.push_back(std::async(std::launch::async, [&, i] {
      return MeasureFsync(folder + std::to_string(i), count, bytes);
    }));
  }
  Latencies worst;
  for (auto& result : results) {
    const Latencies latencies = result.get();
    worst.median_us = std::max(worst.median_us, latencies.median_us);
    worst.p99_us = std::max(worst.p99_us, latencies.p99_us);
    worst.per_second += latencies.per_second;
  }
  return worst;
}

Latencies MeasureRoundTrip(int count) {
  net::EventLoop server_loop;
  net::EventLoop client_loop;
  auto server = base::Capture([&] {
    return net::MessageServer::create(
        server_loop,
        {.address = {.ip = "127.0.0.1", .port = 0},
         .cluster = "bench",
         .handler = [](auto, std::string body, const net::MessageReply& reply) {
           reply(std::move(body));
         }});
  });
  auto channel = base::Capture([&] {
    return net::MessageChannel::create(
        client_loop,
        {.peer = std::get<0>(server)->address(), .cluster = "bench"});
  });
  std::vector<double> samples;
  const Instant begin = Now();
  for (int i = 0; i < count; ++i) {
    std::promise<void> done;
    const Instant start = Now();
    std::get<0>(channel)->Call(1, std::string(64, 'x'), kLong,
                               [&](const auto&) { done.set_value(); });
    done.get_future().get();
    samples.push_back(Microseconds(Now() - start));
  }
  return Summarize(std::move(samples), Microseconds(Now() - begin) / 1e6);
}

Latencies MeasureCommits(const std::string& folder,
                         int count,
                         int bytes,
                         int concurrent) {
  LocalGroup group(3, 0, folder);
  const int leader = group.AwaitLeader(kLong);
  consensus::ReplicaRuntime& runtime = *group.host(leader)->runtime;
  CommitLoad(runtime, 50, bytes).Run(1);
  const Instant begin = Now();
  auto samples = CommitLoad(runtime, count, bytes).Run(concurrent);
  return Summarize(std::move(samples), Microseconds(Now() - begin) / 1e6);
}

std::vector<double> MeasureFailovers(const std::string& folder, int count) {
  LocalGroup group(3, 0, folder);
  std::vector<double> samples;
  for (int i = 0; i < count; ++i) {
    const int leader = group.AwaitLeader(kLong);
    group.Propose(leader, "before", kLong);
    // The next leader's followers must all hear it before it goes too.
    std::this_thread::sleep_for(milliseconds(700));
    const Instant start = Now();
    group.Stop(leader);
    const int next = group.AwaitLeader(kLong);
    group.Propose(next, "after", kLong);
    samples.push_back(Microseconds(Now() - start) / 1e6);
    group.Start(leader);
  }
  return samples;
}

IdleCost MeasureIdle(const std::string& folder, int members, int duration) {
  const int voters = std::min(members, 5);
  LocalGroup group(voters, members - voters, folder);
  const int leader = group.AwaitLeader(kLong);
  std::this_thread::sleep_for(seconds(1));
  std::vector<std::uint64_t> before;
  before.reserve(static_cast<std::size_t>(members));
  for (int i = 0; i < members; ++i)
    before.push_back(BytesSent(*group.host(i)));
  const double cpu = CpuSeconds();
  std::this_thread::sleep_for(seconds(duration));
  IdleCost cost{.cpu_percent = (CpuSeconds() - cpu) * 100 / duration / members};
  for (int i = 0; i < members; ++i) {
    const auto bytes = static_cast<double>(BytesSent(*group.host(i)) -
                                           before[static_cast<std::size_t>(i)]);
    cost.mean_bytes += bytes / duration / members;
    if (i == leader)
      cost.leader_bytes = bytes / duration;
  }
  return cost;
}

double MeasureRestart(const std::string& folder, int changes) {
  {
    LocalGroup group(1, 0, folder);
    const int leader = group.AwaitLeader(kLong);
    CommitLoad(*group.host(leader)->runtime, changes, 200).Run(256);
  }
  const Instant start = Now();
  auto disk = base::Capture(
      [&] { return consensus::FileDisk::create(folder + "/host-0"); });
  auto storage = base::Capture([&] {
    return consensus::LogStorage::create({.disk = std::get<0>(disk).get(),
                                          .group = "test",
                                          .host = base::HostId("host-0")});
  });
  consensus::TextMachine machine;
  consensus::ReplicaDriverOptions options;
  options.replica.host = base::HostId("host-0");
  options.replica.stored = std::get<0>(storage)->TakeStoredState();
  options.state_machine = &machine;
  const auto driver = base::Capture([&] {
    return consensus::ReplicaDriver::create(std::move(options), Now());
  });
  return Microseconds(Now() - start) / 1e6;
}

RecordMemory MeasureRecords(int records, int answer_bytes) {
  constexpr double kMegabyte = 1024.0 * 1024.0;
  const double before = ResidentMegabytes();
  records::RecordTable table;
  for (int i = 0; i < records; ++i) {
    const auto number = static_cast<std::uint64_t>(i);
    const records::RecordKey key{
        .customer = base::CustomerId("customer"),
        .key = "request-" + std::to_string(1'000'000'000 + i) + "-0123456789"};
    const records::ClaimAttempt attempt{.host = base::HostId("host-1"),
                                        .number = number};
    constexpr std::int64_t kTime = 1'000'000'000;
    table.Apply(records::Claim{.key = key,
                               .fingerprint = number,
                               .attempt = attempt,
                               .time_milliseconds = kTime,
                               .issued_milliseconds = kTime});
    table.Apply(records::Complete{
        .key = key,
        .attempt = attempt,
        .time_milliseconds = kTime,
        .answer = {
            .status = 200,
            .content_type = "application/json",
            .body = std::string(static_cast<std::size_t>(answer_bytes), 'a'),
            .upstream = base::UpstreamId("upstream-1")}});
  }
  RecordMemory memory{
      .table_megabytes = ResidentMegabytes() - before,
      .answers_megabytes =
          static_cast<double>(table.stored_answer_bytes()) / kMegabyte};
  std::string snapshot = table.Snapshot();
  memory.snapshot_megabytes = static_cast<double>(snapshot.size()) / kMegabyte;
  WriteSnapshot(std::move(snapshot));
  memory.peak_megabytes = PeakResidentMegabytes() - before;
  return memory;
}

RecordMemory MeasureJobs(int jobs) {
  constexpr double kMegabyte = 1024.0 * 1024.0;
  const double before = ResidentMegabytes();
  const JobsOf table(jobs);
  RecordMemory memory{.table_megabytes = ResidentMegabytes() - before};
  std::string snapshot = table.state.Snapshot();
  memory.snapshot_megabytes = static_cast<double>(snapshot.size()) / kMegabyte;
  WriteSnapshot(std::move(snapshot));
  memory.peak_megabytes = PeakResidentMegabytes() - before;
  return memory;
}

}  // namespace wigeonstair::bench
