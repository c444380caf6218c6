#include "services/control/replicated_cluster.h"

#include <mutex>

#include "cluster/cluster_codec.h"

namespace wigeonstair::control {

namespace {

struct CommandName {
  std::string operator()(const cluster::ApplyConfiguration&) const {
    return "apply_configuration";
  }
  std::string operator()(const cluster::SetDomainStatus& command) const {
    return command.status == cluster::DomainStatus::kOut ? "domain_out"
                                                         : "domain_in";
  }
  std::string operator()(const cluster::SubmitJob&) const {
    return "submit_job";
  }
  std::string operator()(const cluster::AssignJob&) const {
    return "assign_job";
  }
  std::string operator()(const cluster::ReleaseJob&) const {
    return "release_job";
  }
  std::string operator()(const cluster::KeepCheckpoint&) const {
    return "keep_checkpoint";
  }
  std::string operator()(const cluster::CancelJob&) const {
    return "cancel_job";
  }
  std::string operator()(const cluster::FinishJob&) const {
    return "finish_job";
  }
  std::string operator()(const cluster::SuspendHost&) const {
    return "suspend_host";
  }
  std::string operator()(const cluster::RestoreHost&) const {
    return "restore_host";
  }
  std::string operator()(const cluster::RetireHostLists&) const {
    return "retire_host_lists";
  }
  std::string operator()(const cluster::ConfirmHostStopped&) const {
    return "confirm_host_stopped";
  }
  std::string operator()(const cluster::RetireWorkerCounts&) const {
    return "retire_worker_counts";
  }
};

const char* ResultName(cluster::CommandResult result) {
  switch (result) {
    case cluster::CommandResult::kAccepted:
      return "accepted";
    case cluster::CommandResult::kConflict:
      return "conflict";
    case cluster::CommandResult::kInvalid:
      return "invalid";
    case cluster::CommandResult::kNotFound:
      return "not_found";
    case cluster::CommandResult::kTableFull:
      return "table_full";
  }
  return "unknown";
}

// The job that a command is about, or null.
const base::JobId* JobOf(const cluster::Command& command) {
  return std::visit(
      [](const auto& value) -> const base::JobId* {
        if constexpr (requires { value.specification; })
          return &value.specification.id;
        else if constexpr (requires { value.job; })
          return &value.job;
        else
          return nullptr;
      },
      command);
}

// The job, domain or host that a command is about.
std::string SubjectOf(const cluster::Command& command) {
  if (const base::JobId* job = JobOf(command))
    return job->value();
  return std::visit(
      [](const auto& value) -> std::string {
        if constexpr (requires { value.domain; })
          return value.domain.value();
        else if constexpr (requires { value.host; })
          return value.host.value();
        else
          return "configuration";
      },
      command);
}

}  // namespace

ReplicatedCluster::ReplicatedCluster(std::shared_ptr<base::EventLog> event_log)
    : event_log_(std::move(event_log)) {}

std::string ReplicatedCluster::Apply(std::uint64_t index,
                                     std::string_view command) {
  const auto decoded =
      base::Capture([&] { return cluster::DecodeCommand(command); });
  const auto* value = std::get_if<cluster::Command>(&decoded);
  std::unique_lock lock(mutex_);
  if (value == nullptr) {
    std::string refusal = state_.ApplyEncoded(command);
    Publish();
    return refusal;
  }
  const cluster::CommandReply reply = state_.Apply(*value);
  views_.Record(state_);
  Publish();
  if (const base::JobId* job = JobOf(*value))
    job_changes_.Add(change_count_.load(std::memory_order_relaxed), *job);
  lock.unlock();
  event_log_->Info(base::EventNumber::kCommandApplied,
                   {{"index", index},
                    {"command", std::visit(CommandName{}, *value)},
                    {"subject", SubjectOf(*value)},
                    {"operation", cluster::OperationOf(*value)},
                    {"result", ResultName(reply.result)},
                    {"revision", reply.revision},
                    {"reason", reply.detail}});
  return cluster::EncodeReply(reply);
}

std::string ReplicatedCluster::Snapshot() const {
  std::shared_lock lock(mutex_);
  return state_.Snapshot();
}

base::Result<std::monostate> ReplicatedCluster::Restore(
    std::string_view snapshot) {
  std::unique_lock lock(mutex_);
  TRY(state_.Restore(snapshot));
  views_.Record(state_);
  Publish();
  job_changes_.Clear(change_count_.load(std::memory_order_relaxed));
  return std::monostate{};
}

cluster::ViewReply ReplicatedCluster::AnswerView(
    const cluster::ViewRequest& request) const {
  std::shared_lock lock(mutex_);
  return views_.Answer(request);
}

void ReplicatedCluster::Publish() {
  revision_.store(state_.revision(), std::memory_order_release);
  change_count_.fetch_add(1, std::memory_order_release);
}

}  // namespace wigeonstair::control
