#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "benchmarks/state/measurements.h"
#include "report/benchmark_result.h"
#include "tests/consensus/local_group.h"

namespace {

using wigeonstair::bench::Latencies;
namespace report = wigeonstair::report;

// The encoded size of a command of kCommandBytes with its frame and entry.
constexpr int kCommandBytes = 200;
constexpr int kRecordBytes = 235;

// Commit latency depends on the disk and on what else uses it, so its
// regression bound is wider than its target.
constexpr double kLatencyBound = 4;

int missed = 0;
int broken = 0;
report::BenchmarkResult result;

void Store(const std::string& what,
           double value,
           const char* unit,
           const std::string& target,
           const char* verdict) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.2f ", value);
  result.tables.front().rows.push_back(
      {what, text + std::string(unit), target, verdict});
}

void Row(const std::string& what, double value, const char* unit) {
  std::printf("%-46s %12.2f %s\n", what.c_str(), value, unit);
  Store(what, value, unit, "-", "-");
}

void Target(const std::string& what,
            double value,
            double target,
            const char* unit,
            double bound_factor = 1) {
  const bool met = value <= target;
  broken += value <= target * bound_factor ? 0 : 1;
  missed += met ? 0 : 1;
  std::printf("%-46s %12.2f %s, target %.2f: %s\n", what.c_str(), value, unit,
              target, met ? "met" : "missed");
  char text[40];
  std::snprintf(text, sizeof(text), "<= %.2f", target);
  Store(what, value, unit, text, met ? "met" : "missed");
}

void Commits(const std::string& folder, int count) {
  const Latencies floor =
      wigeonstair::bench::MeasureFsync(folder + "/floor", count, kRecordBytes);
  const Latencies reserved = wigeonstair::bench::MeasureReservedSync(
      folder + "/reserved", count, kRecordBytes);
  // The three voters of this benchmark share a disk, which those of a real
  // deployment do not.
  const Latencies shared = wigeonstair::bench::MeasureSharedFsync(
      folder + "/shared", count, kRecordBytes, 3);
  const Latencies trip = wigeonstair::bench::MeasureRoundTrip(count);
  const Latencies single = wigeonstair::bench::MeasureCommits(
      folder + "/single", count, kCommandBytes, 1);
  const Latencies many = wigeonstair::bench::MeasureCommits(
      folder + "/many", count * 20, kCommandBytes, 64);
  Row("fsync of one record, median", floor.median_us, "us");
  Row("fsync of one record, p99", floor.p99_us, "us");
  Row("fsyncs of one record", floor.per_second, "/s");
  Row("sync of one record in reserved space, median", reserved.median_us, "us");
  Row("sync of one record in reserved space, p99", reserved.p99_us, "us");
  Row("fsync by 3 writers at once, median", shared.median_us, "us");
  Row("fsync by 3 writers at once, p99", shared.p99_us, "us");
  Row("round trip on loopback, median", trip.median_us, "us");
  Row("round trip on loopback, p99", trip.p99_us, "us");
  Target("commit latency, 1 open, median", single.median_us,
         2 * floor.median_us + trip.median_us, "us", kLatencyBound);
  Target("commit latency, 1 open, p99", single.p99_us,
         2 * floor.p99_us + trip.p99_us, "us", kLatencyBound);
  Row("commits, 1 open", single.per_second, "/s");
  Row("commit latency, 64 open, median", many.median_us, "us");
  Row("commit latency, 64 open, p99", many.p99_us, "us");
  Row("commits, 64 open", many.per_second, "/s");
  result.plots.push_back(report::MakeHistogram(
      "Latency of commits and of the disk",
      {.label = "latency", .unit = "us", .scale = report::Scale::kLogarithmic},
      {{.name = "fsync of one record", .values = floor.samples_us},
       {.name = "sync in reserved space", .values = reserved.samples_us},
       {.name = "commit, 1 open", .values = single.samples_us},
       {.name = "commit, 64 open", .values = many.samples_us}}));
}

void Failovers(const std::string& folder, int count) {
  auto samples =
      wigeonstair::bench::MeasureFailovers(folder + "/failover", count);
  std::sort(samples.begin(), samples.end());
  // A heartbeat is 0.3 s.
  Row("failover, median", samples[samples.size() / 2] / 0.3, "heartbeats");
  Row("failover, worst", samples.back() / 0.3, "heartbeats");
  Target("failover, worst", samples.back(), 2, "s");
}

void Idle(const std::string& folder, int duration) {
  report::Plot bytes{.title = "Traffic of an idle group against size",
                     .x = {.label = "members"},
                     .y = {.label = "sent", .unit = "bytes/s"},
                     .series = {{.name = "leader", .points = {}},
                                {.name = "mean of all", .points = {}}}};
  report::Plot cpu{.title = "Processor use of an idle group against size",
                   .x = {.label = "members"},
                   .y = {.label = "use per host", .unit = "% of a core"},
                   .series = {{.name = "control work", .points = {}}}};
  for (const int members : {3, 5, 9, 30}) {
    const std::string name = std::to_string(members) + " members";
    const auto cost = wigeonstair::bench::MeasureIdle(
        folder + "/idle" + std::to_string(members), members, duration);
    Target("idle, " + name + ", sent by the leader", cost.leader_bytes, 3000,
           "B/s");
    Row("idle, " + name + ", sent per host", cost.mean_bytes, "B/s");
    Target("idle, " + name + ", CPU per host", cost.cpu_percent, 2.1, "%");
    const double size = members;
    bytes.series[0].points.push_back({.x = size, .y = cost.leader_bytes});
    bytes.series[1].points.push_back({.x = size, .y = cost.mean_bytes});
    cpu.series[0].points.push_back({.x = size, .y = cost.cpu_percent});
  }
  result.plots.push_back(std::move(bytes));
  result.plots.push_back(std::move(cpu));
}

