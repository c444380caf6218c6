#include "services/scheduler/scheduler_process.h"

#include <algorithm>
#include <future>
#include <utility>

#include "base/freeze_detector.h"
#include "consensus/replica_runtime.h"
#include "jobs/leader_client.h"
#include "net/event_loop.h"
#include "net/message_server.h"
#include "net/peer_channels.h"
#include "services/scheduler/call_service.h"
#include "services/scheduler/member_controller.h"
#include "services/scheduler/placement_loop.h"
#include "services/scheduler/replicated_jobs.h"

namespace wigeonstair::scheduler {

namespace {

constexpr char kGroup[] = "jobs";

// Callers wait 3 s in total for an answer, so a lost leader must be replaced
// within 1 s. The latency between hosts is about 1 ms. A host that is
// throttled for 100 ms, or runs five times slower, still sends its messages in
// time.
consensus::ReplicaTiming GroupTiming() {
  using std::chrono::milliseconds;
  consensus::ReplicaTiming timing;
  timing.heartbeat = milliseconds(150);
  timing.learner_heartbeat = milliseconds(1000);
  timing.election_minimum = milliseconds(550);
  timing.election_maximum = milliseconds(850);
  timing.lease = milliseconds(480);
  timing.pre_vote_retry_minimum = milliseconds(60);
  timing.pre_vote_retry_maximum = milliseconds(160);
  timing.vote_retry_minimum = milliseconds(100);
  timing.vote_retry_maximum = milliseconds(300);
  timing.formation_question = milliseconds(150);
  timing.rejoin_question = milliseconds(400);
  return timing;
}

consensus::MemberList InitialMembers(const SchedulerOptions& options,
                                     const std::string& self) {
  consensus::MemberList members;
  for (const std::string& seed : options.seeds) {
    // An empty data folder in an existing group means that this host lost its
    // data. It must not vote in the formation of a group again.
    if (options.start == GroupStart::kExisting && seed == self)
      continue;
    members.push_back({.host = base::HostId(seed), .address = seed});
  }
  return members;
}

}  // namespace

// The members are declared in the order in which they are constructed; later
// ones hold pointers to earlier ones.
struct SchedulerProcess::Implementation {
  explicit Implementation(SchedulerOptions scheduler_options)
      : options(std::move(scheduler_options)),
        self(options.messages.ToString()),
        channels(loop, options.cluster),
        jobs(
            [this] {
              if (placement)
                placement->ScheduleRound();
            },
            options.log),
        leader({.loop = &loop,
                .channels = &channels,
                .seeds = options.seeds,
                .self = self}) {}

  base::Result<std::monostate> Open();
  base::Result<std::monostate> OpenReplica();
  void HandleMessage(net::MessageType type,
                     std::string body,
                     net::MessageReply reply);
  void HandleCall(const std::string& body, net::MessageReply reply);
  void ExecuteOrForward(const jobs::Call& call,
                        base::Instant deadline,
                        const std::function<void(jobs::Reply)>& done);
  jobs::Envelope LeaderHint() const;
  // Asks the leader to give the vote of this host to another member, if there
  // is one without a vote. Blocks until that is done, or until `deadline`.
  void ReleaseVote(base::Instant deadline);

