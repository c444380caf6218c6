#include <algorithm>
#include <optional>
#include <set>
#include <string>

#include "cases.hpp"

namespace review {

namespace {

// From then on after the last run of a task that lasts, LOST counts 3 s without
// a run.
constexpr double kRestartS = 6;
constexpr double kIdleS = 3;

// The longest time for which no task of the job ran, after its first start.
std::optional<double> LongestIdle(const std::string& job) {
  std::set<std::string> running;
  bool started = false;
  bool idle = false;
  double idle_since = 0;
  double longest = 0;
  for (const RecordedLine& line : ReadRecord()) {
    const auto& words = line.words;
    if (words.size() < 5 || !words[3].starts_with(job))
      continue;
    if (words[0] == "started") {
      started = true;
      running.insert(words[3] + " " + words[4]);
      if (idle)
        longest = std::max(longest, line.at - idle_since);
      idle = false;
    } else if (words[0] == "ended") {
      running.erase(words[3] + " " + words[4]);
      idle = running.empty();
      idle_since = line.at;
    }
  }
  if (idle)
    longest = std::max(longest, Seconds() - idle_since);
  return started ? std::optional(longest) : std::nullopt;
}

}  // namespace

int LastingGang(bool trouble) {
  Installation here(TwoTenants(1));
  if (!here.Begin())
    return kCannotRun;
  const std::string job = Installation::NewId();
  // With the disruption the first run ends after 4 s; others last.
  const std::string body =
      std::string("{\"Spec\":\"") +
      (trouble ? "4000 once gang=2" : "0 gang=2") +
      "\",\"Steps\":[{\"Count\":2,\"Cpu\":2000,\"MemMb\":1024,\"Gpu\":1,"
      "\"EstimateMs\":4000,\"Gang\":true,\"LongRunning\":true}]}";
  if (here.ConsumeAt("POST", kUrgent, "exporter", job, body, 0).status != 200)
    return kCannotRun;
  for (int i = 0; i < 25; ++i) {
    Sleep(1000);
    here.ConsumeAt("GET", kUrgent, "exporter", job, "", i % 2);
  }
  const std::optional<double> idle = LongestIdle(job);
  if (!idle)
    return kCannotRun;
  Record("longest time without a run: " + std::to_string(*idle) + " s");
  return *idle > kRestartS + kIdleS ? kBroken : kHeld;
}

}  // namespace review
