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

// What the end of a run means for its task. A task that lasts is never done: it
// starts again however it ends.
RunOutcome OutcomeFor(const StepSpec& step, RunOutcome outcome) {
  return step.long_running && outcome == RunOutcome::kDone
             ? RunOutcome::kReturned
             : outcome;
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

// Whether the progress of the job has only tasks of its steps. A snapshot comes
// from a peer.
bool IsConsistent(const JobRecord& job) {
  return std::all_of(
      job.progress.begin(), job.progress.end(), [&](const auto& item) {
        const auto& [occurrence, step] = item.first;
        return job.HasTask(
                   {.job = job.id, .occurrence = occurrence, .step = step}) &&
               item.second.size() == job.spec.steps[step].count;
      });
}

// What a snapshot holds; refers to the parts. What later versions added comes
// last and is left out while it is empty, so that earlier versions can read it.
template <typename Store>
struct SnapshotContent {
  template <typename Part>
  using Reference =
      std::conditional_t<std::is_const_v<Store>, const Part, Part>&;

  Store& store;
  Reference<std::map<WorkerIncarnation, std::uint64_t>> deregistered;
  Reference<Configuration> configuration;
  Reference<RunTimeModel> run_times;

  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(store, deregistered);
    const bool learned = run_times.samples() > 0;
    const std::vector<CustomerLimits> limits = LimitsOf(configuration);
    if (learned || !limits.empty())
      archive(limits);
    if (learned)
      archive(run_times);
  }
  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    archive(store, deregistered);
    LoadLimits(archive, configuration);
    if (archive.remaining() > 0)
      archive(run_times);
  }
};

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

const JobRecord* JobStore::FindJobOf(const TaskRef& task) const {
  const JobRecord* job = FindJob(task.job);
  return job != nullptr && job->HasTask(task) ? job : nullptr;
}

bool JobStore::WasPlaced(const RunKey& run) const {
  const TaskProgress* task = FindTask(run.task);
  return task != nullptr && run.attempt > 0 && run.attempt <= task->attempt;
}

const TaskProgress* JobStore::FindTask(const TaskRef& task) const {
  const JobRecord* job = FindJobOf(task);
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
  if (ValidateJobSpec(command.job.spec) || !IsConsistent(command.job))
    return CommandReply::kConflict;
  const auto [found, inserted] = jobs_.try_emplace(command.job.id, command.job);
  JobRecord& known = found->second;
  const bool same_owner = known.queue == command.job.queue &&
                          known.customer == command.job.customer;
  if (!inserted && !known.IsPlaceholder()) {
    return same_owner && known.spec == command.job.spec
               ? CommandReply::kNoChange
               : CommandReply::kConflict;
  }
  const std::uint64_t ended_ms = known.ended_ms;
  const bool cancelled = known.IsPlaceholder() && same_owner;
  if (!inserted)
    known = command.job;
  open_jobs_.insert(known.id);
  job_changes_.Add(known.id);
  if (cancelled)
    Close(known, JobState::kCancelled, ended_ms);
  return CommandReply::kApplied;
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

CommandReply JobStore::Execute(const CancelUnknownJob& command) {
  const auto [found, inserted] =
      jobs_.try_emplace(command.job, JobRecord{.id = command.job,
                                               .queue = command.queue,
                                               .customer = command.customer,
                                               .accepted_ms = command.now_ms,
                                               .ended_ms = command.now_ms,
                                               .state = JobState::kCancelled});
  const JobRecord& job = found->second;
  if (inserted || job.IsPlaceholder() || job.queue != command.queue ||
      job.customer != command.customer) {
    return CommandReply::kNotFound;
  }
  return Execute(CancelJob{.job = command.job, .now_ms = command.now_ms});
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
  job_changes_.Add(job.id);
  if (!job.HasTask(placement.task))
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

void JobStore::End(const TaskEnd& listed, std::uint64_t now_ms) {
  TaskEnd end = listed;
  const auto found = jobs_.find(end.task.job);
  if (found == jobs_.end() || found->second.ended() ||
      !found->second.HasTask(end.task)) {
    return;
  }
  JobRecord& job = found->second;
  job_changes_.Add(job.id);
  const auto tasks = job.progress.find({end.task.occurrence, end.task.step});
  if (tasks == job.progress.end() || end.task.index >= tasks->second.size())
    return;
  TaskProgress& task = tasks->second[end.task.index];
  const StepSpec& step = job.spec.steps[end.task.step];
  end.outcome = OutcomeFor(step, end.outcome);
  if (step.gang)
    EndGang(job, end);
  EndSingle(task, end);
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

void JobStore::EndSingle(TaskProgress& task, const TaskEnd& end) {
  if (task.phase == TaskPhase::kDone)
    return;
  if (end.outcome == RunOutcome::kFailed)
    AddFailure(task.failed_attempts, end.attempt);
  if (end.outcome == RunOutcome::kDone) {
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
  job_changes_.Add(job.id);
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
    const bool forgotten =
        item.second.ended() && item.second.ended_ms < command.ended_before_ms;
    if (forgotten)
      job_changes_.Add(item.first);
    return forgotten;
  });
  return CommandReply::kApplied;
}

std::string JobStore::Snapshot() const {
  return net::Encode(SnapshotContent<const JobStore>{
      *this, deregistered_, configuration_, run_times_});
}

base::Result<std::monostate> JobStore::CheckJobs() const {
  for (const auto& [id, job] : jobs_) {
    if (job.id != id || !IsConsistent(job))
      return base::Fail(
          base::ErrorCode::kCorruptData, "restore the jobs", {},
          "job " + id.value() + " has progress of tasks that it does not have");
  }
  for (const base::JobId& id : open_jobs_) {
    if (!jobs_.contains(id))
      return base::Fail(base::ErrorCode::kCorruptData, "restore the jobs", {},
                        "the open job " + id.value() + " is missing");
  }
  return std::monostate{};
}

base::Result<std::monostate> JobStore::Restore(std::string_view snapshot) {
  JobStore restored;
  // Snapshots of versions before DeregisterWorker hold the store only.
  const auto complete = base::Capture([&] {
    SnapshotContent<JobStore> content{restored, restored.deregistered_,
                                      restored.configuration_,
                                      restored.run_times_};
    return net::DecodeInto(content, snapshot);
  });
  if (std::holds_alternative<base::Error>(complete))
    restored = TRY(net::Decode<JobStore>(snapshot));
  TRY(restored.CheckJobs());
  restored.worker_revision_ = worker_revision_ + 1;
  restored.job_changes_ = job_changes_;
  restored.job_changes_.AddAll();
  *this = std::move(restored);
  return std::monostate{};
}

}  // namespace wigeonstair::jobs