  const SchedulerOptions options;
  const std::string self;
  net::EventLoop loop;
  base::FreezeDetector freezes{base::MonotonicClock::now()};
  net::PeerChannels channels;
  ReplicatedJobs jobs;
  jobs::LeaderClient leader;
  std::unique_ptr<PlacementLoop> placement;
  std::unique_ptr<consensus::ReplicaRuntime> replica;
  std::unique_ptr<MemberController> members;
  std::unique_ptr<CallService> calls;
  std::unique_ptr<net::MessageServer> server;
};

base::Result<std::monostate> SchedulerProcess::Implementation::OpenReplica() {
  consensus::ReplicaRuntimeOptions runtime{
      .group = kGroup,
      .host = base::HostId(self),
      .initial_members = InitialMembers(options, self),
      .data_folder = options.data_folder + "/" + kGroup,
      .timing = GroupTiming(),
      .state_machine = &jobs,
      .loop = &loop,
      .channel =
          [this](const consensus::Member& member) {
            return channels.Open(member.address);
          },
      // The host id is the message address.
      .address_of = [](const base::HostId& host) { return host.value(); },
      .event_log = options.log,
      .counters = options.counters,
      .on_change =
          [this](const consensus::ReplicaStatus&) {
            if (placement)
              placement->ScheduleRound();
          }};
  replica = TRY(consensus::ReplicaRuntime::create(std::move(runtime)));
  return std::monostate{};
}

base::Result<std::monostate> SchedulerProcess::Implementation::Open() {
  placement = std::make_unique<PlacementLoop>(
      PlacementLoopOptions{.loop = &loop,
                           .jobs = &jobs,
                           .workers = options.workers,
                           .counters = options.counters,
                           .log = options.log,
                           .dispatcher = options.dispatcher,
                           .leader_lease = GroupTiming().lease});
  TRY(OpenReplica());
  members = std::make_unique<MemberController>(
      MemberControllerOptions{.loop = &loop,
                              .channels = &channels,
                              .leader = &leader,
                              .replica = replica.get(),
                              .log = options.log,
                              .self = base::HostId(self),
                              .address = self,
                              .domain = options.domain,
                              .tolerated_losses = options.tolerated_losses});
  calls = std::make_unique<CallService>(
      CallServiceOptions{.loop = &loop,
                         .jobs = &jobs,
                         .placement = placement.get(),
                         .replica = replica.get(),
                         .members = members.get(),
                         .counters = options.counters,
                         .log = options.log});
  server = TRY(net::MessageServer::create(
      loop, {.address = options.messages,
             .cluster = options.cluster,
             .handler = [this](net::MessageType type, std::string body,
                               net::MessageReply reply) {
               HandleMessage(type, std::move(body), std::move(reply));
             }}));
  loop.ScheduleEvery(base::kFreezeCheckInterval,
                     [this] { freezes.Tick(base::MonotonicClock::now()); });
  loop.Post([this] {
    placement->Start(*replica);
    members->Start();
  });
  return std::monostate{};
}

void SchedulerProcess::Implementation::HandleMessage(net::MessageType type,
                                                     std::string body,
                                                     net::MessageReply reply) {
  if (type == jobs::kCallMessage)
    HandleCall(body, std::move(reply));
  else
    replica->HandleMessage(type, std::move(body), std::move(reply));
}

jobs::Envelope SchedulerProcess::Implementation::LeaderHint() const {
  const consensus::ReplicaStatus status = replica->status();
  jobs::Envelope envelope{.leader = status.leader.value(),
                          .domain = options.domain};
  for (const consensus::Member& member : status.members)
    envelope.members.push_back(member.address);
  return envelope;
}

void SchedulerProcess::Implementation::HandleCall(const std::string& body,
                                                  net::MessageReply reply) {
  const auto decoded = base::Capture([&] { return jobs::DecodeCall(body); });
  const auto* call = std::get_if<jobs::Call>(&decoded);
  if (call == nullptr) {
    reply(jobs::EncodeEnvelope(
        {.reply = jobs::Reply{.status = jobs::ReplyStatus::kInvalid,
                              .text = "the call cannot be decoded"}}));
    return;
  }
  // A host whose disk refuses writes does not count as one that answers, so
  // that another one gets its vote.
  if (std::holds_alternative<jobs::PingCall>(*call) &&
      replica->status().role == consensus::Role::kStopped) {
    reply({});
    return;
  }
  if (!placement->IsLeader()) {
    reply(jobs::EncodeEnvelope(LeaderHint()));
    return;
  }
  calls->Handle(*call, [this, reply = std::move(reply)](jobs::Reply answer) {
    jobs::Envelope envelope = LeaderHint();
    envelope.reply = std::move(answer);
    reply(jobs::EncodeEnvelope(envelope));
  });
}

// Handles a call from an interface of this process: executes it here while this
// host leads, and forwards it to the leader otherwise.
void SchedulerProcess::Implementation::ExecuteOrForward(
    const jobs::Call& call,
    base::Instant deadline,
    const std::function<void(jobs::Reply)>& done) {
  // A freeze since the request was read; its sender has gone.
  if (base::MonotonicClock::now() >= deadline) {
    done({.status = jobs::ReplyStatus::kUnavailable,
          .text = "the deadline of the call has passed"});
    return;
  }
  if (!placement->IsLeader()) {
    leader.Send(call, deadline, [done](const jobs::LeaderCallResult& result) {
      done(result.reply);
    });
    return;
  }
  calls->Handle(call, [this, call, deadline, done](const jobs::Reply& reply) {
    const bool is_final = reply.status != jobs::ReplyStatus::kUnavailable &&
                          reply.status != jobs::ReplyStatus::kUnknown;
    if (is_final || base::MonotonicClock::now() >= deadline) {
      done(reply);
      return;
    }
    constexpr base::Duration kRetryDelay = std::chrono::milliseconds(60);
    loop.Schedule(kRetryDelay, [this, call, deadline, done] {
      ExecuteOrForward(call, deadline, done);
    });
  });
}

void SchedulerProcess::Implementation::ReleaseVote(base::Instant deadline) {
  using consensus::Member;
  using consensus::MemberRole;
  const consensus::MemberList group = replica->status().members;
  const bool votes =
      std::any_of(group.begin(), group.end(), [&](const Member& member) {
        return member.host == base::HostId(self) &&
               member.role == MemberRole::kVoter;
      });
  const bool has_other = std::any_of(
      group.begin(), group.end(),
      [](const Member& member) { return member.role != MemberRole::kVoter; });
  if (!votes || !has_other)
    return;
  // Without a leader a call fails early and is repeated.
  while (base::MonotonicClock::now() < deadline) {
    auto replied = std::make_shared<std::promise<jobs::ReplyStatus>>();
    auto status = replied->get_future();
    leader.Send(jobs::LeaveCall{.host = base::HostId(self)}, deadline,
                [replied](const jobs::LeaderCallResult& result) {
                  replied->set_value(result.reply.status);
                });
    const base::Duration left = deadline - base::MonotonicClock::now();
    if (status.wait_for(left) != std::future_status::ready)
      return;
    const jobs::ReplyStatus answer = status.get();
    if (answer != jobs::ReplyStatus::kUnavailable &&
        answer != jobs::ReplyStatus::kUnknown)
      return;
  }
}

base::Result<std::unique_ptr<SchedulerProcess>> SchedulerProcess::create(
    SchedulerOptions options) {
  auto implementation = std::make_unique<Implementation>(std::move(options));
  TRY(implementation->Open());
  return std::unique_ptr<SchedulerProcess>(
      new SchedulerProcess(std::move(implementation)));
}

SchedulerProcess::SchedulerProcess(
    std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

SchedulerProcess::~SchedulerProcess() {
  implementation_->server.reset();
  implementation_->replica->Stop();
  implementation_->channels.Close();
  implementation_->loop.Stop();
}

void SchedulerProcess::Call(const jobs::Call& call,
                            base::Duration timeout,
                            std::function<void(jobs::Reply)> done) {
  const base::Instant deadline = base::MonotonicClock::now() + timeout;
  implementation_->loop.Post(
      [raw = implementation_.get(), call, deadline, done = std::move(done)] {
        raw->ExecuteOrForward(call, deadline, done);
      });
}

bool SchedulerProcess::MayHaveWaited() const {
  return implementation_->freezes.MayHaveWaited(base::MonotonicClock::now());
}

std::string SchedulerProcess::leader() const {
  return implementation_->replica->status().leader.value();
}

void SchedulerProcess::AddSeeds(const std::vector<std::string>& seeds) {
  implementation_->leader.AddSeeds(seeds);
}

void SchedulerProcess::Drain(base::Duration timeout) {
  const base::Instant deadline = base::MonotonicClock::now() + timeout;
  auto done = std::make_shared<std::promise<void>>();
  auto waiting = done->get_future();
  implementation_->replica->TransferLeadership(timeout,
                                               [done] { done->set_value(); });
  waiting.wait_for(timeout);
  implementation_->ReleaseVote(deadline);
}

}  // namespace wigeonstair::scheduler