void Restarts(const std::string& folder) {
  std::vector<std::pair<int, double>> points;
  report::Series series{.name = "restart", .points = {}};
  for (const int changes : {1000, 4000, 16000, 64000}) {
    const double seconds = wigeonstair::bench::MeasureRestart(
        folder + "/restart" + std::to_string(changes), changes);
    points.emplace_back(changes, seconds);
    series.points.push_back(
        {.x = static_cast<double>(changes), .y = seconds * 1e3});
    Row("restart after " + std::to_string(changes) + " changes", seconds * 1e3,
        "ms");
  }
  const double slope = (points.back().second - points.front().second) /
                       (points.back().first - points.front().first);
  Row("restart, slope from first to last", slope * 1e9, "ns per change");
  result.plots.push_back(
      {.title = "Restart of a voter against its changes",
       .x = {.label = "changes in the log"},
       .y = {.label = "time to open the folder", .unit = "ms"},
       .series = {std::move(series)}});
}

// One table in each process: memory that a former one has left would be used
// again and not be seen.
void Records(int count, int answer_bytes) {
  const auto memory = wigeonstair::bench::MeasureRecords(count, answer_bytes);
  const std::string name = std::to_string(count) + " records of " +
                           std::to_string(answer_bytes) + " B";
  // The whole process may use 256 MB; without tables it uses about 20 MB.
  Target(name + ", memory", memory.table_megabytes, 236, "MB");
  Row(name + ", answers", memory.answers_megabytes, "MB");
  Row(name + ", peak with a snapshot", memory.peak_megabytes, "MB");
  Row(name + ", snapshot", memory.snapshot_megabytes, "MB");
}

void Jobs(int count) {
  const auto memory = wigeonstair::bench::MeasureJobs(count);
  const std::string name = std::to_string(count) + " jobs";
  Row(name + ", memory", memory.table_megabytes, "MB");
  Row(name + ", peak with a snapshot", memory.peak_megabytes, "MB");
  Row(name + ", snapshot", memory.snapshot_megabytes, "MB");
}

int Usage(const char* program) {
  std::fprintf(stderr,
               "usage: %s [--check] [--commits N] [--failovers N] "
               "[--idle-seconds N] [--data FILE] | [--answer-bytes N] "
               "--records N | --jobs N\n"
               "--check fails when a bound is broken: failover 2 s, idle "
               "traffic 3 KB/s and 2.1%% CPU per host, commit latency 4 times "
               "its target.\n",
               program);
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  result = report::DescribeRun("Replicated state", argc, argv);
  result.tables.push_back(
      {.title = "Measures and targets",
       .columns = {"measure", "result", "target", "verdict"},
       .rows = {}});
  const std::string data = report::TakeDataFlag(argc, argv);
  const option options[] = {{"check", no_argument, nullptr, 'k'},
                            {"commits", required_argument, nullptr, 'c'},
                            {"failovers", required_argument, nullptr, 'f'},
                            {"idle-seconds", required_argument, nullptr, 'i'},
                            {"answer-bytes", required_argument, nullptr, 'a'},
                            {"records", required_argument, nullptr, 'r'},
                            {"jobs", required_argument, nullptr, 'j'},
                            {nullptr, 0, nullptr, 0}};
  int count = 500;
  int failovers = 10;
  int idle_seconds = 10;
  int answer_bytes = 1;
  bool check = false;
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    const int value =
        optarg == nullptr
            ? 1
            : std::max(1, static_cast<int>(std::strtol(optarg, nullptr, 10)));
    if (chosen == 'r') {
      Records(value, answer_bytes);
      return check && broken > 0 ? 1 : 0;
    }
    if (chosen == 'j') {
      Jobs(value);
      return 0;
    }
    if (chosen == 'a') {
      answer_bytes = value;
    } else if (chosen == 'k') {
      check = true;
    } else if (chosen == 'c') {
      count = value;
    } else if (chosen == 'f') {
      failovers = value;
    } else if (chosen == 'i') {
      idle_seconds = value;
    } else {
      return Usage(argv[0]);
    }
  }
  const wigeonstair::consensus::TemporaryFolder folder;
  Commits(folder.path(), count);
  Failovers(folder.path(), failovers);
  Idle(folder.path(), idle_seconds);
  Restarts(folder.path());
  std::printf("targets missed: %d, bounds broken: %d\n", missed, broken);
  if (!report::StoreResult(data, result))
    return 1;
  return check && broken > 0 ? 1 : 0;
}
