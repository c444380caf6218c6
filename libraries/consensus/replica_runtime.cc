#include "consensus/replica_runtime.h"

#include <chrono>
#include <random>
#include <utility>

#include "consensus/codec.h"
#include "consensus/file_disk.h"
#include "consensus/replica_runtime_implementation.h"

namespace wigeonstair::consensus {

namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(50);

std::string CounterName(std::string_view name, const std::string& group) {
  return "wigeonstair_consensus_" + std::string(name) + "{group=\"" + group +
         "\"}";
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

ReplicaRuntime::Implementation::Implementation(
    ReplicaRuntimeOptions runtime_options)
    : options(std::move(runtime_options)),
      messages_sent(options.counters->counter(
          CounterName("messages_sent_total", options.group))),
      bytes_sent(options.counters->counter(
          CounterName("bytes_sent_total", options.group))),
      malformed(options.counters->counter(
          CounterName("malformed_messages_total", options.group))),
      write_latency(options.counters->histogram(
          CounterName("write_seconds", options.group))),
      term_gauge(options.counters->gauge(CounterName("term", options.group))),
      applied_gauge(options.counters->gauge(
          CounterName("applied_index", options.group))) {}

base::Result<std::monostate> ReplicaRuntime::Implementation::Load() {
  ReplicaDriverOptions driver_options;
  ReplicaOptions& replica = driver_options.replica;
  replica.host = options.host;
  replica.initial_members = options.initial_members;
  for (const Member& member : options.initial_members) {
    if (member.host == options.host)
      replica.address = member.address;
  }
  replica.durability =
      options.data_folder.empty() ? Durability::kMemory : Durability::kDisk;
  replica.commit_record = options.commit_record;
  replica.timing = options.timing;
  // Above kFirstIncarnation in any case.
  replica.new_incarnation = RandomNumber() | 2;
  replica.seed = RandomNumber();
  driver_options.state_machine = options.state_machine;
  StorageThreadOptions storage;
  if (!options.data_folder.empty()) {
    storage.disk = TRY(FileDisk::create(options.data_folder));
    storage.storage = TRY(LogStorage::create({.disk = storage.disk.get(),
                                              .group = options.group,
                                              .host = options.host}));
    replica.stored = storage.storage->TakeStoredState();
    const RecoveryReport& report = storage.storage->recovery();
    options.event_log->Info(
        base::EventNumber::kFolderRead,
        {{"group", options.group},
         {"snapshot_index",
          replica.stored.snapshot ? replica.stored.snapshot->index : 0},
         {"entries", replica.stored.entries.size()},
         {"torn_file", report.torn_file},
         {"torn_bytes", report.torn_bytes}});
  }
  driver = TRY(ReplicaDriver::create(std::move(driver_options),
                                     base::MonotonicClock::now()));
  reported = driver->replica().status(base::MonotonicClock::now());
  if (!storage.storage)
    return std::monostate();
  storage.write_latency = &write_latency;
  // The thread is stopped before this object goes, so it needs no ownership.
  storage.done = [this](std::vector<StorageTask> tasks) {
    TasksDone(std::move(tasks));
  };
  storage.failed = [this](const base::Error& error) { StorageFailed(error); };
  storage.recovered = [this] { StorageRecovered(); };
  storage_thread = std::make_unique<StorageThread>(std::move(storage));
  return std::monostate();
}

void ReplicaRuntime::Implementation::StartTimer() {
  timer = options.loop->ScheduleEvery(kTick, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Tick();
  });
}

void ReplicaRuntime::Implementation::Tick() {
  Step(TickInput());
  std::vector<Continuation> after;
  {
    const std::lock_guard lock(mutex);
    const base::Instant now = base::MonotonicClock::now();
    NoteLeader(now);
    if (IsLeaderless(now)) {
      for (auto& [id, waiting] : commands) {
        if (waiting.without_leader == WithoutLeader::kRefuse)
          waiting.deadline = now;
      }
    }
    Expire(commands, now, after);
    Expire(reads, now, after);
  }
  Run(after);
}

void ReplicaRuntime::Implementation::NoteLeader(base::Instant now) {
  const Replica& replica = driver->replica();
  if (replica.role() == Role::kLeader || !replica.leader().empty())
    leaderless_since.reset();
  else if (!leaderless_since)
    leaderless_since = now;
}

bool ReplicaRuntime::Implementation::IsLeaderless(base::Instant now) const {
  return leaderless_since &&
         now - *leaderless_since >= options.timing.election_maximum;
}

void ReplicaRuntime::Implementation::Stop() {
  std::vector<Continuation> after;
  {
    const std::lock_guard lock(mutex);
    running = false;
    Expire(commands, base::Instant::max(), after);
    Expire(reads, base::Instant::max(), after);
  }
  if (const auto stopped = std::exchange(timer, std::nullopt))
    options.loop->Cancel(*stopped);
  if (storage_thread)
    storage_thread->Stop();
  Run(after);
}

ReplicaStatus ReplicaRuntime::Implementation::Status() {
  const std::lock_guard lock(mutex);
  ReplicaStatus status = driver->replica().status(base::MonotonicClock::now());
  status.applied_index = driver->applied_index();
  return status;
}

ReplicaRuntime::ReplicaRuntime(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

base::Result<std::unique_ptr<ReplicaRuntime>> ReplicaRuntime::create(
    ReplicaRuntimeOptions options) {
  if (options.state_machine == nullptr || options.loop == nullptr ||
      options.counters == nullptr || !options.event_log || !options.channel) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "create replica",
                      options.group, "a required option is missing");
  }
  auto implementation = std::make_shared<Implementation>(std::move(options));
  TRY(implementation->Load());
  implementation->StartTimer();
  return std::unique_ptr<ReplicaRuntime>(
      new ReplicaRuntime(std::move(implementation)));
}

