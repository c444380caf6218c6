#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_RUNTIME_IMPLEMENTATION_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_RUNTIME_IMPLEMENTATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/counter_registry.h"
#include "consensus/replica_driver.h"
#include "consensus/replica_runtime.h"
#include "consensus/runtime_frame.h"
#include "consensus/storage_thread.h"

namespace wigeonstair::consensus {

// Everything of a runtime that its callbacks share. One mutex guards the
// driver; callbacks, log lines and sends happen outside it.
struct ReplicaRuntime::Implementation
    : public std::enable_shared_from_this<Implementation> {
  using LeaderCallback = std::function<void(LeaderOutcome)>;

  // A command, a read or a change that looks for the leader until its deadline.
  struct Request {
    net::MessageType type = kForwardPropose;
    std::string body;
    base::Instant deadline;
    WithoutLeader without_leader = WithoutLeader::kWait;
    LeaderCallback callback;
  };
  // What waits for the local replica.
  struct Waiting {
    base::Instant deadline;
    // What the callback gets at the deadline.
    base::ErrorCode timeout_code = base::ErrorCode::kTimeout;
    WithoutLeader without_leader = WithoutLeader::kWait;
    LeaderCallback callback;
  };
  using Continuation = std::function<void()>;

  explicit Implementation(ReplicaRuntimeOptions runtime_options);

  // replica_runtime.cc
  base::Result<std::monostate> Load();
  void StartTimer();
  void Stop();
  void Tick();
  // With the mutex held.
  void NoteLeader(base::Instant now);
  // Whether no leader was known for an election timeout.
  bool IsLeaderless(base::Instant now) const;
  ReplicaStatus Status();

  // replica_runtime_effects.cc
  void Step(const ReplicaInput& input);
  // With the mutex held: moves what must happen outside it to `after`.
  void Collect(DriverEffects effects, std::vector<Continuation>& after);
  void CollectMessages(const std::vector<Message>& messages,
                       std::vector<Continuation>& after);
  void CollectStatus(const DriverEffects& effects,
                     std::vector<Continuation>& after);
  void CompleteCommand(CommandCompletion completion,
                       std::vector<Continuation>& after);
  void CompleteRead(const ReadCompletion& completion,
                    std::vector<Continuation>& after);
  void TasksDone(std::vector<StorageTask> tasks);
  void StorageFailed(const base::Error& error);
  void StorageRecovered();
  std::optional<Member> FindMember(const base::HostId& host) const;
  static void Run(std::vector<Continuation>& after);

  // replica_runtime_requests.cc
  void HandleMessage(net::MessageType type,
                     std::string body,
                     net::MessageReply reply);
  void Start(Request request);
  void Try(const std::shared_ptr<Request>& request);
  void TryLater(const std::shared_ptr<Request>& request);
  void Forward(const std::shared_ptr<Request>& request, const Member& leader);
  void Finish(const std::shared_ptr<Request>& request, LeaderOutcome outcome);
  void SubmitLocal(net::MessageType type,
                   const std::string& body,
                   base::Instant deadline,
                   WithoutLeader without_leader,
                   LeaderCallback callback);
  void FlushProposals();
  void AwaitNotLeader(base::Instant deadline, std::function<void()> done);
  void WaitForApplied(Index index,
                      base::Instant deadline,
                      LeaderCallback callback);
  void Expire(std::map<std::uint64_t, Waiting>& waiting,
              base::Instant now,
              std::vector<Continuation>& after);

  ReplicaRuntimeOptions options;
  base::Counter& messages_sent;
  base::Counter& bytes_sent;
  base::Counter& malformed;
  base::LatencyHistogram& write_latency;
  base::Gauge& term_gauge;
  base::Gauge& applied_gauge;

  std::mutex mutex;
  std::unique_ptr<ReplicaDriver> driver;
  std::unique_ptr<StorageThread> storage_thread;
  // Before Stop.
  bool running = true;
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, Waiting> commands;
  std::map<std::uint64_t, Waiting> reads;
  std::vector<Proposal> proposals;
  bool flush_posted = false;
  std::optional<base::Instant> leaderless_since;
  std::optional<net::EventLoop::TimerId> timer;
  ReplicaStatus reported;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_RUNTIME_IMPLEMENTATION_H_
