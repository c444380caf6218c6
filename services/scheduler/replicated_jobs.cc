#include "services/scheduler/replicated_jobs.h"

namespace wigeonstair::scheduler {

ReplicatedJobs::ReplicatedJobs(std::function<void()> on_applied,
                               std::shared_ptr<base::EventLog> log)
    : on_applied_(std::move(on_applied)), log_(std::move(log)) {}

std::string ReplicatedJobs::Apply(std::uint64_t index,
                                  std::string_view command) {
  const auto decoded =
      base::Capture([&] { return jobs::DecodeCommand(command); });
  // Every host applies the same bytes, so all replicas skip an unreadable
  // command and their states stay equal.
  const auto* known = std::get_if<jobs::Command>(&decoded);
  if (known == nullptr) {
    log_->Warning(base::EventNumber::kCommandUnreadable,
                  {{"index", index},
                   {"reason", std::get<base::Error>(decoded).ToString()}});
    return std::string(1, static_cast<char>(jobs::CommandReply::kConflict));
  }
  jobs::CommandReply reply = jobs::CommandReply::kNoChange;
  {
    const std::lock_guard lock(mutex_);
    reply = store_.Apply(*known);
    placements_.Record(*known, base::MonotonicClock::now());
  }
  on_applied_();
  return std::string(1, static_cast<char>(reply));
}

std::string ReplicatedJobs::Snapshot() const {
  const std::lock_guard lock(mutex_);
  return store_.Snapshot();
}

base::Result<std::monostate> ReplicatedJobs::Restore(
    std::string_view snapshot) {
  const std::lock_guard lock(mutex_);
  placements_.Reset(base::MonotonicClock::now());
  return store_.Restore(snapshot);
}

jobs::CommandReply DecodeReply(const std::string& result) {
  return result.size() == 1 ? static_cast<jobs::CommandReply>(result[0])
                            : jobs::CommandReply::kConflict;
}

}  // namespace wigeonstair::scheduler
