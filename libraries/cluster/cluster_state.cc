#include "cluster/cluster_state.h"

#include <xxhash.h>
#include <cereal/types/deque.hpp>

#include <algorithm>
#include <utility>

#include "cluster/cluster_codec.h"
#include "cluster/host_changes.h"
#include "net/codec.h"

namespace wigeonstair::cluster {

namespace {

constexpr std::size_t kOperationLimitBytes = 128;

CommandReply Accepted(std::uint64_t revision) {
  return CommandReply{.result = CommandResult::kAccepted, .revision = revision};
}

// Hashes a command without the fields in which a retry may differ: the
// submission time, and the patch, which may be relative to another
// configuration.
struct Fingerprint {
  std::uint64_t operator()(ApplyConfiguration command) const {
    command.patch = {};
    return Hash(command);
  }
  std::uint64_t operator()(SubmitJob command) const {
    command.time_milliseconds = 0;
    return Hash(command);
  }
  template <typename Other>
  std::uint64_t operator()(const Other& command) const {
    return Hash(command);
  }

  static std::uint64_t Hash(const Command& command) {
    const std::string encoded = EncodeCommand(command);
    return XXH64(encoded.data(), encoded.size(), 0);
  }
};

}  // namespace

std::string_view OperationOf(const Command& command) {
  return std::visit(
      [](const auto& value) -> std::string_view {
        if constexpr (requires { value.operation; })
          return value.operation;
        else
          return {};
      },
      command);
}

ClusterState::ClusterState(ClusterStateOptions options) : options_(options) {}

CommandReply ClusterState::Apply(const Command& command) {
  const std::string operation(OperationOf(command));
  if (operation.empty()) {
    return std::visit([this](const auto& value) { return ApplyOne(value); },
                      command);
  }
  if (operation.size() > kOperationLimitBytes)
    return Invalid("the operation id is longer than 128 bytes");
  const std::uint64_t fingerprint = std::visit(Fingerprint{}, command);
  const auto known = operations_.find(operation);
  if (known != operations_.end() &&
      options_.fault != ClusterFault::kForgetOperations) {
    if (known->second.fingerprint == fingerprint)
      return known->second.reply;
    return Invalid("operation id " + operation +
                   " was used for another command; choose a new one");
  }
  CommandReply reply = std::visit(
      [this](const auto& value) { return ApplyOne(value); }, command);
  RecordOperation(operation, fingerprint, reply);
  return reply;
}

std::string ClusterState::ApplyEncoded(std::string_view command) {
  auto decoded = base::Capture([&] { return DecodeCommand(command); });
  if (const auto* error = std::get_if<base::Error>(&decoded))
    return EncodeReply(Invalid(error->ToString()));
  return EncodeReply(Apply(std::get<Command>(decoded)));
}

DomainState ClusterState::domain(const base::DomainId& id) const {
  const auto found = domains_.find(id);
  if (found == domains_.end())
    return DomainState{.status = DomainStatus::kOut};
  return found->second;
}

const std::set<base::JobId>& ClusterState::assigned_jobs(
    const base::DomainId& id) const {
  static const std::set<base::JobId> kNoJobs;
  const auto found = assigned_.find(id);
  return found == assigned_.end() ? kNoJobs : found->second;
}

CommandReply ClusterState::Invalid(std::string detail) const {
  return CommandReply{.result = CommandResult::kInvalid,
                      .revision = revision_,
                      .detail = std::move(detail)};
}

CommandReply ClusterState::Conflict(const std::string& winner,
                                    std::string detail) const {
  return CommandReply{.result = CommandResult::kConflict,
                      .revision = revision_,
                      .winner_operation = winner,
                      .detail = std::move(detail)};
}

CommandReply ClusterState::NotFound(const base::JobId& job) const {
  return CommandReply{.result = CommandResult::kNotFound,
                      .revision = revision_,
                      .detail = "there is no job " + job.value(),
                      .job = job};
}

void ClusterState::RecordOperation(const std::string& operation,
                                   std::uint64_t fingerprint,
                                   const CommandReply& reply) {
  const auto [position, inserted] = operations_.insert_or_assign(
      operation, Operation{.fingerprint = fingerprint, .reply = reply});
  if (inserted)
    operation_order_.push_back(operation);
  while (operation_order_.size() > options_.maximum_operations) {
    operations_.erase(operation_order_.front());
    operation_order_.pop_front();
  }
}

CommandReply ClusterState::ApplyOne(const ApplyConfiguration& command) {
  if (command.expected_revision != configuration_revision_ &&
      options_.fault != ClusterFault::kIgnoreExpectedRevision) {
    CommandReply reply =
        Conflict(configuration_operation_,
                 "the configuration is at revision " +
                     std::to_string(configuration_revision_) + ", not " +
                     std::to_string(command.expected_revision));
    reply.revision = configuration_revision_;
    return reply;
  }
  ClusterConfiguration changed = ApplyPatch(configuration_, command.patch);
  if (HashConfiguration(changed) != command.target_hash)
    return Invalid("the patch does not lead to the wanted configuration");
  const std::string fault = FindHostChangeFault(configuration_, changed);
  if (!fault.empty())
    return Invalid(fault);
  configuration_ = std::move(changed);
  configuration_revision_ = ++revision_;
  configuration_operation_ = command.operation;
  std::map<base::DomainId, DomainState> kept;
  for (const DomainConfiguration& domain : configuration_.domains)
    kept[domain.id] = domains_[domain.id];
  domains_ = std::move(kept);
  std::erase_if(suspended_hosts_, [this](const base::HostId& id) {
    return std::none_of(
        configuration_.hosts.begin(), configuration_.hosts.end(),
        [&](const HostConfiguration& host) { return host.id == id; });
  });
  RecordHostLists();
  worker_counts_.Record(configuration_, revision_);
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const SetDomainStatus& command) {
  const auto found = domains_.find(command.domain);
  if (found == domains_.end()) {
    return CommandReply{
        .result = CommandResult::kNotFound,
        .revision = revision_,
        .detail = "there is no failure domain " + command.domain.value()};
  }
  DomainState& domain = found->second;
  if (command.expected_revision != domain.revision &&
      options_.fault != ClusterFault::kIgnoreExpectedRevision) {
    CommandReply reply =
        Conflict(domain.last_operation,
                 "the status of failure domain " + command.domain.value() +
                     " is at revision " + std::to_string(domain.revision) +
                     ", not " + std::to_string(command.expected_revision));
    reply.revision = domain.revision;
    return reply;
  }
  domain = DomainState{.status = command.status,
                       .drain_mode = command.drain_mode,
                       .revision = ++revision_,
                       .last_operation = command.operation};
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const SubmitJob& command) {
  const JobSpecification& specification = command.specification;
  if (specification.id.empty())
    return Invalid("the job has no id");
  if (jobs_.contains(specification.id)) {
    CommandReply reply =
        Conflict({}, "there is a job " + specification.id.value() + " already");
    reply.job = specification.id;
    return reply;
  }
  if (live_jobs_ >= options_.maximum_live_jobs) {
    return CommandReply{.result = CommandResult::kTableFull,
                        .revision = revision_,
                        .detail = "the table holds " +
                                  std::to_string(live_jobs_) +
                                  " jobs that have not ended",
                        .job = specification.id};
  }
  JobRecord& record = jobs_[specification.id];
  record.specification = specification;
  record.submitted_milliseconds = command.time_milliseconds;
  ++live_jobs_;
  queued_.PushBack(specification.id);
  CommandReply reply = Accepted(revision_);
  reply.job = specification.id;
  return reply;
}

CommandReply ClusterState::ApplyOne(const AssignJob& command) {
  const auto found = jobs_.find(command.job);
  if (found == jobs_.end())
    return NotFound(command.job);
  JobRecord& record = found->second;
  if (record.phase != JobPhase::kQueued ||
      record.assignments != command.expected_assignment)
    return Conflict({}, "the job is not queued any more");
  if (!domains_.contains(command.domain))
    return Invalid("there is no failure domain " + command.domain.value());
  record.phase = JobPhase::kAssigned;
  record.domain = command.domain;
  ++record.assignments;
  assigned_[command.domain].insert(command.job);
  AddToLoad(loads_, command.domain, record.specification);
  queued_.Remove(command.job);
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const ReleaseJob& command) {
  const auto found = jobs_.find(command.job);
  if (found == jobs_.end())
    return NotFound(command.job);
  JobRecord& record = found->second;
  if (record.phase != JobPhase::kAssigned ||
      record.assignments != command.assignment ||
      record.domain != command.domain)
    return Conflict({}, "the domain does not have the job any more");
  // The latest checkpoint counts. A placement authority that knows of none does
  // not reset an earlier one.
  record.checkpoint_milliseconds =
      std::max(record.checkpoint_milliseconds, command.checkpoint_milliseconds);
  if (!command.refusal.empty())
    record.refusals[command.domain] = command.refusal;
  RemoveFromDomain(command.job, record);
  QueueJob(command.job, record);
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const KeepCheckpoint& command) {
  const auto found = jobs_.find(command.job);
  if (found == jobs_.end())
    return NotFound(command.job);
  JobRecord& record = found->second;
  if (record.phase != JobPhase::kAssigned ||
      record.assignments != command.assignment)
    return Conflict({}, "the job was assigned again or has ended");
  record.checkpoint_milliseconds =
      std::max(record.checkpoint_milliseconds, command.checkpoint_milliseconds);
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const CancelJob& command) {
  const auto found = jobs_.find(command.job);
  if (found == jobs_.end())
    return NotFound(command.job);
  CommandReply reply = Accepted(revision_);
  reply.job = command.job;
  JobRecord& record = found->second;
  if (record.phase == JobPhase::kEnded) {
    if (record.outcome != JobOutcome::kCancelled) {
      reply = Conflict({}, "the job has already ended");
      reply.job = command.job;
    }
    return reply;
  }
  EndJob(command.job, record, JobOutcome::kCancelled,
         "cancelled by operation " + command.operation);
  return reply;
}

CommandReply ClusterState::ApplyOne(const FinishJob& command) {
  const auto found = jobs_.find(command.job);
  if (found == jobs_.end())
    return NotFound(command.job);
  JobRecord& record = found->second;
  if (record.phase == JobPhase::kEnded)
    return Conflict({}, "the job has already ended");
  // A domain that the job is no longer assigned to cannot end it.
  if (record.assignments != command.assignment)
    return Conflict({}, "the job was assigned again");
  EndJob(command.job, record, command.outcome, command.detail);
  return Accepted(revision_);
}

bool ClusterState::IsLastMember(const HostConfiguration& host) const {
  return std::none_of(configuration_.hosts.begin(), configuration_.hosts.end(),
                      [&](const HostConfiguration& other) {
                        return other.domain == host.domain &&
                               other.id != host.id &&
                               !suspended_hosts_.contains(other.id);
                      });
}

CommandReply ClusterState::ApplyOne(const SuspendHost& command) {
  if (command.expected_revision != revision_ ||
      suspended_hosts_.contains(command.host))
    return Conflict({}, "the state has changed since the decision");
  const auto host =
      std::find_if(configuration_.hosts.begin(), configuration_.hosts.end(),
                   [&](const HostConfiguration& candidate) {
                     return candidate.id == command.host;
                   });
  if (host == configuration_.hosts.end())
    return Invalid("there is no host " + command.host.value());
  if (IsLastMember(*host))
    return Invalid("the domain would have no host left");
  suspended_hosts_.insert(command.host);
  ++revision_;
  RecordHostLists();
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const RestoreHost& command) {
  if (command.expected_revision != revision_ ||
      !suspended_hosts_.contains(command.host))
    return Conflict({}, "the state has changed since the decision");
  suspended_hosts_.erase(command.host);
  stopped_hosts_.erase(command.host);
  ++revision_;
  RecordHostLists();
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const RetireHostLists& command) {
  if (!domains_.contains(command.domain))
    return Invalid("there is no failure domain " + command.domain.value());
  host_lists_.Retire(command.domain, command.revision);
  std::erase_if(stopped_hosts_, [this](const auto& entry) {
    return !host_lists_.ListsHost(entry.first);
  });
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const ConfirmHostStopped& command) {
  if (IsMember(command.host)) {
    return Invalid("host " + command.host.value() +
                   " counts as running; stop it and wait until it is listed "
                   "among the suspended hosts");
  }
  if (!suspended_hosts_.contains(command.host) &&
      !host_lists_.ListsHost(command.host)) {
    return CommandReply{.result = CommandResult::kNotFound,
                        .revision = revision_,
                        .detail = "there is no host " + command.host.value()};
  }
  stopped_hosts_[command.host] = ++revision_;
  return Accepted(revision_);
}

CommandReply ClusterState::ApplyOne(const RetireWorkerCounts& command) {
  if (!domains_.contains(command.domain))
    return Invalid("there is no failure domain " + command.domain.value());
  worker_counts_.Retire(command.domain, command.revision);
  return Accepted(revision_);
}

bool ClusterState::IsMember(const base::HostId& host) const {
  return !suspended_hosts_.contains(host) &&
         std::any_of(configuration_.hosts.begin(), configuration_.hosts.end(),
                     [&](const HostConfiguration& candidate) {
                       return candidate.id == host;
                     });
}

void ClusterState::RecordHostLists() {
  host_lists_.Record(configuration_, suspended_hosts_, revision_);
}

void ClusterState::RemoveFromDomain(const base::JobId& id, JobRecord& record) {
  if (record.phase != JobPhase::kAssigned)
    return;
  assigned_[record.domain].erase(id);
  RemoveFromLoad(loads_, record.domain, record.specification);
  record.domain = {};
}

void ClusterState::QueueJob(const base::JobId& id, JobRecord& record) {
  record.phase = JobPhase::kQueued;
  // A released job goes to the front, because its customer has waited longer
  // for the result.
  queued_.PushFront(id);
}

void ClusterState::EndJob(const base::JobId& id,
                          JobRecord& record,
                          JobOutcome outcome,
                          std::string detail) {
  queued_.Remove(id);
  RemoveFromDomain(id, record);
  record.phase = JobPhase::kEnded;
  record.outcome = outcome;
  record.detail = std::move(detail);
  --live_jobs_;
  ended_.push_back(id);
  while (ended_.size() > options_.maximum_ended_jobs) {
    jobs_.erase(ended_.front());
    ended_.pop_front();
  }
}

void ClusterState::RebuildIndexes() {
  assigned_.clear();
  loads_.clear();
  live_jobs_ = 0;
  for (const auto& [id, record] : jobs_) {
    if (record.phase != JobPhase::kEnded)
      ++live_jobs_;
    if (record.phase != JobPhase::kAssigned)
      continue;
    assigned_[record.domain].insert(id);
    AddToLoad(loads_, record.domain, record.specification);
  }
}

// The serialized state as Restore() reads it.
struct ClusterState::Image {
  std::uint64_t revision = 0;
  std::uint64_t configuration_revision = 0;
  std::string configuration_operation;
  ClusterConfiguration configuration;
  std::map<base::DomainId, DomainState> domains;
  std::set<base::HostId> suspended_hosts;
  HostListHistory host_lists;
  WorkerCountHistory worker_counts;
  std::map<base::HostId, std::uint64_t> stopped_hosts;
  std::map<base::JobId, JobRecord> jobs;
  std::vector<base::JobId> queued;
  std::deque<base::JobId> ended;
  std::map<std::string, Operation> operations;
  std::deque<std::string> operation_order;

  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    archive(revision, configuration_revision, configuration_operation,
            configuration, domains, suspended_hosts, host_lists, worker_counts,
            stopped_hosts, jobs, queued, ended, operations, operation_order);
  }
};

