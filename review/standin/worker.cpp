#include "worker.hpp"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "record.hpp"

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Set by SIGUSR1: from then on the lists hold a row of another writer.
volatile sig_atomic_t lists_foreign_row = 0;
// Set by SIGUSR2: the next list of ends holds one of another writer.
volatile sig_atomic_t lists_foreign_end = 0;

struct Run {
  std::uint64_t attempt = 0;
  std::uint64_t began_ms = 0;
  // Lasts until it is stopped when it is 0.
  std::uint64_t works_ms = 0;
  // The number of its gang's tasks; 1 without one.
  std::uint64_t gang = 1;
  // All of the gang were present at a time.
  bool worked = false;
  bool stopping = false;
};

// How long a member waits for the others of its gang.
constexpr std::uint64_t kGangWaitMs = 3000;

std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

// A Spec is how many milliseconds the task works. Behind it may stand "gang=N",
// and "once": attempts after the first last until they are stopped.
Run NewRun(const std::string& spec, std::uint64_t attempt, std::uint64_t now_ms) {
  Run run{.attempt = attempt,
          .began_ms = now_ms,
          .works_ms = std::strtoull(spec.c_str(), nullptr, 10)};
  const std::size_t gang = spec.find("gang=");
  if (gang != std::string::npos)
    run.gang = std::strtoull(spec.c_str() + gang + 5, nullptr, 10);
  if (attempt > 1 && spec.find("once") != std::string::npos)
    run.works_ms = 0;
  return run;
}

struct End {
  std::uint64_t number = 0;
  std::string task;
  std::uint64_t attempt = 0;
  std::string how;
};

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

class Worker {
 public:
  explicit Worker(WorkerOptions options)
      : options_(std::move(options)),
        began_(steady_clock::now()),
        born_(UnixMs()) {}

  Response Handle(const Request& request);
  void Heartbeat();
  void Advance();

 private:
  std::uint64_t ClockMs() const {
    return 100'000 +
           static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          steady_clock::now() - began_)
                                          .count());
  }
  std::string Clock() const {
    return "\"ClockMs\":" + std::to_string(ClockMs()) +
           ",\"born\":" + std::to_string(born_);
  }
  Response Accepted() const { return {200, "{" + Clock() + "}"}; }
  Response Refused(const std::string& reason) const {
    return {409, "{" + Clock() + ",\"Reason\":\"" + reason + "\"}"};
  }
  // Calls of the case itself, with paths that begin with /standin/.
  Response Control(const std::string& command);
  // Starts again under the same id, and knows nothing of before.
  void Restart(bool silently);
  void CarryOutLate(const std::string& body, int after_ms);
  Response Execute(std::unique_lock<std::mutex>& lock, const Request& request);
  void ExtendLease(const std::string& body);
  void EndRun(const std::string& task, const std::string& how);
  Response Start(const std::string& body);
  Response Stop(const std::string& body);
  Response Hold(std::unique_lock<std::mutex>& lock, const std::string& body);

  const WorkerOptions options_;
  steady_clock::time_point began_;
  std::uint64_t born_;
  std::uint64_t sequence_ = 0;
  std::condition_variable heartbeat_due_;
  // The node that a new life calls first.
  std::size_t first_ = 0;
  // The next start is left unanswered and carried out this much later.
  int late_start_ms_ = 0;
  // Nothing arrives and nothing goes out.
  bool cut_ = false;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::uint64_t fence_ = 0;
  std::uint64_t lease_until_ms_ = 0;
  std::map<std::string, Run> runs_;
  // The highest attempt of each task that ended or was stopped here.
  std::map<std::string, std::uint64_t> ended_attempts_;
  std::vector<End> ends_;
  std::uint64_t last_end_ = 0;
  std::uint64_t last_seen_ = 0;
  std::string last_started_;
};

void Worker::ExtendLease(const std::string& body) {
  const std::uint64_t asked = NumberField(body, "DeadlineMs");
  const std::uint64_t longest =
      ClockMs() + static_cast<std::uint64_t>(options_.longest_lease_ms);
  lease_until_ms_ = std::max(lease_until_ms_, std::min(asked, longest));
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const Run run = runs_.at(task);
  runs_.erase(task);
  ends_.push_back({++last_end_, task, run.attempt, how});
  ended_attempts_[task] = std::max(ended_attempts_[task], run.attempt);
  Record("ended " + options_.id + " " + options_.zone + " " + task + " " +
         std::to_string(run.attempt) + " " + how + " number " +
         std::to_string(last_end_));
  ended_.notify_all();
}

Response Worker::Start(const std::string& body) {
  const std::string task = TextField(body, "Task");
  const std::uint64_t attempt = NumberField(body, "Attempt");
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.attempt == attempt)
    return Accepted();
  if (attempt <= ended_attempts_[task]) {
    ExtendLease(body);
    return Refused("old");
  }
  if (NumberField(body, "DeadlineMs") <= ClockMs())
    return Refused("late");
  ExtendLease(body);
  runs_[task] = NewRun(TextField(body, "Spec"), attempt, ClockMs());
  last_started_ = task;
  Record("started " + options_.id + " " + options_.zone + " " + task + " " +
         std::to_string(attempt) + " fence " + std::to_string(fence_));
  return Accepted();
}

