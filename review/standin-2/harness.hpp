// Stand-ins for the tests of the second review: the platform, which starts and
// stops processes and writes their settings, consumers, the operator, and
// workers. They speak what the users' pages say, on loopback addresses.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_2_HARNESS_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_2_HARNESS_HPP_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds since the start of the test, on the steady clock.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);
// Polls until the condition holds or the time has passed.
bool WaitFor(std::int64_t timeout_ms, const std::function<bool()>& condition);
// Whether the disruption is played (TROUBLE is not 0).
bool WithTrouble();

// Writes record.txt: what was sent, answered and run, with times.
class Record {
 public:
  static Record& Get();
  void Open(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
void Log(const std::string& text);

// The test could not run: ends the process with 2.
[[noreturn]] void CannotRun(const std::string& reason);

struct Answer {
  // 0 when there was no complete answer.
  int status = 0;
  std::string body;
};
using Headers = std::vector<std::pair<std::string, std::string>>;

// One HTTP call over a channel of its own.
Answer Call(const std::string& address,
            const std::string& method,
            const std::string& path,
            const Headers& headers,
            const std::string& body,
            std::int64_t timeout_ms);

// Fields of a flat JSON object.
std::string TextField(const std::string& json, const std::string& name);
std::int64_t NumberField(const std::string& json,
                         const std::string& name,
                         std::int64_t fallback);

struct Bounds {
  int hold_max_ms = 10000;
  int stop_ms = 400;
  int gang_wait_ms = 3000;
  int grace_s = 6;
  int evacuate_ms = 5000;
  int cancel_ms = 3000;
  int contact_ms = 3000;
  int drain_ms = 2000;
  int finish_s = 14;
};

// The machines of the system. Each process has an address of its own in a
// block of 127.0.0.0/8 that is free at the start.
class Platform {
 public:
  Platform(int cores,
           int fronts,
           std::vector<std::string> zones,
           Bounds bounds = {},
           int core_memory_mb = 256);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  void Start();
  // A further address of the block, for a worker.
  std::string NewIp();
  std::string control(int core) const;
  std::string front(int index) const;
  int cores() const { return cores_; }
  const Bounds& bounds() const { return bounds_; }
  // Freezes and wakes a process, as a machine that stands still.
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  static std::string CoreName(int core) {
    return "core-" + std::to_string(core);
  }
  static std::string FrontName(int i) { return "front-" + std::to_string(i); }
  // The core that serves as leader, as the workers are told; -1 when unknown.
  int LeaderOf(const std::string& heartbeat_address) const;

  // Sends an order of the operator, first to the core `first`, then to the
  // others in turn, until one acknowledges it: after a failure, a 5xx or a
  // second without an answer the next one is called. Returns whether it was
  // acknowledged within `timeout_ms`, and when.
  bool Order(const std::string& method,
             const std::string& path,
             const std::string& body,
             int first,
             std::int64_t timeout_ms,
             std::int64_t* acknowledged_at = nullptr,
             int* status = nullptr);

 private:
  void StartProcess(const std::string& name);
  void Stop();

  const int cores_;
  const int fronts_;
  const std::vector<std::string> zones_;
  const Bounds bounds_;
  const int core_memory_mb_;
  std::string block_;
  std::string folder_;
  int next_ip_ = 100;
  std::map<std::string, std::string> programs_;
  std::map<std::string, pid_t> pids_;
};

struct Capacity {
  std::int64_t cpu = 64000;
  std::int64_t memory_mb = 262144;
  std::int64_t gpu = 8;
};

class LateStarts;

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  Capacity capacity;
  // Nodes that serve control, in the order in which this worker calls them.
  std::vector<std::string> controls;
  LateStarts* late_starts = nullptr;
  // Whether this life begins behind a cut.
  bool cut = false;
};

// What a task needs, and how long it takes on a sound worker. A negative time
// stands for a task that lasts.
struct TaskNeeds {
  Capacity capacity;
  std::int64_t work_ms = 1000;
  // Of a checkpoint, of which there is a new one with each
  // kCheckpointIntervalMs of work; 0 for a task without checkpoints.
  std::size_t checkpoint_bytes = 0;
};

// A run of a task on a worker.
struct RunEvent {
  std::int64_t started_ms = 0;
  // Negative while it runs.
  std::int64_t ended_ms = -1;
  std::string worker;
  std::string zone;
  std::string task;
  std::int64_t attempt = 0;
  std::string how;
  // When the system noted the end (`LastSeen` reached it); negative before.
  std::int64_t noted_ms = -1;
};

// What all workers know of the jobs, and what they ran.
class Fleet {
 public:
  void Expect(const std::string& job, TaskNeeds needs);
  TaskNeeds NeedsOf(const std::string& task) const;
  // Returns the number of the run.
  std::size_t RecordStart(RunEvent event);
  void RecordEnd(std::size_t run, const std::string& how);
  void RecordNoted(std::size_t run);
  std::vector<RunEvent> Runs() const;
  std::size_t StartsOf(const std::string& job) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, TaskNeeds> needs_;
  std::vector<RunEvent> runs_;
};

class Worker;

// What keeps some of the starts to a worker and carries them out seconds later.
// A call names a worker by its id, so the life that is there by then gets it.
class LateStarts {
 public:
  LateStarts();
  ~LateStarts();
  LateStarts(const LateStarts&) = delete;
  LateStarts& operator=(const LateStarts&) = delete;

