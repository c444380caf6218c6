#include "benchmarks/placement/engine_run.h"

#include <algorithm>
#include <chrono>
#include <variant>

namespace wigeonstair::placement {

namespace {

// A directive reaches a worker in the answer to a report, and its completion is
// reported at once: half a second there and back on average.
constexpr double kDirectiveDelay = 0.25;
constexpr double kCheckpointSeconds = 1;
constexpr double kFailureSeconds = 1;
constexpr double kTickSeconds = 1;
// Everything that the workloads need ends long before this.
constexpr double kLatestEnd = 200.0 * 3600;

base::Duration Seconds(double seconds) {
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

EngineRun::EngineRun(const Deployment& deployment,
                     const std::vector<WorkloadJob>& jobs,
                     EngineRunOptions options)
    : jobs_(jobs), options_(std::move(options)), unfinished_(jobs.size()) {
  auto created = base::Capture([&] {
    return Engine::create({.domain = deployment.domain,
                           .customers = deployment.customers,
                           .created_at = Now()});
  });
  if (const auto* error = std::get_if<base::Error>(&created)) {
    fprintf(stderr, "%s\n", error->ToString().c_str());
    abort();
  }
  engine_ = std::make_unique<Engine>(std::move(std::get<Engine>(created)));
  int number = 0;
  for (const cluster::RackConfiguration& rack : deployment.domain.racks) {
    for (int i = 0; i < rack.workers; ++i, ++number) {
      const base::WorkerId id("worker-" + std::to_string(number));
      if (options_.failing_workers.contains(number))
        failing_.insert(id);
      Step(WorkerRegistered{.worker = id,
                            .rack = rack.id,
                            .capacity = {.accelerators =
                                             rack.accelerators_per_worker,
                                         .cores = rack.cores_per_worker,
                                         .memory_megabytes =
                                             rack.memory_megabytes_per_worker}},
           "register");
    }
  }
  Step(RecoveryEnded{}, "recovery");
  outcome_.jobs.resize(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i)
    indexes_[jobs[i].specification.id] = i;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].size == JobSize::kLarge)
      large_.push_back(i);
  }
}

base::Instant EngineRun::Now() const {
  return base::Instant(Seconds(now_ + 1000));
}

void EngineRun::Step(const Event& event, const std::string& kind) {
  const auto before = std::chrono::steady_clock::now();
  const std::vector<Decision> decisions = engine_->Step(event, Now());
  const std::chrono::duration<double, std::micro> cost =
      std::chrono::steady_clock::now() - before;
  costs_[kind].push_back(cost.count());
  for (const Decision& decision : decisions)
    Execute(decision);
}

void EngineRun::Answer(double delay, Event event) {
  pending_.push({.at = now_ + delay,
                 .sequence = next_sequence_++,
                 .event = std::move(event)});
}

void EngineRun::Execute(const Decision& decision) {
  if (const auto* prepare = std::get_if<PrepareTask>(&decision)) {
    const TaskKey& key = prepare->place.task;
    tasks_[key] = {.job = indexes_[key.job],
                   .progress_at_start = prepare->resume_from_milliseconds,
                   .checkpoint = prepare->resume_from_milliseconds};
    Answer(kDirectiveDelay, TaskPrepared{.task = key});
  } else if (const auto* start = std::get_if<StartGang>(&decision)) {
    for (const TaskPlace& place : start->members)
      Start(place);
  } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&decision)) {
    ++stops_;
    Task& task = tasks_[checkpoint->place.task];
    task.checkpoint = Progress(task);
    Answer(kDirectiveDelay + kCheckpointSeconds,
           CheckpointDone{.task = checkpoint->place.task,
                          .progress_milliseconds = task.checkpoint});
  } else if (const auto* stop = std::get_if<StopTask>(&decision)) {
    Stop(stop->place.task);
  } else if (const auto* abort = std::get_if<AbortPreparation>(&decision)) {
    Stop(abort->place.task);
  } else if (const auto* refused = std::get_if<JobRefused>(&decision)) {
    outcome_.jobs[indexes_[refused->job]].refused = true;
    --unfinished_;
  } else if (const auto* ended = std::get_if<JobEnded>(&decision)) {
    if (ended->end == JobEnd::kFinished)
      outcome_.jobs[indexes_[ended->job]].end = now_;
    --unfinished_;
  } else if (const auto* released = std::get_if<JobReleased>(&decision)) {
    released_.emplace_back(indexes_[released->job],
                           released->checkpoint_milliseconds);
  }
}

void EngineRun::Start(const TaskPlace& place) {
  Task& task = tasks_[place.task];
  const WorkloadJob& job = jobs_[task.job];
  task.started = now_ + kDirectiveDelay;
  Answer(kDirectiveDelay, TaskStarted{.task = place.task});
  const bool fails =
      failing_.contains(place.worker) ||
      place.task.job.value().starts_with(options_.failing_prefix);
  if (fails) {
    Answer(kDirectiveDelay + kFailureSeconds,
           TaskFailed{.task = place.task, .detail = "exit status 1"});
    return;
  }
  const double left =
      job.run_seconds - static_cast<double>(task.progress_at_start) / 1000;
  Answer(kDirectiveDelay + std::max(0.0, left),
         TaskFinished{.task = place.task});
}