Response Worker::Stop(const std::string& body) {
  const std::string task = TextField(body, "Task");
  const std::uint64_t attempt = NumberField(body, "Attempt");
  ended_attempts_[task] = std::max(ended_attempts_[task], attempt);
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.attempt <= attempt)
    running->second.stopping = true;
  return Accepted();
}

Response Worker::Hold(std::unique_lock<std::mutex>& lock,
                      const std::string& body) {
  ExtendLease(body);
  const std::uint64_t seen = NumberField(body, "LastSeen");
  if (seen != last_seen_) {
    Record("seen " + options_.id + " " + std::to_string(seen));
    last_seen_ = seen;
  }
  std::erase_if(ends_, [&](const End& end) {
    if (end.number > seen)
      return false;
    Record("forgot " + options_.id + " " + std::to_string(end.number));
    return true;
  });
  ended_.wait_for(lock, milliseconds(NumberField(body, "WaitMs")),
                  [&] { return !ends_.empty(); });
  std::string running;
  for (const auto& [task, run] : runs_) {
    const std::uint64_t percent =
        run.works_ms == 0 ? 100
                          : std::min<std::uint64_t>(
                                99, (ClockMs() - run.began_ms) * 100 /
                                        run.works_ms);
    running += std::string(running.empty() ? "" : ",") + "[\"" + task + "\"," +
               std::to_string(run.attempt) + ",\"\"," +
               std::to_string(percent) + ",0]";
  }
  if (lists_foreign_row != 0 && !last_started_.empty()) {
    const std::string job = last_started_.substr(0, last_started_.find('.'));
    const std::string task = job + ".0.4000000000.0";
    if (lists_foreign_row == 1)
      Record("listed " + options_.id + " [\"" + task + "\",1]");
    lists_foreign_row = 2;
    // Without what is saved and the percent.
    running += std::string(running.empty() ? "" : ",") + "[\"" + task + "\",1]";
  }
  std::string finished;
  for (const End& end : ends_) {
    finished += std::string(finished.empty() ? "" : ",") + "[" +
                std::to_string(end.number) + ",\"" + end.task + "\"," +
                std::to_string(end.attempt) + ",\"" + end.how + "\",\"\"]";
  }
  if (lists_foreign_end != 0) {
    lists_foreign_end = 0;
    const std::string row =
        "[1000000,\"00000000000000ff.0.0.0\",1,\"done\",\"\"]";
    Record("listed " + options_.id + " the end " + row);
    finished += (finished.empty() ? "" : ",") + row;
  }
  return {200, "{" + Clock() + ",\"Running\":[" + running + "],\"Finished\":[" +
                   finished + "]}"};
}

void Worker::Restart(bool silently) {
  for (const auto& [task, run] : runs_) {
    Record("ended " + options_.id + " " + options_.zone + " " + task + " " +
           std::to_string(run.attempt) + " gone number 0");
  }
  runs_.clear();
  ended_attempts_.clear();
  ends_.clear();
  last_end_ = last_seen_ = fence_ = lease_until_ms_ = sequence_ = 0;
  began_ = steady_clock::now();
  born_ = UnixMs();
  Record("restarted " + options_.id + " born " + std::to_string(born_) +
         (cut_ ? " cut" : ""));
  EndChannels(silently || cut_);
  heartbeat_due_.notify_all();
}

Response Worker::Control(const std::string& command) {
  if (command == "/standin/late-start")
    late_start_ms_ = 9000;
  if (command == "/standin/restart-silently") {
    Restart(true);
  } else if (command.starts_with("/standin/restart")) {
    // The first node that the new life calls; a caller may pick any.
    first_ = std::strtoull(command.c_str() + sizeof("/standin/restart-") - 1,
                           nullptr, 10) %
             options_.control.size();
    Restart(false);
  }
  if (command == "/standin/cut" || command == "/standin/join") {
    cut_ = command == "/standin/cut";
    Record((cut_ ? "cut " : "joined ") + options_.id);
  }
  return {200, "{}"};
}

// The call arrives later, at the life that the worker then has.
void Worker::CarryOutLate(const std::string& body, int after_ms) {
  Record("left unanswered by " + options_.id + " " + TextField(body, "Task") +
         " " + std::to_string(NumberField(body, "Attempt")) + ", to come " +
         std::to_string(after_ms) + " ms later");
  std::thread([this, body, after_ms] {
    std::this_thread::sleep_for(milliseconds(after_ms));
    std::unique_lock lock(mutex_);
    const Response response = Execute(lock, {.method = "POST",
                                             .path = "/-/run-start",
                                             .headers = {},
                                             .body = body});
    Record("carried out late by " + options_.id + ": " +
           std::to_string(response.status) + " " +
           TextField(response.body, "Reason"));
  }).detach();
}

