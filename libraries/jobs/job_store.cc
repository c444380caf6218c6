#include "jobs/job_store.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "jobs/admission.h"
#include "net/codec.h"

namespace wigeonstair::jobs {

namespace {

void AddFailure(std::vector<std::uint32_t>& failed, std::uint32_t attempt) {
  // Workers list an end until it is acknowledged, so it can arrive more than
  // once.
  if (std::find(failed.begin(), failed.end(), attempt) == failed.end())
    failed.push_back(attempt);
}

bool AllStepsDone(const JobRecord& job) {
  for (std::uint32_t k = 0; k < job.spec.occurrences(); ++k) {
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (!job.StepDone(k, step))
        return false;
    }
  }
  return true;
}

// What a snapshot holds; refers to the parts. Later versions appended parts.
template <typename... Parts>
struct SnapshotContent {
  std::tuple<Parts&...> parts;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    std::apply([&](Parts&... part) { archive(part...); }, parts);
  }
};

// Whether `snapshot` consists of exactly these parts.
template <typename... Parts>
bool RestoreParts(std::string_view snapshot, Parts&... parts) {
  const auto complete = base::Capture([&] {
    SnapshotContent<Parts...> content{{parts...}};
    return net::DecodeInto(content, snapshot);
  });
  return !std::holds_alternative<base::Error>(complete);
}

template <typename... Parts>
std::string EncodeParts(const Parts&... parts) {
  return net::Encode(SnapshotContent<const Parts...>{{parts...}});
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  return net::Encode(command);
}

base::Result<Command> DecodeCommand(std::string_view bytes) {
  return net::Decode<Command>(bytes);
}

CommandReply JobStore::Apply(const Command& command) {
  return std::visit([this](const auto& chosen) { return Execute(chosen); },
                    command);
}

