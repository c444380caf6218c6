#include "services/scheduler/call_service.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/admission.h"
#include "jobs/configuration_check.h"
#include "jobs/customer_cap.h"

namespace wigeonstair::scheduler {

namespace {

constexpr base::Duration kCommitTimeout = std::chrono::milliseconds(2500);
constexpr base::Duration kBarrierTimeout = std::chrono::milliseconds(800);
// Contradictions of one configuration that are logged.
constexpr std::size_t kMaximumFindings = 8;
// Only a configuration with a higher cap lets the job in.
constexpr base::Duration kCapRetryAfter = std::chrono::seconds(30);

// How long a deregistration may wait for the stops of the worker's runs. Below
// the time within which a worker expects an answer.
constexpr base::Duration kDeregistrationTimeout =
    std::chrono::milliseconds(700);
constexpr base::Duration kDeregistrationCheckInterval =
    std::chrono::milliseconds(40);

// How long a call waits for the release of a vote. Below the time within which
// jobs::LeaderClient expects an answer.
constexpr base::Duration kVoteReleaseTimeout = std::chrono::milliseconds(700);
constexpr base::Duration kVoteReleaseCheckInterval =
    std::chrono::milliseconds(40);

jobs::Reply Done() {
  return {.status = jobs::ReplyStatus::kDone};
}

// Why a job is not accepted now, and after which time the caller may send it
// again.
std::optional<jobs::Reply> FindRefusal(const jobs::JobRecord& job,
                                       const jobs::JobStore& store,
                                       jobs::Dispatcher& dispatcher,
                                       const jobs::Now& now) {
  const auto refuse = [](base::Duration retry_after, std::string reason) {
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(retry_after);
    return jobs::Reply{
        .status = jobs::ReplyStatus::kRefused,
        .retry_after_ms = static_cast<std::uint32_t>(wait.count()),
        .text = std::move(reason)};
  };
  const jobs::Customer* customer =
      store.configuration().FindCustomer(job.customer);
  if (customer != nullptr) {
    if (const auto fault = jobs::FindCapFault(customer->cap, job.spec))
      return refuse(kCapRetryAfter, *fault);
  }
  if (const auto retry_after =
          dispatcher.CheckAdmission(job.policy, job.queue, job, now)) {
    return refuse(*retry_after, "it would be done too late");
  }
  return std::nullopt;
}

std::uint64_t WallClockMs() {
  return static_cast<std::uint64_t>(base::WallClockNow().count());
}

}  // namespace

CallService::CallService(CallServiceOptions options)
    : options_(std::move(options)),
      accept_latency_(
          options_.counters->histogram("wigeonstair_job_accept_seconds")) {}

void CallService::Handle(const jobs::Call& call, ReplyCallback reply) {
  if (!options_.placement->IsLeader()) {
    reply({.status = jobs::ReplyStatus::kUnavailable});
    return;
  }
  std::visit([&](const auto& chosen) { Execute(chosen, reply); }, call);
}

void CallService::Commit(const jobs::Command& command,
                         const ReplyCallback& reply,
                         std::function<jobs::Reply(jobs::CommandReply)> map) {
  options_.replica->Propose(
      jobs::EncodeCommand(command), kCommitTimeout,
      [this, reply,
       map = std::move(map)](const consensus::ProposeOutcome& outcome) {
        options_.loop->Post([this, reply, map, outcome] {
          if (const auto* result = std::get_if<std::string>(&outcome)) {
            reply(map(DecodeReply(*result)));
            options_.placement->ScheduleRound();
            return;
          }
          const auto& error = std::get<base::Error>(outcome);
          reply({.status = error.code == base::ErrorCode::kTimeout
                               ? jobs::ReplyStatus::kUnknown
                               : jobs::ReplyStatus::kUnavailable,
                 .text = error.ToString()});
        });
      },
      consensus::WithoutLeader::kRefuse);
}

void CallService::ReadAfterBarrier(const ReplyCallback& reply,
                                   std::function<void()> read) {
  options_.replica->ReadBarrier(
      kBarrierTimeout, [this, reply, read = std::move(read)](
                           const consensus::ReadOutcome& outcome) {
        options_.loop->Post([reply, read, outcome] {
          if (const auto* error = std::get_if<base::Error>(&outcome)) {
            reply({.status = jobs::ReplyStatus::kUnavailable,
                   .text = error->ToString()});
            return;
          }
          read();
        });
      });
}

void CallService::Execute(const jobs::SubmitCall& call,
                          const ReplyCallback& reply) {
  const base::Instant begin = base::MonotonicClock::now();
  ReadAfterBarrier(reply, [this, call, reply, begin] {
    std::optional<jobs::Reply> early_reply;
    jobs::JobRecord job;
    options_.placement->WithDispatcher([&](jobs::Dispatcher& dispatcher,
                                           const jobs::JobStore& store) {
      const auto admitted = jobs::AdmitCall(store, call.target);
      if (const auto* refusal = std::get_if<jobs::Reply>(&admitted)) {
        early_reply = *refusal;
        return;
      }
      const auto& target = std::get<jobs::AdmittedCall>(admitted);
      if (const auto fault = jobs::ValidateJobSpec(call.spec)) {
        early_reply = {.status = jobs::ReplyStatus::kInvalid, .text = *fault};
        return;
      }
      if (target.job.empty()) {
        early_reply = {.status = jobs::ReplyStatus::kNoQueue,
                       .text = "the path names no job"};
        return;
      }
      const jobs::JobRecord* known = store.FindJob(target.job);
      if (known != nullptr && !known->IsPlaceholder()) {
        early_reply = {.status = jobs::Owns(target, *known) &&
                                         known->spec == call.spec
                                     ? jobs::ReplyStatus::kDone
                                     : jobs::ReplyStatus::kConflict};
        return;
      }
      job = {.id = target.job,
             .queue = target.queue->name,
             .pool = target.queue->pool,
             .customer = target.customer,
             .policy = target.queue->policy,
             .spec = call.spec,
             .accepted_ms = WallClockMs()};
      early_reply = FindRefusal(job, store, dispatcher,
                                options_.placement->CurrentTime());
      if (early_reply) {
        options_.log->Info(base::EventNumber::kJobRefused,
                           {{"request", target.job.value()},
                            {"queue", target.queue->name},
                            {"reason", early_reply->text},
                            {"waiting_tasks", dispatcher.waiting_tasks()},
                            {"retry_after_ms", early_reply->retry_after_ms}});
      }
    });
    if (early_reply) {
      reply(*early_reply);
      return;
    }
    const std::string id = job.id.value();
    const std::string queue = job.queue;
    const std::string customer = job.customer.value();
    Commit(
        jobs::SubmitJob{.job = std::move(job)}, reply,
        [this, begin, id, queue, customer](jobs::CommandReply result) {
          accept_latency_.Record(base::MonotonicClock::now() - begin);
          options_.log->Info(
              base::EventNumber::kJobAccepted,
              {{"request", id}, {"queue", queue}, {"customer", customer}});
          return jobs::Reply{.status = result == jobs::CommandReply::kConflict
                                           ? jobs::ReplyStatus::kConflict
                                           : jobs::ReplyStatus::kDone};
        });
  });
}

void CallService::Execute(const jobs::ReadCall& call,
                          const ReplyCallback& reply) {
  ReadAfterBarrier(reply, [this, call, reply] {
    const jobs::Reply answer =
        options_.jobs->Read([&](const jobs::JobStore& store) -> jobs::Reply {
          const auto admitted = jobs::AdmitCall(store, call.target);
          if (const auto* refusal = std::get_if<jobs::Reply>(&admitted))
            return *refusal;
          const auto& target = std::get<jobs::AdmittedCall>(admitted);
          if (target.job.empty()) {
            return {.status = jobs::ReplyStatus::kDone,
                    .pending = store.PendingJobs(target.queue->name)};
          }
          const jobs::JobRecord* job = jobs::VisibleJob(store, target);
          if (job == nullptr)
            return {.status = jobs::ReplyStatus::kNoJob};
          return {.status = jobs::ReplyStatus::kDone, .state = job->state};
        });
    reply(answer);
  });
}

void CallService::Execute(const jobs::CancelCall& call,
                          const ReplyCallback& reply) {
  ReadAfterBarrier(reply, [this, call, reply] {
    std::optional<jobs::Reply> early_reply;
    base::JobId id;
    jobs::Command command;
    options_.jobs->Read([&](const jobs::JobStore& store) {
      const auto admitted = jobs::AdmitCall(store, call.target);
      if (const auto* refusal = std::get_if<jobs::Reply>(&admitted)) {
        early_reply = *refusal;
        return;
      }
      const auto& target = std::get<jobs::AdmittedCall>(admitted);
      id = target.job;
      const jobs::JobRecord* job = jobs::VisibleJob(store, target);
      if (job != nullptr && job->ended()) {
        early_reply = Done();
      } else if (job != nullptr) {
        command = jobs::CancelJob{.job = id, .now_ms = WallClockMs()};
      } else if (id.empty() || store.FindJob(id) != nullptr) {
        early_reply = jobs::Reply{.status = jobs::ReplyStatus::kNoJob};
      } else {
        command = jobs::CancelUnknownJob{.job = id,
                                         .queue = target.queue->name,
                                         .customer = target.customer,
                                         .now_ms = WallClockMs()};
      }
    });
    if (early_reply) {
      reply(*early_reply);
      return;
    }
    Commit(command, reply, [this, id](jobs::CommandReply result) {
      options_.log->Info(base::EventNumber::kJobCancelled,
                         {{"request", id.value()}});
      return jobs::Reply{.status = result == jobs::CommandReply::kNotFound
                                       ? jobs::ReplyStatus::kNoJob
                                       : jobs::ReplyStatus::kDone};
    });
  });
}

void CallService::Execute(const jobs::ReportWorkerCall& call,
                          const ReplyCallback& reply) {
  const auto record_heartbeat = [this, call] {
    options_.placement->WithDispatcher(
        [&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
          dispatcher.OnHeartbeat(call, options_.placement->CurrentTime());
        });
  };
  bool needs_record = false;
  std::optional<std::string> fault;
  options_.placement->WithDispatcher(
      [&](jobs::Dispatcher& dispatcher, const jobs::JobStore& store) {
        needs_record = dispatcher.NeedsRecord(call.worker);
        if (needs_record || store.HasDeregistered(call.worker.incarnation))
          fault = jobs::ValidateWorker(store, call.worker);
      });
  if (fault) {
    reply({.status = jobs::ReplyStatus::kInvalid, .text = *fault});
    return;
  }
  if (!needs_record) {
    record_heartbeat();
    reply(Done());
    return;
  }
  Commit(jobs::RecordWorker{.worker = call.worker}, reply,
         [this, call, record_heartbeat](jobs::CommandReply) {
           record_heartbeat();
           options_.log->Info(
               base::EventNumber::kWorkerReported,
               {{"worker", call.worker.incarnation.id.value()},
                {"born", call.worker.incarnation.born},
                {"sequence", call.worker.sequence},
                {"address", call.worker.address},
                {"domain", call.worker.domain.value()},
                {"state", call.worker.phase == jobs::WorkerPhase::kDraining
                              ? "draining"
                              : "ready"}});
           return Done();
         });
}

void CallService::Execute(const jobs::WorkerLeftCall& call,
                          const ReplyCallback& reply) {
  Deregister(call, reply, base::MonotonicClock::now() + kDeregistrationTimeout);
}

void CallService::Deregister(const jobs::WorkerLeftCall& call,
                             const ReplyCallback& reply,
                             base::Instant give_up_at) {
  const auto incarnation =
      options_.jobs->Read([&](const jobs::JobStore& store) {
        return jobs::FindLeaving(store, call);
      });
  if (!incarnation) {
    options_.log->Info(base::EventNumber::kWorkerReported,
                       {{"worker", call.worker.value()},
                        {"born", call.born.value_or(0)},
                        {"state", "left"},
                        {"outcome", "no_change"}});
    reply(Done());
    return;
  }
  bool may_end = true;
  options_.placement->WithDispatcher(
      [&](jobs::Dispatcher& dispatcher, const jobs::JobStore&) {
        may_end = dispatcher.OnDeregistering(*incarnation,
                                             options_.placement->CurrentTime());
      });
  if (!may_end) {
    options_.placement->ScheduleRound();
    if (base::MonotonicClock::now() >= give_up_at) {
      // The worker calls again.
      reply({.status = jobs::ReplyStatus::kUnavailable,
             .text = "the runs of the worker are being stopped"});
      return;
    }
    options_.loop->Schedule(kDeregistrationCheckInterval,
                            [this, call, reply, give_up_at] {
                              Deregister(call, reply, give_up_at);
                            });
    return;
  }
  Commit(jobs::DeregisterWorker{.incarnation = *incarnation,
                                .now_ms = WallClockMs()},
         reply, [this, incarnation = *incarnation](jobs::CommandReply) {
           options_.log->Info(base::EventNumber::kWorkerReported,
                              {{"worker", incarnation.id.value()},
                               {"born", incarnation.born},
                               {"state", "left"}});
           return Done();
         });
}

void CallService::Execute(const jobs::PutConfigurationCall& call,
                          const ReplyCallback& reply) {
  const std::uint64_t version = call.change.configuration.version;
  std::vector<jobs::CustomerFinding> findings =
      jobs::CheckCustomers(call.change.configuration);
  findings.resize(std::min(findings.size(), kMaximumFindings));
  Commit(call.change, reply,
         [this, version,
          findings = std::move(findings)](jobs::CommandReply result) {
           const bool applied = result == jobs::CommandReply::kApplied;
           options_.log->Info(
               base::EventNumber::kConfigurationPut,
               {{"version", version},
                {"outcome", applied ? "in_force" : "not_newer"}});
           if (applied) {
             for (const jobs::CustomerFinding& finding : findings) {
               options_.log->Warning(base::EventNumber::kConfigurationDoubtful,
                                     {{"version", version},
                                      {"customer", finding.customer.value()},
                                      {"reason", finding.detail}});
             }
           }
           return Done();
         });
}

void CallService::Execute(const jobs::ReadConfigurationCall& /*call*/,
                          const ReplyCallback& reply) {
  ReadAfterBarrier(reply, [this, reply] {
    const std::string document = options_.jobs->Read(
        [](const jobs::JobStore& store) { return store.document(); });
    if (document.empty())
      reply({.status = jobs::ReplyStatus::kNotConfigured});
    else
      reply({.status = jobs::ReplyStatus::kDone, .text = document});
  });
}

void CallService::Execute(const jobs::SetDomainServiceCall& call,
                          const ReplyCallback& reply) {
  Commit(call.change, reply,
         [this, change = call.change](jobs::CommandReply result) {
           options_.log->Info(
               base::EventNumber::kDomainServiceSet,
               {{"domain", change.domain.value()},
                {"in_service", change.in_service ? "true" : "false"},
                {"outcome", result == jobs::CommandReply::kApplied
                                ? "changed"
                                : "no_change"}});
           return Done();
         });
}

void CallService::Execute(const jobs::JoinCall& call,
                          const ReplyCallback& reply) {
  for (const consensus::Member& member : options_.replica->status().members) {
    if (member.host == call.host) {
      reply(Done());
      return;
    }
  }
  options_.replica->ChangeMembers(
      {.kind = consensus::MemberChangeKind::kAddLearner,
       .host = call.host,
       .address = call.address},
      kCommitTimeout, [reply](const consensus::ChangeOutcome& outcome) {
        const auto* error = std::get_if<base::Error>(&outcome);
        reply(error == nullptr
                  ? Done()
                  : jobs::Reply{.status = jobs::ReplyStatus::kUnavailable,
                                .text = error->ToString()});
      });
}

void CallService::Execute(const jobs::PingCall& /*call*/,
                          const ReplyCallback& reply) {
  ReadAfterBarrier(reply, [reply] { reply(Done()); });
}

void CallService::Execute(const jobs::LeaveCall& call,
                          const ReplyCallback& reply) {
  ReleaseVote(call.host, reply,
              base::MonotonicClock::now() + kVoteReleaseTimeout);
}

void CallService::ReleaseVote(const base::HostId& host,
                              const ReplyCallback& reply,
                              base::Instant give_up_at) {
  if (options_.placement->IsLeader() && options_.members->ReleaseVote(host)) {
    reply(Done());
    return;
  }
  if (!options_.placement->IsLeader() ||
      base::MonotonicClock::now() >= give_up_at) {
    reply({.status = jobs::ReplyStatus::kUnavailable,
           .text = "the vote of the host is being given to another one"});
    return;
  }
  options_.loop->Schedule(kVoteReleaseCheckInterval,
                          [this, host, reply, give_up_at] {
                            ReleaseVote(host, reply, give_up_at);
                          });
}

}  // namespace wigeonstair::scheduler
