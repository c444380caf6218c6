#include <algorithm>
#include <chrono>
#include <utility>

#include "consensus/codec.h"
#include "consensus/replica_runtime_implementation.h"

namespace wigeonstair::consensus {

namespace {

// Between two looks for a leader. Short against the failover time.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(30);

// The longest wait for one host. A frame for a dead host waits for a connection
// that does not come, and another leader stands after less than 2 s.
constexpr base::Duration kCallTimeout = std::chrono::seconds(1);

// The time that the leader may take to answer a forwarded request whose sender
// does not tell its deadline.
constexpr base::Duration kForwardedDeadline = std::chrono::seconds(5);

base::Error NoLeader() {
  return {.code = base::ErrorCode::kUnavailable,
          .step = "find leader",
          .peer = {},
          .detail = "no leader with a majority was reached in time"};
}

// The request had no effect and another host may accept it.
bool MayRetry(const LeaderOutcome& outcome) {
  const auto* error = std::get_if<base::Error>(&outcome);
  return error != nullptr && error->code == base::ErrorCode::kUnavailable;
}

}  // namespace

void ReplicaRuntime::Implementation::HandleMessage(net::MessageType type,
                                                   std::string body,
                                                   net::MessageReply reply) {
  auto frame = base::Capture([&] { return DecodeGroupFrame(body); });
  auto* received = std::get_if<GroupFrame>(&frame);
  if (received == nullptr || received->group != options.group) {
    malformed.Add();
    return;
  }
  if (type == kReplicaMessage) {
    auto message =
        base::Capture([&] { return Decode<Message>(received->body); });
    if (auto* decoded = std::get_if<Message>(&message)) {
      Step(std::move(*decoded));
    } else {
      malformed.Add();
    }
    return;
  }
  if (type < kForwardPropose || type > kForwardChange ||
      received->body.size() > options.command_limit_bytes) {
    malformed.Add();
    return;
  }
  SubmitLocal(type, received->body,
              base::MonotonicClock::now() + kForwardedDeadline,
              WithoutLeader::kWait,
              [reply = std::move(reply)](const LeaderOutcome& outcome) {
                reply(Encode(ToReply(outcome)));
              });
}

void ReplicaRuntime::Implementation::Start(Request request) {
  Try(std::make_shared<Request>(std::move(request)));
}

void ReplicaRuntime::Implementation::Try(
    const std::shared_ptr<Request>& request) {
  std::optional<Member> leader;
  bool is_leader = false;
  bool stopped = false;
  {
    const std::lock_guard lock(mutex);
    const Replica& replica = driver->replica();
    stopped = !running || replica.role() == Role::kStopped ||
              (request->without_leader == WithoutLeader::kRefuse &&
               IsLeaderless(base::MonotonicClock::now()));
    is_leader = replica.role() == Role::kLeader;
    if (!replica.leader().empty())
      leader = FindMember(replica.leader());
  }
  if (stopped || base::MonotonicClock::now() >= request->deadline) {
    request->callback(NoLeader());
  } else if (is_leader) {
    SubmitLocal(request->type, request->body, request->deadline,
                request->without_leader,
                [self = shared_from_this(), request](LeaderOutcome outcome) {
                  self->Finish(request, std::move(outcome));
                });
  } else if (leader) {
    Forward(request, *leader);
  } else {
    TryLater(request);
  }
}

void ReplicaRuntime::Implementation::TryLater(
    const std::shared_ptr<Request>& request) {
  options.loop->Schedule(kRetryDelay, [self = shared_from_this(), request] {
    self->Try(request);
  });
}

void ReplicaRuntime::Implementation::Forward(
    const std::shared_ptr<Request>& request,
    const Member& leader) {
  const auto channel = options.channel(leader);
  if (!channel) {
    TryLater(request);
    return;
  }
  const base::Duration left = request->deadline - base::MonotonicClock::now();
  channel->Call(
      request->type,
      Encode(GroupFrame{.group = options.group, .body = request->body}),
      std::clamp(left, base::Duration(1), kCallTimeout),
      [self = shared_from_this(), request](net::CallOutcome outcome) {
        if (auto* error = std::get_if<base::Error>(&outcome)) {
          self->Finish(request, std::move(*error));
          return;
        }
        auto decoded = base::Capture(
            [&] { return DecodeForwardReply(std::get<std::string>(outcome)); });
        if (auto* reply = std::get_if<ForwardReply>(&decoded)) {
          self->Finish(request, FromReply(std::move(*reply)));
          return;
        }
        self->malformed.Add();
        self->Finish(request, base::Error{.code = base::ErrorCode::kTimeout,
                                          .step = "ask leader",
                                          .peer = {},
                                          .detail = "the answer is malformed"});
      });
}

void ReplicaRuntime::Implementation::Finish(
    const std::shared_ptr<Request>& request,
    LeaderOutcome outcome) {
  // A read has no effect, so an unknown outcome may be tried again too.
  const auto* error = std::get_if<base::Error>(&outcome);
  const bool lost_read = error != nullptr && request->type == kForwardRead;
  if (MayRetry(outcome) || lost_read) {
    TryLater(request);
    return;
  }
  request->callback(std::move(outcome));
}

void ReplicaRuntime::Implementation::SubmitLocal(net::MessageType type,
                                                 const std::string& body,
                                                 base::Instant deadline,
                                                 WithoutLeader without_leader,
                                                 LeaderCallback callback) {
  if (type == kForwardPropose && options.check_command) {
    if (auto error = options.check_command(body)) {
      error->code = base::ErrorCode::kInvalidArgument;
      return callback(std::move(*error));
    }
  }
  std::vector<Continuation> after;
  {
    const std::lock_guard lock(mutex);
    const std::uint64_t id = ++next_id;
    Waiting waiting{.deadline = deadline,
                    .timeout_code = base::ErrorCode::kTimeout,
                    .without_leader = without_leader,
                    .callback = std::move(callback)};
    if (!running) {
      after.push_back([waiting] { waiting.callback(NoLeader()); });
    } else if (type == kForwardRead) {
      waiting.timeout_code = base::ErrorCode::kUnavailable;
      reads[id] = std::move(waiting);
      Collect(driver->Step(ReadInput{.id = id}, base::MonotonicClock::now()),
              after);
    } else if (type == kForwardChange) {
      auto change = base::Capture([&] { return Decode<MemberChange>(body); });
      commands[id] = std::move(waiting);
      if (auto* decoded = std::get_if<MemberChange>(&change)) {
        Collect(driver->Step(ChangeInput{.id = id, .change = *decoded},
                             base::MonotonicClock::now()),
                after);
      } else {
        CompleteCommand({.id = id, .outcome = std::get<base::Error>(change)},
                        after);
      }
    } else {
      commands[id] = std::move(waiting);
      proposals.push_back({.id = id, .command = body});
      // Proposals that arrive before the loop runs share one batch.
      if (!std::exchange(flush_posted, true)) {
        after.push_back([self = shared_from_this()] {
          self->options.loop->Post([self] { self->FlushProposals(); });
        });
      }
    }
  }
  Run(after);
}

void ReplicaRuntime::Implementation::FlushProposals() {
  ProposeInput input;
  {
    const std::lock_guard lock(mutex);
    flush_posted = false;
    input.proposals = std::exchange(proposals, {});
  }
  Step(input);
}

void ReplicaRuntime::Implementation::WaitForApplied(Index index,
                                                    base::Instant deadline,
                                                    LeaderCallback callback) {
  std::vector<Continuation> after;
  {
    const std::lock_guard lock(mutex);
    const std::uint64_t id = ++next_id;
    reads[id] = {.deadline = deadline,
                 .timeout_code = base::ErrorCode::kUnavailable,
                 .callback = std::move(callback)};
    if (running) {
      DriverEffects effects;
      driver->WaitForApplied(id, index, effects);
      Collect(std::move(effects), after);
    } else {
      Expire(reads, base::Instant::max(), after);
    }
  }
  Run(after);
}

void ReplicaRuntime::Implementation::Expire(
    std::map<std::uint64_t, Waiting>& waiting,
    base::Instant now,
    std::vector<Continuation>& after) {
  std::erase_if(waiting, [&](auto& item) {
    if (item.second.deadline > now)
      return false;
    const base::Error error{.code = item.second.timeout_code,
                            .step = "wait for commit",
                            .peer = {},
                            .detail = "the deadline passed"};
    after.push_back([callback = std::move(item.second.callback), error] {
      callback(error);
    });
    return true;
  });
}

void ReplicaRuntime::Implementation::AwaitNotLeader(
    base::Instant deadline,
    std::function<void()> done) {
  const bool is_leader = Status().role == Role::kLeader;
  if (!is_leader || base::MonotonicClock::now() >= deadline) {
    done();
    return;
  }
  options.loop->Schedule(kRetryDelay, [self = shared_from_this(), deadline,
                                       done = std::move(done)] {
    self->AwaitNotLeader(deadline, done);
  });
}

}  // namespace wigeonstair::consensus
