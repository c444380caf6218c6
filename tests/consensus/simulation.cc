#include "tests/consensus/simulation.h"

#include <algorithm>

#include "consensus/codec.h"

namespace wigeonstair::consensus {

using std::chrono::milliseconds;

Simulation::Simulation(SimulationOptions options)
    : options_(options),
      random_(options.seed * 7919 + 17),
      now_(std::chrono::seconds(100)) {
  for (int i = 0; i < options.voters + options.learners; ++i) {
    auto host = std::make_unique<SimulatedHost>();
    host->id = base::HostId("h" + std::to_string(i));
    const bool learner = i >= options.voters;
    host->member = {
        .host = host->id,
        .address = host->id.value(),
        .role = learner ? MemberRole::kLearner : MemberRole::kVoter};
    // Every other learner has a disk.
    if (!learner || i % 2 == 0)
      host->disk = std::make_unique<FakeDisk>(random_.Next());
    hosts_.push_back(std::move(host));
  }
  for (auto& host : hosts_)
    Start(*host);
}

void Simulation::After(base::Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++order_, std::move(action)});
}

void Simulation::RunFor(base::Duration duration) {
  const base::Instant end = now_ + duration;
  while (!events_.empty() && events_.top().time <= end && violations_.empty()) {
    Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.time);
    event.action();
  }
  now_ = std::max(now_, end);
}

base::Duration Simulation::RandomDelay(int minimum_us, int maximum_us) {
  const auto spread = static_cast<std::uint64_t>(maximum_us - minimum_us);
  return base::Duration(
      minimum_us + static_cast<base::Duration::rep>(random_.Below(spread)));
}

void Simulation::Start(SimulatedHost& host) {
  if (host.alive())
    return;
  ReplicaDriverOptions options;
  options.replica.host = host.id;
  options.replica.address = host.member.address;
  for (const auto& other : hosts_) {
    if (!host.lost_folder || other->id != host.id)
      options.replica.initial_members.push_back(other->member);
  }
  options.replica.durability =
      host.disk ? Durability::kDisk : Durability::kMemory;
  options.replica.commit_record = options_.commit_record;
  options.replica.new_incarnation = random_.Next() | 2;
  options.replica.seed = random_.Next();
  options.replica.limits.kept_entries = options_.kept_entries;
  // Several chunks and several appends even for small states.
  options.replica.limits.snapshot_chunk_bytes = 64;
  options.replica.limits.append_bytes = 400;
  options.replica.limits.pipeline_entries = 16;
  options.replica.fault = options_.fault;
  options.snapshot_entries = options_.snapshot_entries;
  host.machine = std::make_unique<RegisterMachine>();
  options.state_machine = host.machine.get();
  host.tasks.clear();
  host.writing = false;
  host.checked_commit = 0;
  host.frozen_until = now_;
  const int run = ++host.run;
  const auto started = base::Capture([&]() -> base::Result<std::monostate> {
    if (host.disk) {
      host.storage = TRY(LogStorage::create({.disk = host.disk.get(),
                                             .group = "test",
                                             .host = host.id,
                                             .segment_bytes = 600,
                                             .reserve_bytes = 200,
                                             .fault = options_.fault}));
      options.replica.stored = host.storage->TakeStoredState();
    }
    host.driver = TRY(ReplicaDriver::create(std::move(options), now_));
    return std::monostate();
  });
  if (const auto* error = std::get_if<base::Error>(&started)) {
    if (error->code != base::ErrorCode::kInputOutput)
      Report(Violation::kFolderRefused, error->ToString());
    Kill(host);
    return;
  }
  Tick(host, run);
}

void Simulation::Tick(SimulatedHost& host, int run) {
  if (!host.alive() || host.run != run)
    return;
  const base::Instant due = std::max(now_, host.frozen_until);
  if (due > now_) {
    After(due - now_, [this, &host, run] { Tick(host, run); });
    return;
  }
  Step(host, TickInput());
  After(milliseconds(50), [this, &host, run] { Tick(host, run); });
}

