#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_DRIVER_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "consensus/message.h"
#include "consensus/replica.h"
#include "consensus/replica_io.h"
#include "consensus/state_machine.h"

namespace wigeonstair::consensus {

struct ReplicaDriverOptions {
  ReplicaOptions replica;
  // Outlives the driver. Restored from the stored snapshot at creation.
  StateMachine* state_machine = nullptr;
  // A snapshot is taken when the log since the last one exceeds either bound.
  // It bounds the restart time and the size of the folder.
  std::size_t snapshot_entries = 8192;
  std::size_t snapshot_log_bytes = 8 * 1024 * 1024;
};

// Work for the storage: make the batch durable, then send the messages and
// feed PersistedInput. Tasks are done in order.
struct StorageTask {
  std::optional<PersistBatch> batch;
  std::vector<Message> after_persist;
};

// The result of a proposal or a change (the encoded member list).
struct CommandCompletion {
  std::uint64_t id = 0;
  std::variant<std::string, base::Error> outcome;
};

struct ReadCompletion {
  std::uint64_t id = 0;
  std::variant<Index, base::Error> outcome;
};

struct DriverEffects {
  std::vector<Message> messages;
  std::vector<StorageTask> tasks;
  std::vector<CommandCompletion> commands;
  std::vector<ReadCompletion> reads;
  bool status_changed = false;
  bool snapshot_installed = false;
  // Index of a snapshot that was taken; 0 without one.
  Index snapshot_taken = 0;
};

// A Replica together with its state machine: applies committed entries, gives
// proposals their results, holds reads back until they may start, and takes
// snapshots. No threads, files or clock.
class ReplicaDriver {
 public:
  // Fails with kCorruptData when the stored snapshot cannot be restored.
  static base::Result<std::unique_ptr<ReplicaDriver>> create(
      ReplicaDriverOptions options,
      base::Instant now);

  DriverEffects Step(const ReplicaInput& input, base::Instant now);

  // Adds a read completion once `index` is applied.
  void WaitForApplied(std::uint64_t id, Index index, DriverEffects& effects);

  const Replica& replica() const { return replica_; }
  Index applied_index() const { return applied_index_; }

 private:
  struct WaitingCommand {
    std::uint64_t id = 0;
    Term term = 0;
  };

  ReplicaDriver(ReplicaDriverOptions options, base::Instant now);

  void Take(ReplicaOutput output, DriverEffects& effects);
  void RestoreFrom(const Snapshot& snapshot, DriverEffects& effects);
  void Apply(const CommittedEntry& committed, DriverEffects& effects);
  void CompleteCommands(Index index,
                        Term term,
                        const std::string& result,
                        DriverEffects& effects);
  void CompleteReads(DriverEffects& effects);
  void MaybeTakeSnapshot(DriverEffects& effects, base::Instant now);

  ReplicaDriverOptions options_;
  Replica replica_;
  Index applied_index_ = 0;
  Index snapshot_index_ = 0;
  std::size_t bytes_since_snapshot_ = 0;
  std::multimap<Index, WaitingCommand> waiting_commands_;
  std::multimap<Index, std::uint64_t> waiting_reads_;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_DRIVER_H_
