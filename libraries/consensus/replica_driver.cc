#include "consensus/replica_driver.h"

#include <cstdlib>
#include <iterator>
#include <utility>

#include "consensus/codec.h"

namespace wigeonstair::consensus {

namespace {

base::Error NoEffect() {
  return {.code = base::ErrorCode::kUnavailable,
          .step = "replicate",
          .peer = {},
          .detail = "another leader's entry took the place of the command"};
}

base::Error UnknownOutcome() {
  return {.code = base::ErrorCode::kTimeout,
          .step = "replicate",
          .peer = {},
          .detail = "a snapshot covers the command; its result is not known"};
}

template <typename T>
void MoveAppend(std::vector<T>& target, std::vector<T> source) {
  target.insert(target.end(), std::make_move_iterator(source.begin()),
                std::make_move_iterator(source.end()));
}

}  // namespace

ReplicaDriver::ReplicaDriver(ReplicaDriverOptions options, base::Instant now)
    : options_(std::move(options)), replica_(options_.replica, now) {
  // The replica has its own copy; this one would only take memory.
  options_.replica.stored = {};
}

base::Result<std::unique_ptr<ReplicaDriver>> ReplicaDriver::create(
    ReplicaDriverOptions options,
    base::Instant now) {
  const std::shared_ptr<const Snapshot> snapshot =
      options.replica.stored.snapshot;
  StateMachine* state_machine = options.state_machine;
  std::unique_ptr<ReplicaDriver> driver(
      new ReplicaDriver(std::move(options), now));
  if (snapshot) {
    TRY(state_machine->Restore(snapshot->state));
    driver->applied_index_ = driver->snapshot_index_ = snapshot->index;
  }
  return driver;
}

DriverEffects ReplicaDriver::Step(const ReplicaInput& input,
                                  base::Instant now) {
  DriverEffects effects;
  Take(replica_.Step(input, now), effects);
  MaybeTakeSnapshot(effects, now);
  return effects;
}

void ReplicaDriver::Take(ReplicaOutput output, DriverEffects& effects) {
  for (ProposalAnswer& answer : output.proposal_answers) {
    if (auto* error = std::get_if<base::Error>(&answer.outcome)) {
      effects.commands.push_back(
          {.id = answer.id, .outcome = std::move(*error)});
      continue;
    }
    const auto& position = std::get<LogPosition>(answer.outcome);
    waiting_commands_.emplace(
        position.index, WaitingCommand{.id = answer.id, .term = position.term});
  }
  if (output.restore)
    RestoreFrom(*output.restore, effects);
  for (const CommittedEntry& committed : output.committed)
    Apply(committed, effects);
  for (ReadAnswer& answer : output.read_answers) {
    if (auto* error = std::get_if<base::Error>(&answer.outcome)) {
      effects.reads.push_back({.id = answer.id, .outcome = std::move(*error)});
    } else {
      waiting_reads_.emplace(std::get<Index>(answer.outcome), answer.id);
    }
  }
  CompleteReads(effects);
  MoveAppend(effects.messages, std::move(output.messages));
  if (output.batch || !output.after_persist.empty()) {
    effects.tasks.push_back({.batch = std::move(output.batch),
                             .after_persist = std::move(output.after_persist)});
  }
  effects.status_changed |= output.status_changed;
}

void ReplicaDriver::RestoreFrom(const Snapshot& snapshot,
                                DriverEffects& effects) {
  if (options_.replica.fault != PlantedFault::kSkipRestore) {
    const auto restored = base::Capture(
        [&] { return options_.state_machine->Restore(snapshot.state); });
    // The bytes passed their checksum, so another version wrote them or the
    // state machine has a defect; going on would serve wrong state.
    if (std::holds_alternative<base::Error>(restored))
      std::abort();
  }
  applied_index_ = snapshot_index_ = snapshot.index;
  bytes_since_snapshot_ = 0;
  effects.snapshot_installed = true;
  const auto covered = waiting_commands_.upper_bound(snapshot.index);
  for (auto command = waiting_commands_.begin(); command != covered;
       ++command) {
    effects.commands.push_back(
        {.id = command->second.id, .outcome = UnknownOutcome()});
  }
  waiting_commands_.erase(waiting_commands_.begin(), covered);
}

void ReplicaDriver::Apply(const CommittedEntry& committed,
                          DriverEffects& effects) {
  const Entry& entry = committed.entry;
  std::string result;
  if (entry.kind == EntryKind::kCommand) {
    result = options_.state_machine->Apply(committed.index, entry.data);
  } else if (entry.kind == EntryKind::kMembers) {
    result = entry.data;
  }
  applied_index_ = committed.index;
  bytes_since_snapshot_ += entry.data.size();
  CompleteCommands(committed.index, entry.term, result, effects);
}

void ReplicaDriver::CompleteCommands(Index index,
                                     Term term,
                                     const std::string& result,
                                     DriverEffects& effects) {
  const auto [first, last] = waiting_commands_.equal_range(index);
  for (auto command = first; command != last; ++command) {
    CommandCompletion completion{.id = command->second.id, .outcome = result};
    if (command->second.term != term)
      completion.outcome = NoEffect();
    effects.commands.push_back(std::move(completion));
  }
  waiting_commands_.erase(first, last);
}

void ReplicaDriver::WaitForApplied(std::uint64_t id,
                                   Index index,
                                   DriverEffects& effects) {
  waiting_reads_.emplace(index, id);
  CompleteReads(effects);
}

void ReplicaDriver::CompleteReads(DriverEffects& effects) {
  const auto ready = waiting_reads_.upper_bound(applied_index_);
  for (auto read = waiting_reads_.begin(); read != ready; ++read)
    effects.reads.push_back({.id = read->second, .outcome = applied_index_});
  waiting_reads_.erase(waiting_reads_.begin(), ready);
}

void ReplicaDriver::MaybeTakeSnapshot(DriverEffects& effects,
                                      base::Instant now) {
  if (applied_index_ - snapshot_index_ < options_.snapshot_entries &&
      bytes_since_snapshot_ < options_.snapshot_log_bytes) {
    return;
  }
  const Index index = applied_index_;
  snapshot_index_ = index;
  bytes_since_snapshot_ = 0;
  effects.snapshot_taken = index;
  Take(replica_.Step(
           SnapshotDueInput{
               .index = index,
               .state = [this] { return options_.state_machine->Snapshot(); }},
           now),
       effects);
}

}  // namespace wigeonstair::consensus
