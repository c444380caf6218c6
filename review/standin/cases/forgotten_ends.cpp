#include <map>
#include <set>
#include <string>

#include "cases.hpp"

namespace review {

namespace {

constexpr char kWorker[] = "i-1000";
constexpr double kFreezeS = 3.5;
// The longest `node_freeze` of the site.
constexpr double kLongestFreezeS = 4.0;

// Tasks that were started again after a worker's end `done` of theirs, of which
// a call with a LastSeen had taken note in the same life of the worker.
std::set<std::string> RunAgain() {
  std::map<std::string, std::map<int, std::string>> ends;
  std::set<std::string> noted;
  std::set<std::string> again;
  for (const RecordedLine& line : ReadRecord()) {
    const auto& words = line.words;
    if (words.size() > 1 && words[0] == "restarted") {
      ends[words[1]].clear();
    } else if (words.size() > 7 && words[0] == "ended" && words[5] == "done") {
      ends[words[1]][std::stoi(words[7])] = words[3];
    } else if (words.size() > 2 && words[0] == "forgot") {
      const auto found = ends[words[1]].find(std::stoi(words[2]));
      if (found != ends[words[1]].end())
        noted.insert(found->second);
    } else if (words.size() > 4 && words[0] == "started" &&
               noted.contains(words[3])) {
      again.insert(words[3]);
    }
  }
  return again;
}

int StartsInSecondLife() {
  int starts = 0;
  bool second = false;
  for (const RecordedLine& line : ReadRecord()) {
    if (line.words.size() < 2 || line.words[1] != kWorker)
      continue;
    second = second || line.words[0] == "restarted";
    starts += second && line.words[0] == "started";
  }
  return starts;
}

}  // namespace

int ForgottenEnds(bool trouble) {
  Installation here(TwoTenants(3));
  if (!here.Begin())
    return kCannotRun;
  // Short jobs go to the first of the idle workers.
  const auto hand_in = [&](int gateway) {
    return here
               .ConsumeAt("POST", kUrgent, "exporter", Installation::NewId(),
                          Installation::Job(200, 1), gateway)
               .status == 200;
  };
  // The worker has ends of which the leader takes note.
  for (int i = 0; i < 4; ++i) {
    if (!hand_in(0))
      return kCannotRun;
    Sleep(400);
  }
  Sleep(1500);
  const int follower = here.Follower();
  const double froze = Seconds();
  if (trouble) {
    here.Freeze(Installation::SchedulerName(follower));
    Sleep(300);
    here.Tell(kWorker, "restart-" + std::to_string(follower));
  }
  for (int i = 0; i < 10; ++i) {
    hand_in(i % 2);
    Sleep(100);
  }
  while (Seconds() < froze + kFreezeS)
    Sleep(5);
  if (trouble) {
    here.Thaw(Installation::SchedulerName(follower));
    if (Seconds() > froze + kLongestFreezeS)
      return kCannotRun;
  }
  Sleep(10'000);
  if (trouble && StartsInSecondLife() == 0)
    return kCannotRun;
  const std::set<std::string> again = RunAgain();
  for (const std::string& task : again)
    Record("run again after a noted end: " + task);
  return again.empty() ? kHeld : kBroken;
}

}  // namespace review
