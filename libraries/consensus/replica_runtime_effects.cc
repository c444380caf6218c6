#include <utility>

#include "consensus/codec.h"
#include "consensus/replica_runtime_implementation.h"

namespace wigeonstair::consensus {

namespace {

std::string Describe(const MemberList& members) {
  std::string text;
  for (const Member& member : members) {
    if (!text.empty())
      text += ",";
    text += member.host.value();
    if (member.role != MemberRole::kVoter)
      text += member.role == MemberRole::kLearner ? ":learner" : ":catching_up";
  }
  return text;
}

}  // namespace

void ReplicaRuntime::Implementation::Run(std::vector<Continuation>& after) {
  for (Continuation& continuation : after)
    continuation();
}

void ReplicaRuntime::Implementation::Step(const ReplicaInput& input) {
  std::vector<Continuation> after;
  {
    const std::lock_guard lock(mutex);
    if (running)
      Collect(driver->Step(input, base::MonotonicClock::now()), after);
  }
  Run(after);
}

void ReplicaRuntime::Implementation::Collect(DriverEffects effects,
                                             std::vector<Continuation>& after) {
  CollectMessages(effects.messages, after);
  for (CommandCompletion& command : effects.commands)
    CompleteCommand(std::move(command), after);
  for (const ReadCompletion& read : effects.reads)
    CompleteRead(read, after);
  CollectStatus(effects, after);
  if (effects.tasks.empty())
    return;
  if (storage_thread) {
    storage_thread->Add(std::move(effects.tasks));
    return;
  }
  // Without a disk there is nothing to wait for.
  for (StorageTask& task : effects.tasks) {
    CollectMessages(task.after_persist, after);
    if (task.batch) {
      Collect(driver->Step(PersistedInput{.sequence = task.batch->sequence},
                           base::MonotonicClock::now()),
              after);
    }
  }
}

std::optional<Member> ReplicaRuntime::Implementation::FindMember(
    const base::HostId& host) const {
  for (const Member& member : driver->replica().log().members()) {
    if (member.host == host)
      return member;
  }
  for (const Member& member : options.initial_members) {
    if (member.host == host)
      return member;
  }
  const std::string address =
      options.address_of ? options.address_of(host) : std::string();
  if (address.empty())
    return std::nullopt;
  return Member{.host = host, .address = address};
}

void ReplicaRuntime::Implementation::CollectMessages(
    const std::vector<Message>& messages,
    std::vector<Continuation>& after) {
  for (const Message& message : messages) {
    auto member = FindMember(message.to);
    if (!member)
      continue;
    after.push_back([this, member = std::move(*member),
                     body = Encode(GroupFrame{.group = options.group,
                                              .body = Encode(message)})] {
      const auto channel = options.channel(member);
      if (!channel)
        return;
      messages_sent.Add();
      bytes_sent.Add(body.size());
      channel->Send(kReplicaMessage, body);
    });
  }
}

void ReplicaRuntime::Implementation::CollectStatus(
    const DriverEffects& effects,
    std::vector<Continuation>& after) {
  if (effects.snapshot_taken != 0 || effects.snapshot_installed) {
    const bool taken = effects.snapshot_taken != 0;
    after.push_back(
        [this, taken, index = driver->replica().log().snapshot_index()] {
          options.event_log->Info(taken ? base::EventNumber::kSnapshotTaken
                                        : base::EventNumber::kSnapshotInstalled,
                                  {{"group", options.group}, {"index", index}});
        });
  }
  applied_gauge.Set(static_cast<std::int64_t>(driver->applied_index()));
  if (!effects.status_changed)
    return;
  ReplicaStatus status = driver->replica().status(base::MonotonicClock::now());
  status.applied_index = driver->applied_index();
  const ReplicaStatus before = std::exchange(reported, status);
  term_gauge.Set(static_cast<std::int64_t>(status.term));
  after.push_back([this, status, before] {
    if (status.role != before.role || status.leader != before.leader) {
      options.event_log->Info(base::EventNumber::kRoleChanged,
                              {{"group", options.group},
                               {"role", RoleName(status.role)},
                               {"term", status.term},
                               {"leader", status.leader.value()}});
    }
    if (status.members != before.members) {
      options.event_log->Info(
          base::EventNumber::kGroupMembersChanged,
          {{"group", options.group}, {"members", Describe(status.members)}});
    }
    if (options.on_change)
      options.on_change(status);
  });
}

void ReplicaRuntime::Implementation::CompleteCommand(
    CommandCompletion completion,
    std::vector<Continuation>& after) {
  auto waiting = commands.extract(completion.id);
  if (!waiting)
    return;
  LeaderOutcome outcome;
  if (auto* error = std::get_if<base::Error>(&completion.outcome)) {
    outcome = std::move(*error);
  } else {
    outcome = LeaderAnswer{
        .text = std::move(std::get<std::string>(completion.outcome))};
  }
  after.push_back([callback = std::move(waiting.mapped().callback),
                   outcome = std::move(outcome)] { callback(outcome); });
}

void ReplicaRuntime::Implementation::CompleteRead(
    const ReadCompletion& completion,
    std::vector<Continuation>& after) {
  auto waiting = reads.extract(completion.id);
  if (!waiting)
    return;
  LeaderOutcome outcome;
  if (const auto* error = std::get_if<base::Error>(&completion.outcome)) {
    outcome = *error;
  } else {
    outcome =
        LeaderAnswer{.text = {}, .index = std::get<Index>(completion.outcome)};
  }
  after.push_back([callback = std::move(waiting.mapped().callback),
                   outcome = std::move(outcome)] { callback(outcome); });
}

void ReplicaRuntime::Implementation::TasksDone(std::vector<StorageTask> tasks) {
  std::vector<Continuation> after;
  {
    const std::lock_guard lock(mutex);
    if (!running)
      return;
    std::uint64_t sequence = 0;
    for (StorageTask& task : tasks) {
      CollectMessages(task.after_persist, after);
      if (task.batch)
        sequence = task.batch->sequence;
    }
    if (sequence != 0) {
      Collect(driver->Step(PersistedInput{.sequence = sequence},
                           base::MonotonicClock::now()),
              after);
    }
  }
  Run(after);
}

void ReplicaRuntime::Implementation::StorageFailed(const base::Error& error) {
  options.event_log->Failure(base::EventNumber::kStorageFailed,
                             {{"group", options.group},
                              {"step", error.step},
                              {"file", error.peer},
                              {"detail", error.detail}});
  Step(StorageFailedInput());
}

void ReplicaRuntime::Implementation::StorageRecovered() {
  options.event_log->Info(base::EventNumber::kStorageRecovered,
                          {{"group", options.group}});
  Step(StorageRecoveredInput());
}

}  // namespace wigeonstair::consensus