void Simulation::Kill(SimulatedHost& host) {
  host.driver.reset();
  host.storage.reset();
  ++host.run;
  if (host.disk)
    host.disk->Crash();
}

void Simulation::KillAtDiskCall(SimulatedHost& host, int call) {
  if (host.disk && host.alive())
    host.disk->KillAfter(call);
}

void Simulation::LoseDisk(SimulatedHost& host) {
  Kill(host);
  host.disk = std::make_unique<FakeDisk>(random_.Next());
  host.applied = 0;
}

void Simulation::Freeze(SimulatedHost& host, base::Duration duration) {
  host.frozen_until = std::max(host.frozen_until, now_ + duration);
}

void Simulation::Cut(const base::HostId& from, const base::HostId& to) {
  cuts_.insert({from, to});
}

void Simulation::Isolate(const SimulatedHost& host) {
  for (const auto& other : hosts_) {
    Cut(host.id, other->id);
    Cut(other->id, host.id);
  }
}

void Simulation::Heal() {
  cuts_.clear();
}

void Simulation::Send(const Message& message) {
  if (cuts_.contains({message.from, message.to}) ||
      random_.Below(100) < static_cast<std::uint64_t>(options_.lost)) {
    return;
  }
  const int copies =
      random_.Below(100) < static_cast<std::uint64_t>(options_.duplicated) ? 2
                                                                           : 1;
  const std::string bytes = Encode(message);
  for (int i = 0; i < copies; ++i) {
    // Late messages come up to several election timeouts after their time.
    const base::Duration delay =
        random_.Below(100) < static_cast<std::uint64_t>(options_.late)
            ? RandomDelay(10'000, 4'000'000)
            : RandomDelay(200, 3'000);
    After(delay, [this, bytes] {
      const auto decoded =
          base::Capture([&] { return Decode<Message>(bytes); });
      Deliver(std::get<Message>(decoded));
    });
  }
}

void Simulation::Deliver(const Message& message) {
  for (auto& host : hosts_) {
    if (host->id != message.to || !host->alive())
      continue;
    if (host->frozen_until > now_) {
      After(host->frozen_until - now_, [this, message] { Deliver(message); });
      return;
    }
    Step(*host, message);
  }
}

void Simulation::Step(SimulatedHost& host, const ReplicaInput& input) {
  if (host.alive())
    CarryOut(host, host.driver->Step(input, now_));
}

void Simulation::CarryOut(SimulatedHost& host, DriverEffects effects) {
  for (const Message& message : effects.messages)
    Send(message);
  for (StorageTask& task : effects.tasks)
    host.tasks.push_back(std::move(task));
  for (CommandCompletion& command : effects.commands) {
    if (auto waiting = proposals_.extract(command.id))
      waiting.mapped()(std::move(command.outcome));
  }
  for (const ReadCompletion& read : effects.reads) {
    if (auto waiting = reads_.extract(read.id))
      waiting.mapped()(std::holds_alternative<Index>(read.outcome));
  }
  CheckHost(host);
  RunTasks(host);
}

void Simulation::RunTasks(SimulatedHost& host) {
  if (host.writing || host.tasks.empty() || !host.alive())
    return;
  host.writing = true;
  const int run = host.run;
  std::vector<StorageTask> tasks;
  do {
    tasks.push_back(std::move(host.tasks.front()));
    host.tasks.pop_front();
  } while (!host.tasks.empty() && random_.Below(3) != 0);
  const base::Duration delay =
      host.disk ? RandomDelay(100, 2'000) : base::Duration(1);
  After(delay, [this, &host, run, tasks = std::move(tasks)] {
    if (host.alive() && host.run == run)
      FinishTasks(host, tasks);
  });
}

void Simulation::FinishTasks(SimulatedHost& host,
                             std::vector<StorageTask> tasks) {
  std::vector<PersistBatch> batches;
  for (StorageTask& task : tasks) {
    if (task.batch)
      batches.push_back(*task.batch);
  }
  if (host.storage && !batches.empty()) {
    const auto written =
        base::Capture([&] { return host.storage->Write(batches); });
    if (host.disk->killed()) {
      Kill(host);
      return;
    }
    if (std::holds_alternative<base::Error>(written)) {
      if (host.driver->replica().role() != Role::kStopped)
        Step(host, StorageFailedInput());
      RetryTasks(host, tasks);
      return;
    }
    if (host.driver->replica().role() == Role::kStopped)
      Step(host, StorageRecoveredInput());
  }
  host.writing = false;
  for (const StorageTask& task : tasks) {
    for (const Message& message : task.after_persist)
      Send(message);
  }
  if (!batches.empty())
    Step(host, PersistedInput{.sequence = batches.back().sequence});
  RunTasks(host);
}

void Simulation::RetryTasks(SimulatedHost& host,
                            const std::vector<StorageTask>& tasks) {
  After(milliseconds(250), [this, &host, run = host.run, tasks] {
    if (!host.alive() || host.run != run)
      return;
    const auto recovered =
        base::Capture([&] { return host.storage->Recover(); });
    if (host.disk->killed())
      Kill(host);
    else if (std::holds_alternative<base::Error>(recovered))
      RetryTasks(host, tasks);
    else
      FinishTasks(host, tasks);
  });
}

void Simulation::FillDisk(SimulatedHost& host, base::Duration duration) {
  constexpr std::uint64_t kPlenty = 1u << 30;
  host.disk->LimitBytes(random_.Below(400));
  After(duration, [&host] { host.disk->LimitBytes(kPlenty); });
}

SimulatedHost* Simulation::Leader() {
  SimulatedHost* leader = nullptr;
  for (auto& host : hosts_) {
    if (!host->alive() || host->driver->replica().role() != Role::kLeader)
      continue;
    if (leader == nullptr || host->driver->replica().hard_state().term >
                                 leader->driver->replica().hard_state().term) {
      leader = host.get();
    }
  }
  return leader;
}

void Simulation::Propose(
    SimulatedHost& host,
    std::string command,
    std::function<void(std::variant<std::string, base::Error>)> done) {
  const std::uint64_t id = ++next_id_;
  proposals_[id] = std::move(done);
  ProposeInput input;
  input.proposals.push_back({.id = id, .command = std::move(command)});
  if (host.frozen_until <= now_)
    Step(host, input);
}

// Asks `host` for the read index and reads the state at `at`, as a follower
// does for its clients.
void Simulation::Read(
    SimulatedHost& host,
    SimulatedHost& at,
    const std::function<void(std::optional<RegisterAnswer>)>& done) {
  const std::uint64_t id = ++next_id_;
  if (!host.alive() || host.frozen_until > now_)
    return;
  if (&host == &at) {
    reads_[id] = [&host, done](bool allowed) {
      done(allowed ? std::optional(host.machine->Read()) : std::nullopt);
    };
    Step(host, ReadInput{.id = id});
    return;
  }
  const std::uint64_t wait_id = ++next_id_;
  reads_[wait_id] = [&at, done](bool allowed) {
    done(allowed ? std::optional(at.machine->Read()) : std::nullopt);
  };
  reads_[id] = [this, &host, &at, wait_id](bool allowed) {
    if (!allowed)
      return;
    const Index index = host.driver->applied_index();
    After(RandomDelay(200, 3'000), [this, &at, wait_id, index] {
      if (!at.alive())
        return;
      DriverEffects effects;
      at.driver->WaitForApplied(wait_id, index, effects);
      CarryOut(at, std::move(effects));
    });
  };
  Step(host, ReadInput{.id = id});
}

}  // namespace wigeonstair::consensus
