#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_RUNTIME_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_RUNTIME_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "consensus/log_entry.h"
#include "consensus/member.h"
#include "consensus/replica_io.h"
#include "consensus/replica_status.h"
#include "consensus/state_machine.h"
#include "net/event_loop.h"
#include "net/message_channel.h"
#include "net/message_server.h"

namespace wigeonstair::consensus {

// The result bytes of StateMachine::Apply, or an error. kUnavailable: the
// command did not and will not take effect. kInvalidArgument: the same, because
// the leader's check refused it. kTimeout: it may take effect.
using ProposeOutcome = std::variant<std::string, base::Error>;
using ProposeCallback = std::function<void(ProposeOutcome)>;

// The index up to which the local state machine has applied the log, or an
// error. A read of the local state machine that starts after the callback sees
// every command that was acknowledged before ReadBarrier was called.
using ReadOutcome = std::variant<std::uint64_t, base::Error>;
using ReadCallback = std::function<void(ReadOutcome)>;

// The members after the change, or an error as for ProposeOutcome. kConflict:
// another change is in progress.
using ChangeOutcome = std::variant<MemberList, base::Error>;
using ChangeCallback = std::function<void(ChangeOutcome)>;

// What happens to a command while no leader is known.
enum class WithoutLeader {
  kWait,  // Until the timeout: a leader may be elected before.
  // Ended after one election timeout without a leader, and at once when that
  // has passed before. A command that the local replica accepted as leader ends
  // with kTimeout, because the next leader may still commit it.
  kRefuse,
};

struct ReplicaRuntimeOptions {
  // Distinguishes the groups of a cluster, such as "cluster" and "records".
  std::string group;
  base::HostId host;
  // The members of a new group; the same list on every host. Later it only
  // names hosts to ask, and the log holds the members in force.
  MemberList initial_members;
  // The folder of this group, created when missing. Empty means a learner
  // without a disk.
  std::string data_folder;
  CommitRecord commit_record = CommitRecord::kNone;
  ReplicaTiming timing;
  // Outlives the runtime.
  StateMachine* state_machine = nullptr;
  net::EventLoop* loop = nullptr;
  // The channel to a member, or null when there is none yet. Called on loop
  // threads; the channel must outlive the runtime's use of it in that call.
  std::function<std::shared_ptr<net::MessageChannel>(const Member&)> channel;
  // Where a host that is in no member list can be reached; empty when unknown.
  // A replica that joins needs it to answer a leader it never heard of.
  std::function<std::string(const base::HostId&)> address_of;
  std::shared_ptr<base::EventLog> event_log;
  // Outlives the runtime.
  base::CounterRegistry* counters = nullptr;
  // Called on a loop thread after the role, the leader or the members changed.
  std::function<void(const ReplicaStatus&)> on_change;
  // Commands above this size are refused.
  std::size_t command_limit_bytes = 1024 * 1024;
  // Asked on the leader before a command enters the log; an error refuses the
  // command, which then takes no effect. Thread-safe.
  std::function<std::optional<base::Error>(std::string_view)> check_command;
};

// One replica of one group with its files, its timers and its peers.
// Thread-safe. Callbacks run on a loop thread or on the storage thread, once
// each, also on shutdown, and may call the runtime again.
class ReplicaRuntime {
 public:
  // Reads the data folder. Fails with kCorruptData, naming file and offset, or
  // with kInputOutput.
  static base::Result<std::unique_ptr<ReplicaRuntime>> create(
      ReplicaRuntimeOptions options);
  ~ReplicaRuntime();
  ReplicaRuntime(const ReplicaRuntime&) = delete;
  ReplicaRuntime& operator=(const ReplicaRuntime&) = delete;

  // The group that a message of type 100 to 199 belongs to. Fails with
  // kCorruptData.
  static base::Result<std::string> GroupOf(std::string_view body);

  // Handles a message of type 100 to 199 for this group. Malformed messages
  // are counted and dropped. Does not block.
  void HandleMessage(net::MessageType type,
                     std::string body,
                     net::MessageReply reply);

  // Replicates a command. A host that is not the leader forwards it. The
  // callback gets kTimeout when no answer is known after `timeout`.
  void Propose(std::string command,
               base::Duration timeout,
               ProposeCallback callback,
               WithoutLeader without_leader = WithoutLeader::kWait);
  // Makes a following local read linearizable. Fails with kUnavailable when no
  // leader with a majority is reached within `timeout`.
  void ReadBarrier(base::Duration timeout, ReadCallback callback);
  // Adds or removes one member. A host that is not the leader forwards it.
  void ChangeMembers(const MemberChange& change,
                     base::Duration timeout,
                     ChangeCallback callback);

  ReplicaStatus status() const;

  // A leader hands its role to the voter with the longest log. `done` runs when
  // this replica is not the leader any more, or after `timeout`. Call it before
  // a planned shutdown.
  void TransferLeadership(base::Duration timeout, std::function<void()> done);

  // Ends timers and the storage thread and fails what waits with kTimeout.
  // Idempotent; the destructor calls it. Not from a callback, because it waits
  // for the storage thread. No HandleMessage may run after the destructor.
  void Stop();

 private:
  struct Implementation;
  explicit ReplicaRuntime(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_RUNTIME_H_
