// The cases of the first attempt at this review.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include "cases.hpp"

namespace review {

namespace {

using Verdict = int;
constexpr Verdict kNotPlayed = kCannotRun;

// The length of a freeze in the list of disturbances of sbl-klok.
constexpr double kFreezeS = 4.0;

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void WaitUntil(double seconds) {
  while (Seconds() < seconds)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

// The lines "started WORKER ZONE TASK ATTEMPT" of the record.
struct Start {
  double at = 0;
  std::string worker;
  std::string zone;
  std::string task;
};

std::vector<Start> Starts() {
  std::vector<Start> starts;
  for (const RecordedLine& line : ReadRecord()) {
    if (line.words.size() >= 5 && line.words[0] == "started")
      starts.push_back({line.at, line.words[1], line.words[2], line.words[3]});
  }
  return starts;
}

// An evacuation is taken back while a scheduler is frozen, and begun again. The
// scheduler that wakes must not take it back a second time.
Verdict Evacuation() {
  Installation installation(2);
  if (!installation.Begin())
    return kNotPlayed;
  const std::string zone = Installation::Zone(0);
  const int frozen = installation.Follower();
  const int other = (frozen + 1) % 3;
  const std::string begin = "/-/evacuate/" + zone + "/start";
  const std::string end = "/-/evacuate/" + zone + "/end";
  if (!installation.Operate(begin, "", other))
    return kNotPlayed;
  WaitUntil(Seconds() + 2);
  if (HasTrouble())
    installation.Freeze(Installation::SchedulerName(frozen));
  const double froze = Seconds();
  WaitUntil(froze + 0.2);
  if (!installation.Operate(end, "", frozen))
    return kNotPlayed;
  WaitUntil(froze + 2.5);
  if (!installation.Operate(begin, "", other))
    return kNotPlayed;
  const double acknowledged = Seconds();
  WaitUntil(froze + kFreezeS);
  if (HasTrouble())
    installation.Thaw(Installation::SchedulerName(frozen));
  const double thawed = Seconds();
  // From then on all machines are in touch, and the evacuation is in force.
  const double from = std::max(acknowledged + kEvacuateS, thawed + kContactS);
  while (Seconds() < from + 8) {
    const Response response = installation.Consume(
        "POST", Installation::NewId(), Installation::Job(500, 2), 0);
    if (response.status != 200 && Seconds() > from)
      return kNotPlayed;
    WaitUntil(Seconds() + 0.4);
  }
  if (installation.HasLostProcess())
    return kNotPlayed;
  bool anywhere = false;
  bool broken = false;
  for (const Start& start : Starts()) {
    if (start.at < from)
      continue;
    anywhere = true;
    if (start.zone != zone)
      continue;
    broken = true;
    Record("EVAC broken by the start of " + start.task + " on " + start.worker +
           " at " + std::to_string(start.at) + ", acknowledged at " +
           std::to_string(acknowledged));
  }
  if (!anywhere)
    return kNotPlayed;
  return broken ? kBroken : kHeld;
}

// A consumer leaves a gateway that is frozen and cancels its job at another
// one. The gateway that wakes must not hand the job in any more.
Verdict Cancelled() {
  Installation installation(2);
  if (!installation.Begin())
    return kNotPlayed;
  const std::string job = Installation::NewId();
  if (HasTrouble())
    installation.Freeze(Installation::GatewayName(0));
  const double froze = Seconds();
  WaitUntil(froze + 0.05);
  installation.Consume("POST", job, Installation::Job(4000, 2, 2), 0);
  const Response cancelled = installation.Consume("DELETE", job, "", 1);
  if (cancelled.status != 200 && cancelled.status != 410)
    return kNotPlayed;
  const double acknowledged = Seconds();
  WaitUntil(froze + kFreezeS);
  if (HasTrouble())
    installation.Thaw(Installation::GatewayName(0));
  WaitUntil(Seconds() + 10);
  installation.Consume("GET", job, "", 1);
  if (installation.HasLostProcess())
    return kNotPlayed;
  bool broken = false;
  for (const Start& start : Starts()) {
    if (JobOf(start.task) != job || start.at <= acknowledged + kCancelS)
      continue;
    broken = true;
    Record("UNASKED broken by the start of " + start.task + " on " +
           start.worker + " at " + std::to_string(start.at) +
           ", its cancelling acknowledged at " + std::to_string(acknowledged));
  }
  return broken ? kBroken : kHeld;
}

// An idle worker is lost for good, and a job comes right after that.
Verdict LostWorker() {
  Installation installation(3);
  if (!installation.Begin())
    return kNotPlayed;
  // The scheduler keeps its channel to the worker that ran a task.
  const std::string first = Installation::NewId();
  if (installation.Consume("POST", first, Installation::Job(500, 8), 0)
          .status != 200) {
    return kNotPlayed;
  }
  WaitUntil(Seconds() + 3);
  std::string worker;
  for (const Start& start : Starts()) {
    if (JobOf(start.task) == first)
      worker = start.worker;
  }
  if (worker.empty())
    return kNotPlayed;
  if (HasTrouble())
    installation.Kill(worker);
  WaitUntil(Seconds() + 0.2);
  const std::string job = Installation::NewId();
  if (installation.Consume("POST", job, Installation::Job(500, 8), 0).status !=
      200) {
    return kNotPlayed;
  }
  // The traffic ends here; five workers are idle.
  const double ended = Seconds();
  const double until = ended + kFinishS + 3;
  WaitUntil(until);
  const Response state = installation.Consume("GET", job, "", 0);
  bool started = false;
  for (const Start& start : Starts())
    started = started || (JobOf(start.task) == job && start.at < until);
  if (!started) {
    Record("LOST broken: " + job + " has not started " +
           std::to_string(until - ended) + " s after the end of the traffic");
  }
  // For the record: when it starts after all.
  WaitUntil(until + 8);
  installation.Consume("GET", job, "", 0);
  if (installation.HasLostProcess() || state.status == 0)
    return kNotPlayed;
  return started ? kHeld : kBroken;
}

// Whether two runs of one task were at work at the same time, by the record.
bool HasTwoRuns() {
  struct Run {
    double from = 0;
    double to = 0;
    std::string worker;
    std::string task;
    std::string attempt;
  };
  std::vector<Run> runs;
  for (const RecordedLine& line : ReadRecord()) {
    if (line.words.size() < 5)
      continue;
    if (line.words[0] == "started") {
      runs.push_back(
          {line.at, Seconds(), line.words[1], line.words[3], line.words[4]});
    } else if (line.words[0] == "ended") {
      for (Run& run : runs) {
        if (run.worker == line.words[1] && run.task == line.words[3] &&
            run.attempt == line.words[4] && run.from <= line.at)
          run.to = std::min(run.to, line.at);
      }
    }
  }
  bool found = false;
  for (const Run& a : runs) {
    for (const Run& b : runs) {
      if (a.task != b.task || a.from >= b.from || b.from >= a.to)
        continue;
      found = true;
      Record("TWICE broken: " + a.task + " on " + a.worker + " as " +
             a.attempt + " until " + std::to_string(a.to) + " and on " +
             b.worker + " as " + b.attempt + " from " + std::to_string(b.from));
    }
  }
  return found;
}

// A worker leaves a start unanswered and restarts twice before it is carried
// out, the first time without a reset of its channels (`dark`), the second time
// behind a cut.
Verdict LateStart() {
  Installation installation(3);
  if (!installation.Begin())
    return kNotPlayed;
  // The scheduler prefers the lowest id among equals.
  const std::string worker = "i-1000";
  if (HasTrouble())
    installation.Tell(worker, "late-start");
  const std::string job = Installation::NewId();
  if (installation.Consume("POST", job, Installation::Job(25000, 2), 0)
          .status != 200) {
    return kNotPlayed;
  }
  const double began = Seconds();
  WaitUntil(began + 0.1);
  if (HasTrouble())
    installation.Tell(worker, "restart-silently");
  WaitUntil(began + 4.4);
  if (HasTrouble()) {
    installation.Tell(worker, "cut");
    installation.Tell(worker, "restart-silently");
  }
  WaitUntil(began + 9.9);
  if (HasTrouble())
    installation.Tell(worker, "join");
  WaitUntil(began + 25);
  installation.Consume("GET", job, "", 0);
  if (installation.HasLostProcess())
    return kNotPlayed;
  return HasTwoRuns() ? kBroken : kHeld;
}

// A worker's list holds, once, an end of another writer. What the worker has
// done must not be started again.
Verdict ForeignEnd() {
  Installation installation(2);
  if (!installation.Begin())
    return kNotPlayed;
  const std::string job = Installation::NewId();
  if (installation.Consume("POST", job, Installation::Job(4000, 8), 0).status !=
      200) {
    return kNotPlayed;
  }
  WaitUntil(Seconds() + 1);
  const std::vector<Start> starts = Starts();
  if (starts.empty())
    return kNotPlayed;
  if (HasTrouble())
    installation.ListForeignEnd(starts.back().worker);
  WaitUntil(Seconds() + 20);
  installation.Consume("GET", job, "", 0);
  if (installation.HasLostProcess())
    return kNotPlayed;
  // Ends of tasks, and whether LastSeen has reached them.
  struct DoneEnd {
    double at = 0;
    std::string worker;
    std::string task;
    long number = 0;
    bool noted = false;
  };
  std::vector<DoneEnd> ends;
  bool broken = false;
  const std::vector<RecordedLine> lines = ReadRecord();
  for (const RecordedLine& line : lines) {
    if (line.words.size() >= 8 && line.words[0] == "ended" &&
        line.words[5] == "done") {
      ends.push_back(
          {line.at, line.words[1], line.words[3], std::stol(line.words[7])});
    }
  }
  // The highest LastSeen of each worker, at any time after the end.
  for (DoneEnd& end : ends) {
    for (const RecordedLine& line : lines) {
      const bool reaches = line.words.size() >= 3 && line.words[0] == "seen" &&
                           line.words[1] == end.worker &&
                           std::stol(line.words[2]) >= end.number;
      end.noted = end.noted || reaches;
    }
  }
  for (const DoneEnd& end : ends) {
    for (const Start& start : Starts()) {
      if (!end.noted || start.task != end.task || start.at <= end.at)
        continue;
      broken = true;
      Record("TWICE broken by the start of " + start.task + " on " +
             start.worker + " at " + std::to_string(start.at) + ", done on " +
             end.worker + " at " + std::to_string(end.at));
    }
  }
  return broken ? kBroken : kHeld;
}

// A worker's list holds a row of another writer. The schedulers must go on.
Verdict ForeignRow() {
  Installation installation(2);
  if (!installation.Begin())
    return kNotPlayed;
  const std::string job = Installation::NewId();
  if (installation.Consume("POST", job, Installation::Job(30000, 8), 0)
          .status != 200) {
    return kNotPlayed;
  }
  WaitUntil(Seconds() + 1);
  const std::vector<Start> starts = Starts();
  if (starts.empty())
    return kNotPlayed;
  if (HasTrouble())
    installation.ListForeignRow(starts.back().worker);
  // The bound of the rule: on half of the core, so on two of three machines,
  // processes end by themselves three times.
  std::map<std::string, int> ends;
  const auto broken = [&] {
    return std::count_if(ends.begin(), ends.end(), [](const auto& machine) {
             return machine.second >= 3;
           }) >= 2;
  };
  const double begin = Seconds();
  while (Seconds() < begin + (HasTrouble() ? 80 : 20) && !broken()) {
    for (const std::string& name : installation.RestartLost())
      ++ends[name];
    WaitUntil(Seconds() + 0.2);
  }
  installation.Consume("GET", job, "", 0);
  installation.Consume("POST", Installation::NewId(), Installation::Job(500, 1),
                       1);
  if (!broken())
    return kHeld;
  for (const auto& [name, count] : ends)
    Record("Fault broken: " + name + " ended by itself " +
           std::to_string(count) + " times");
  return kBroken;
}

}  // namespace

std::optional<int> PlayOlder(const std::string& name) {
  const std::map<std::string, Verdict (*)()> cases{
      {"evacuation", Evacuation}, {"cancelled", Cancelled},
      {"lost-worker", LostWorker}, {"foreign-row", ForeignRow},
      {"foreign-end", ForeignEnd}, {"late-start", LateStart}};
  const auto chosen = cases.find(name);
  if (chosen == cases.end())
    return std::nullopt;
  return chosen->second();
}

}  // namespace review