void EngineRun::Stop(const TaskKey& key) {
  const auto found = tasks_.find(key);
  if (found == tasks_.end())
    return;
  const Task& task = found->second;
  kept_work_ += static_cast<double>(task.checkpoint - task.progress_at_start) /
                1000 * jobs_[task.job].specification.accelerators_per_task;
  tasks_.erase(found);
  Answer(kDirectiveDelay, TaskStopped{.task = key});
}

std::int64_t EngineRun::Progress(const Task& task) const {
  const double elapsed = task.started < 0 ? 0 : now_ - task.started;
  return task.progress_at_start +
         static_cast<std::int64_t>(std::max(0.0, elapsed) * 1000);
}

double EngineRun::useful_work() const {
  double work = kept_work_;
  for (const auto& [key, task] : tasks_) {
    work += static_cast<double>(Progress(task) - task.progress_at_start) /
            1000 * jobs_[task.job].specification.accelerators_per_task;
  }
  return work;
}

// Answers of a task that was stopped since say nothing any more.
bool EngineRun::IsStale(const Event& event) const {
  return std::visit(
      [&](const auto& value) {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, TaskFinished> ||
                      std::is_same_v<T, TaskFailed> ||
                      std::is_same_v<T, TaskStarted> ||
                      std::is_same_v<T, TaskPrepared> ||
                      std::is_same_v<T, CheckpointDone>)
          return !tasks_.contains(value.task);
        else
          return false;
      },
      event);
}

void EngineRun::NoteStarted(const TaskKey& key) {
  JobOutcome& job = outcome_.jobs[indexes_[key.job]];
  if (job.start < 0)
    job.start = now_;
}

void EngineRun::Deliver(const Event& event) {
  if (IsStale(event))
    return;
  if (const auto* started = std::get_if<TaskStarted>(&event)) {
    NoteStarted(started->task);
  } else if (const auto* finished = std::get_if<TaskFinished>(&event)) {
    const Task& task = tasks_[finished->task];
    const WorkloadJob& job = jobs_[task.job];
    kept_work_ +=
        (job.run_seconds - static_cast<double>(task.progress_at_start) / 1000) *
        job.specification.accelerators_per_task;
    tasks_.erase(finished->task);
  } else if (const auto* failed = std::get_if<TaskFailed>(&event)) {
    tasks_.erase(failed->task);
    ++task_failures_;
  }
  Step(event, "task");
}

double EngineRun::LongestRemaining() const {
  double longest = 0;
  for (const auto& [key, task] : tasks_) {
    longest = std::max(longest, jobs_[task.job].run_seconds -
                                    static_cast<double>(Progress(task)) / 1000);
  }
  return longest;
}

void EngineRun::Submit(std::size_t index,
                       std::int64_t resume_from_milliseconds) {
  if (jobs_[index].size == JobSize::kLarge)
    outcome_.jobs[index].drain_at_submission = LongestRemaining();
  Step(JobSubmitted{.specification = jobs_[index].specification,
                    .resume_from_milliseconds = resume_from_milliseconds},
       "submit");
}

// What is free while a gang of whole workers waits.
void EngineRun::Sample(double duration) {
  const bool waiting =
      std::any_of(large_.begin(), large_.end(), [&](std::size_t index) {
        return index < next_job_ && outcome_.jobs[index].start < 0 &&
               !outcome_.jobs[index].refused;
      });
  if (!waiting)
    return;
  for (const WorkerView& worker : engine_->workers()) {
    const int free = worker.capacity.accelerators - worker.granted.accelerators;
    outcome_.free_while_waiting += free * duration;
    if (free < worker.capacity.accelerators)
      outcome_.unusable_while_waiting += free * duration;
  }
}

bool EngineRun::IsIdle() const {
  return next_job_ == jobs_.size() && unfinished_ == 0;
}

void EngineRun::RunUntil(double seconds) {
  const double end = seconds < 0 ? kLatestEnd : seconds;
  while (now_ < end && !(seconds < 0 && IsIdle())) {
    const double submit =
        next_job_ < jobs_.size() ? jobs_[next_job_].submit_seconds : end;
    const double answer = pending_.empty() ? end : pending_.top().at;
    now_ = std::min({end, submit, answer, next_tick_});
    if (now_ == answer && !pending_.empty()) {
      const Event event = pending_.top().event;
      pending_.pop();
      Deliver(event);
    } else if (now_ == submit && next_job_ < jobs_.size()) {
      const std::size_t job = next_job_++;
      Submit(job, 0);
      if (jobs_[job].cancel_after_seconds >= 0) {
        Answer(jobs_[job].cancel_after_seconds,
               JobCancelled{jobs_[job].specification.id});
      }
    } else if (now_ == next_tick_) {
      next_tick_ += kTickSeconds;
      Step(Tick{}, "tick");
      if (static_cast<std::int64_t>(now_) % 10 == 0)
        Sample(10);
    }
  }
}

void EngineRun::SetStatus(DomainStatus status, DrainMode mode) {
  Step(DomainStatusChanged{.status = status, .mode = mode}, "status");
}

std::vector<std::pair<std::size_t, std::int64_t>> EngineRun::TakeReleased() {
  return std::exchange(released_, {});
}

}  // namespace wigeonstair::placement