ReplicaRuntime::~ReplicaRuntime() {
  Stop();
}

base::Result<std::string> ReplicaRuntime::GroupOf(std::string_view body) {
  return TRY(DecodeGroupFrame(body)).group;
}

void ReplicaRuntime::HandleMessage(net::MessageType type,
                                   std::string body,
                                   net::MessageReply reply) {
  implementation_->HandleMessage(type, std::move(body), std::move(reply));
}

void ReplicaRuntime::Propose(std::string command,
                             base::Duration timeout,
                             ProposeCallback callback,
                             WithoutLeader without_leader) {
  if (command.size() > implementation_->options.command_limit_bytes) {
    callback(base::Error{.code = base::ErrorCode::kResourceLimit,
                         .step = "propose",
                         .peer = {},
                         .detail = "the command exceeds the size limit"});
    return;
  }
  implementation_->Start(
      {.type = kForwardPropose,
       .body = std::move(command),
       .deadline = base::MonotonicClock::now() + timeout,
       .without_leader = without_leader,
       .callback = [callback = std::move(callback)](LeaderOutcome outcome) {
         if (auto* error = std::get_if<base::Error>(&outcome)) {
           callback(std::move(*error));
         } else {
           callback(std::move(std::get<LeaderAnswer>(outcome).text));
         }
       }});
}

void ReplicaRuntime::ReadBarrier(base::Duration timeout,
                                 ReadCallback callback) {
  const base::Instant deadline = base::MonotonicClock::now() + timeout;
  implementation_->Start(
      {.type = kForwardRead,
       .body = {},
       .deadline = deadline,
       .callback = [weak = std::weak_ptr(implementation_), deadline,
                    callback = std::move(callback)](LeaderOutcome outcome) {
         auto* error = std::get_if<base::Error>(&outcome);
         const auto self = weak.lock();
         if (error != nullptr || !self) {
           callback(error != nullptr ? std::move(*error) : base::Error());
           return;
         }
         self->WaitForApplied(
             std::get<LeaderAnswer>(outcome).index, deadline,
             [callback](LeaderOutcome applied) {
               if (auto* failed = std::get_if<base::Error>(&applied)) {
                 callback(std::move(*failed));
               } else {
                 callback(std::get<LeaderAnswer>(applied).index);
               }
             });
       }});
}

void ReplicaRuntime::ChangeMembers(const MemberChange& change,
                                   base::Duration timeout,
                                   ChangeCallback callback) {
  implementation_->Start(
      {.type = kForwardChange,
       .body = Encode(change),
       .deadline = base::MonotonicClock::now() + timeout,
       .callback = [callback = std::move(callback)](LeaderOutcome outcome) {
         if (auto* error = std::get_if<base::Error>(&outcome)) {
           callback(std::move(*error));
           return;
         }
         auto members = base::Capture([&] {
           return Decode<MemberList>(std::get<LeaderAnswer>(outcome).text);
         });
         std::visit([&](auto& value) { callback(std::move(value)); }, members);
       }});
}

ReplicaStatus ReplicaRuntime::status() const {
  return implementation_->Status();
}

void ReplicaRuntime::TransferLeadership(base::Duration timeout,
                                        std::function<void()> done) {
  implementation_->Step(TransferInput());
  implementation_->AwaitNotLeader(base::MonotonicClock::now() + timeout,
                                  std::move(done));
}

void ReplicaRuntime::Stop() {
  implementation_->Stop();
}

}  // namespace wigeonstair::consensus