const JobRecord* JobStore::FindJob(const base::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const TaskProgress* JobStore::FindTask(const TaskRef& task) const {
  const JobRecord* job = FindJob(task.job);
  if (job == nullptr)
    return nullptr;
  const std::vector<TaskProgress>* tasks =
      job->FindProgress(task.occurrence, task.step);
  if (tasks == nullptr || task.index >= tasks->size())
    return nullptr;
  return &(*tasks)[task.index];
}

std::uint64_t JobStore::PendingJobs(const std::string& queue) const {
  return static_cast<std::uint64_t>(std::count_if(
      open_jobs_.begin(), open_jobs_.end(), [&](const base::JobId& id) {
        const JobRecord& job = jobs_.at(id);
        return job.queue == queue && job.state == JobState::kQueued;
      }));
}

CommandReply JobStore::Execute(const PutConfiguration& command) {
  if (command.configuration.version <= configuration_.version)
    return CommandReply::kNoChange;
  configuration_ = command.configuration;
  document_ = command.document;
  return CommandReply::kApplied;
}

CommandReply JobStore::Execute(const SetDomainService& command) {
  const bool changed = command.in_service
                           ? out_of_service_.erase(command.domain) > 0
                           : out_of_service_.insert(command.domain).second;
  return changed ? CommandReply::kApplied : CommandReply::kNoChange;
}

CommandReply JobStore::Execute(const SubmitJob& command) {
  if (ValidateJobSpec(command.job.spec))
    return CommandReply::kConflict;
  const auto [found, inserted] = jobs_.try_emplace(command.job.id, command.job);
  if (inserted) {
    open_jobs_.insert(command.job.id);
    return CommandReply::kApplied;
  }
  return found->second.spec == command.job.spec ? CommandReply::kNoChange
                                                : CommandReply::kConflict;
}

CommandReply JobStore::Execute(const CancelJob& command) {
  const auto found = jobs_.find(command.job);
  if (found == jobs_.end())
    return CommandReply::kNotFound;
  if (found->second.ended())
    return CommandReply::kNoChange;
  Close(found->second, JobState::kCancelled, command.now_ms);
  return CommandReply::kApplied;
}

CommandReply JobStore::Execute(const TakeOver& command) {
  if (command.term <= term_)
    return CommandReply::kNoChange;
  term_ = command.term;
  return CommandReply::kApplied;
}

CommandReply JobStore::Execute(const PlaceTasks& command) {
  if (command.term != term_)
    return CommandReply::kNoChange;
  for (const Placement& placement : command.placements)
    Place(placement);
  return CommandReply::kApplied;
}

void JobStore::Place(const Placement& placement) {
  const auto found = jobs_.find(placement.task.job);
  if (found == jobs_.end())
    return;
  JobRecord& job = found->second;
  const bool exists =
      placement.task.step < job.spec.steps.size() &&
      placement.task.occurrence < job.spec.occurrences() &&
      placement.task.index < job.spec.steps[placement.task.step].count;
  if (!exists)
    return;
  std::vector<TaskProgress>& tasks =
      job.progress[{placement.task.occurrence, placement.task.step}];
  tasks.resize(job.spec.steps[placement.task.step].count);
  TaskProgress& task = tasks[placement.task.index];
  if (job.ended() || task.phase == TaskPhase::kDone ||
      placement.attempt <= task.attempt) {
    return;
  }
  task.phase = TaskPhase::kPlaced;
  task.attempt = placement.attempt;
  task.worker = placement.worker;
  if (job.state == JobState::kQueued)
    job.state = JobState::kRunning;
}

CommandReply JobStore::Execute(const EndTasks& command) {
  if (command.term != term_)
    return CommandReply::kNoChange;
  for (const TaskEnd& end : command.ends)
    End(end, command.now_ms);
  return CommandReply::kApplied;
}

void JobStore::End(const TaskEnd& end, std::uint64_t now_ms) {
  const auto found = jobs_.find(end.task.job);
  if (found == jobs_.end() || found->second.ended())
    return;
  JobRecord& job = found->second;
  const auto tasks = job.progress.find({end.task.occurrence, end.task.step});
  if (tasks == job.progress.end() || end.task.index >= tasks->second.size())
    return;
  TaskProgress& task = tasks->second[end.task.index];
  const StepSpec& step = job.spec.steps[end.task.step];
  if (step.gang)
    EndGang(job, end);
  EndSingle(step, task, end);
  const bool exhausted = !step.long_running &&
                         task.failed_attempts.size() >= job.policy.max_attempts;
  if (exhausted && task.phase != TaskPhase::kDone)
    Close(job, JobState::kFailed, now_ms);
  else if (task.phase == TaskPhase::kDone && AllStepsDone(job))
    Close(job, JobState::kCompleted, now_ms);
}

// The end of one member counts for all: a gang is done or fails as a whole, and
// a checkpoint of any member is valid for the whole gang.
void JobStore::EndGang(JobRecord& job, const TaskEnd& end) {
  for (TaskProgress& member :
       job.progress.at({end.task.occurrence, end.task.step})) {
    if (end.outcome == RunOutcome::kFailed)
      AddFailure(member.failed_attempts, end.attempt);
    if (end.outcome == RunOutcome::kDone)
      member.phase = TaskPhase::kDone;
    else if (!end.checkpoint.empty() && member.attempt == end.attempt)
      member.checkpoint = end.checkpoint;
  }
}

void JobStore::EndSingle(const StepSpec& step,
                         TaskProgress& task,
                         const TaskEnd& end) {
  if (task.phase == TaskPhase::kDone)
    return;
  if (end.outcome == RunOutcome::kFailed)
    AddFailure(task.failed_attempts, end.attempt);
  if (end.outcome == RunOutcome::kDone && !step.long_running) {
    task.phase = TaskPhase::kDone;
    return;
  }
  if (end.attempt != task.attempt || task.phase != TaskPhase::kPlaced)
    return;
  task.phase = TaskPhase::kWaiting;
  if (!end.checkpoint.empty())
    task.checkpoint = end.checkpoint;
}

void JobStore::Close(JobRecord& job, JobState state, std::uint64_t now_ms) {
  job.state = state;
  job.ended_ms = now_ms;
  open_jobs_.erase(job.id);
}

CommandReply JobStore::Execute(const RecordWorker& command) {
  const WorkerDescription& worker = command.worker;
  if (HasDeregistered(worker.incarnation))
    return CommandReply::kNoChange;
  const auto found = workers_.find(worker.incarnation.id);
  if (found != workers_.end() &&
      found->second.incarnation.born > worker.incarnation.born)
    return CommandReply::kNoChange;
  // An address belongs to the incarnation with the highest `born`.
  for (auto other = workers_.begin(); other != workers_.end();) {
    const bool replaced = other->second.address == worker.address &&
                          other->first != worker.incarnation.id;
    if (replaced && other->second.incarnation.born > worker.incarnation.born)
      return CommandReply::kNoChange;
    other = replaced ? workers_.erase(other) : std::next(other);
  }
  workers_[worker.incarnation.id] = worker;
  ++worker_revision_;
  return CommandReply::kApplied;
}

CommandReply JobStore::Execute(const RemoveWorker& command) {
  const auto found = workers_.find(command.incarnation.id);
  if (found == workers_.end() ||
      found->second.incarnation != command.incarnation)
    return CommandReply::kNotFound;
  workers_.erase(found);
  ++worker_revision_;
  return CommandReply::kApplied;
}

CommandReply JobStore::Execute(const DeregisterWorker& command) {
  deregistered_.emplace(command.incarnation, command.now_ms);
  return Execute(RemoveWorker{.incarnation = command.incarnation});
}

CommandReply JobStore::Execute(const ConfirmStarts& /*command*/) {
  return CommandReply::kNoChange;
}

CommandReply JobStore::Execute(const RecordRunTimes& command) {
  run_times_.Add(command.samples);
  return CommandReply::kApplied;
}

CommandReply JobStore::Execute(const ForgetJobs& command) {
  std::erase_if(deregistered_, [&](const auto& item) {
    return item.second < command.ended_before_ms;
  });
  std::erase_if(jobs_, [&](const auto& item) {
    return item.second.ended() &&
           item.second.ended_ms < command.ended_before_ms;
  });
  return CommandReply::kApplied;
}

std::string JobStore::Snapshot() const {
  // Without samples, versions before RecordRunTimes can read it.
  return run_times_.samples() == 0
             ? EncodeParts(*this, deregistered_)
             : EncodeParts(*this, deregistered_, run_times_);
}

base::Result<std::monostate> JobStore::Restore(std::string_view snapshot) {
  JobStore restored;
  if (!RestoreParts(snapshot, restored, restored.deregistered_,
                    restored.run_times_)) {
    restored = {};
    // Snapshots of versions before DeregisterWorker hold the store only.
    if (!RestoreParts(snapshot, restored, restored.deregistered_))
      restored = TRY(net::Decode<JobStore>(snapshot));
  }
  restored.worker_revision_ = worker_revision_ + 1;
  *this = std::move(restored);
  return std::monostate{};
}

}  // namespace wigeonstair::jobs