  // From now on the first start of each second task is kept: it gets no answer
  // and is carried out after the delays, in turn.
  void Begin(std::vector<std::int64_t> delays_ms);
  void SetWorker(Worker* worker);
  // Whether the start is kept.
  bool Keep(const std::string& body);

 private:
  void Run();

  std::mutex mutex_;
  std::vector<std::int64_t> delays_ms_;
  std::size_t tasks_ = 0;
  std::size_t kept_ = 0;
  std::map<std::string, bool> known_;
  std::multimap<std::int64_t, std::string> due_;
  Worker* worker_ = nullptr;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// One life of a worker, with `AdmissionCheck` true.
class Worker {
 public:
  Worker(WorkerOptions options, Fleet& fleet, std::string ip, int max_hold_ms);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Reports `draining` from now on; returns whether that was acknowledged.
  bool Drain(std::int64_t remaining_ms);
  // Sends the deregistration, first to `nodes.front()`, and to the next node
  // after a failure or a second without an answer; returns whether it was
  // acknowledged.
  bool Deregister(const std::vector<std::string>& nodes);
  // Ends this life: nothing answers any more.
  void End();
  // Cuts the worker off: it hears and says nothing.
  void Cut(bool cut);
  // Carries a start out that was kept.
  void CarryOut(const std::string& body);

  std::size_t running() const;
  // Status reports that were acknowledged.
  std::size_t reports() const { return reports_; }
  std::string heartbeat_address() const;
  const std::string& address() const { return address_; }
  const WorkerOptions& options() const { return options_; }

 private:
  struct Run {
    std::int64_t attempt = 0;
    std::int64_t started_ms = 0;
    TaskNeeds needs;
    std::size_t number = 0;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t attempt = 0;
    std::string how;
    std::string checkpoint;
    std::size_t run = 0;
  };

  void Accept();
  void Serve(int socket);
  Answer Handle(const std::string& path, const std::string& body);
  Answer HandleStart(const std::string& body);
  Answer HandleStop(const std::string& body);
  Answer HandleHold(const std::string& body,
                    std::unique_lock<std::mutex>& lock);
  Answer Refuse(const std::string& reason);
  void Beat();
  bool Report();
  void Tick();
  void EndRun(const std::string& task, const std::string& how);
  std::int64_t ClockMs() const;
  std::string CheckpointOf(const Run& run) const;

  const WorkerOptions options_;
  Fleet& fleet_;
  const int max_hold_ms_;
  std::string address_;
  std::int64_t born_ = 0;
  std::chrono::steady_clock::time_point clock_start_;
  int listener_ = -1;
  std::atomic<bool> ended_{false};
  std::atomic<bool> cut_{false};
  std::atomic<std::size_t> reports_{0};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Run> runs_;
  Capacity used_{0, 0, 0};
  std::vector<Ended> ends_;
  std::int64_t last_end_ = 0;
  std::map<std::string, std::int64_t> closed_attempts_;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::string state_ = "ready";
  std::int64_t drain_until_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::string heartbeat_address_;
  std::vector<std::thread> threads_;
  std::atomic<int> serving_{0};
};

// A consumer of one queue.
class Consumer {
 public:
  Consumer(std::string host, std::string prefix, std::string key)
      : host_(std::move(host)),
        prefix_(std::move(prefix)),
        key_(std::move(key)) {}
  Answer Submit(const std::string& front,
                const std::string& id,
                const std::string& body,
                std::int64_t deadline_ms = 3000) const;
  Answer Read(const std::string& front, const std::string& id) const;
  Answer Cancel(const std::string& front, const std::string& id) const;

 private:
  Answer Send(const std::string& front,
              const std::string& method,
              const std::string& id,
              const std::string& body,
              std::int64_t deadline_ms) const;

  const std::string host_;
  const std::string prefix_;
  const std::string key_;
};

// The text of a route, a service and a manifest.
std::string Route(const std::string& name,
                  const std::string& host,
                  const std::string& prefix,
                  const std::string& service,
                  int priority);
std::string Manifest(std::int64_t version,
                     const std::vector<std::string>& routes,
                     const std::vector<std::string>& services,
                     const std::string& tenant,
                     const std::string& key);

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_2_HARNESS_HPP_