// Status 0 leaves the call unanswered.
Response Worker::Handle(const Request& request) {
  std::unique_lock lock(mutex_);
  if (request.path.starts_with("/standin/"))
    return Control(request.path);
  if (cut_)
    return {};
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != options_.id)
    return {421, "{" + Clock() + "}"};
  if (request.path == "/-/run-start" && late_start_ms_ > 0) {
    CarryOutLate(request.body, std::exchange(late_start_ms_, 0));
    return {};
  }
  const std::uint64_t born = born_;
  Response response = Execute(lock, request);
  // An answer of a life that has ended, or into a cut, does not arrive.
  return cut_ || born != born_ ? Response() : response;
}

Response Worker::Execute(std::unique_lock<std::mutex>& lock,
                         const Request& request) {
  const std::uint64_t fence = NumberField(request.body, "FencingToken");
  if (fence < fence_)
    return Refused("fence");
  fence_ = fence;
  if (request.path == "/-/run-start")
    return Start(request.body);
  if (request.path == "/-/run-stop")
    return Stop(request.body);
  if (request.path == "/-/hold")
    return Hold(lock, request.body);
  return {404, "{}"};
}

// Ends what is done, stopped or without a lease.
void Worker::Advance() {
  while (true) {
    std::this_thread::sleep_for(milliseconds(10));
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> ends;
    for (const auto& [task, run] : runs_) {
      std::uint64_t present = 0;
      std::uint64_t began_ms = 0;
      for (const auto& [other, member] : runs_) {
        if (StepOf(other) == StepOf(task) && member.attempt == run.attempt) {
          ++present;
          began_ms = std::max(began_ms, member.began_ms);
        }
      }
      if (ClockMs() >= lease_until_ms_)
        ends[task] = "lapsed";
      else if (run.stopping)
        ends[task] = "stopped";
      else if (run.gang > 1 && present < run.gang)
        ends[task] = run.worked ? "broken"
                     : ClockMs() >= run.began_ms + kGangWaitMs ? "alone"
                                                               : "";
      else if (run.works_ms > 0 &&
               ClockMs() >= (run.gang > 1 ? began_ms : run.began_ms) +
                                run.works_ms)
        ends[task] = "done";
    }
    for (auto& [task, run] : runs_) {
      std::uint64_t present = 0;
      for (const auto& [other, member] : runs_)
        present += StepOf(other) == StepOf(task) && member.attempt == run.attempt;
      run.worked = run.worked || present >= run.gang;
    }
    std::erase_if(ends, [](const auto& end) { return end.second.empty(); });
    for (const auto& [task, how] : ends)
      EndRun(task, how);
  }
}

void Worker::Heartbeat() {
  std::size_t next = 0;
  Address to = options_.control.front();
  std::unique_lock lock(mutex_);
  std::uint64_t life = born_;
  while (true) {
    // A new life knows nothing of the address that a former one was told.
    if (std::exchange(life, born_) != born_) {
      next = first_;
      to = options_.control[next];
    }
    if (cut_) {
      heartbeat_due_.wait_for(lock, milliseconds(20));
      continue;
    }
    const std::string body =
        "{\"Service\":\"" + options_.service + "\",\"Address\":\"" +
        options_.address.ToString() + "\",\"Zone\":\"" + options_.zone +
        "\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready"
        "\",\"ColdRemainingMs\":0,\"Capacity\":{\"Cpu\":64000,\"MemMb\":"
        "131072,\"Gpu\":8},\"Labels\":[\"a\",\"" +
        options_.rack + "\"],\"Seq\":" + std::to_string(++sequence_) + "," +
        Clock() + "}";
    lock.unlock();
    const Response response =
        Send(to, "POST", "/-/instances/" + options_.id + "/heartbeat",
             {"Host: control"}, body, 1000);
    lock.lock();
    if (life != born_)
      continue;
    if (response.status < 200 || response.status >= 300) {
      next = (next + 1) % options_.control.size();
      to = options_.control[next];
      heartbeat_due_.wait_for(lock, milliseconds(50));
      continue;
    }
    const std::string wanted = TextField(response.body, "HeartbeatAddr");
    for (const Address& address : options_.control) {
      if (address.ToString() == wanted)
        to = address;
    }
    heartbeat_due_.wait_for(lock, milliseconds(options_.heartbeat_ms));
  }
}

}  // namespace

void RunWorker(const WorkerOptions& options) {
  Worker worker(options);
  signal(SIGUSR1, [](int) { lists_foreign_row = 1; });
  signal(SIGUSR2, [](int) { lists_foreign_end = 1; });
  std::thread([&] { worker.Advance(); }).detach();
  std::thread([&] { worker.Heartbeat(); }).detach();
  Serve(options.address,
        [&](const Request& request) { return worker.Handle(request); });
  std::exit(2);
}

}  // namespace review