// Serializes the fields of an Image by reference, because a copy would double
// the memory use.
struct ClusterState::ImageView {
  const ClusterState& state;

  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(state.revision_, state.configuration_revision_,
            state.configuration_operation_, state.configuration_,
            state.domains_, state.suspended_hosts_, state.host_lists_,
            state.worker_counts_, state.stopped_hosts_, state.jobs_,
            state.queued_.ids(), state.ended_, state.operations_,
            state.operation_order_);
  }
};

std::string ClusterState::Snapshot() const {
  const ImageView view{.state = *this};
  return net::Encode(view, net::EncodedSize(view));
}

base::Result<std::monostate> ClusterState::Restore(std::string_view bytes) {
  Image image = TRY(net::Decode<Image>(bytes));
  revision_ = image.revision;
  configuration_revision_ = image.configuration_revision;
  configuration_operation_ = std::move(image.configuration_operation);
  configuration_ = std::move(image.configuration);
  domains_ = std::move(image.domains);
  suspended_hosts_ = std::move(image.suspended_hosts);
  host_lists_ = std::move(image.host_lists);
  worker_counts_ = std::move(image.worker_counts);
  stopped_hosts_ = std::move(image.stopped_hosts);
  jobs_ = std::move(image.jobs);
  queued_ = QueuedJobs(image.queued);
  ended_ = std::move(image.ended);
  operations_ = std::move(image.operations);
  operation_order_ = std::move(image.operation_order);
  RebuildIndexes();
  return std::monostate{};
}

}  // namespace wigeonstair::cluster
