#include "tests/placement/fake_fleet.h"

#include <algorithm>

namespace wigeonstair::placement {

namespace {

using std::chrono::milliseconds;

// A lost start directive is detected after 5 s and a lost stop directive is
// sent again after another 5 s; the rest covers the delay of directives and
// answers.
constexpr base::Duration kLongestPartialGang = std::chrono::seconds(12);

bool Consume(int& count) {
  if (count == 0)
    return false;
  --count;
  return true;
}

bool Holds(const FakeTask& task) {
  return task.state != ReportedState::kFinished;
}

}  // namespace

void FakeFleet::AddWorker(const base::WorkerId& worker,
                          const base::RackId& rack,
                          const Resources& capacity) {
  names_.push_back(worker);
  workers_[worker] = {.rack = rack, .capacity = capacity};
}

void FakeFleet::SetRun(const base::JobId& job,
                       int tasks,
                       std::int64_t milliseconds) {
  runs_[job] = {tasks, milliseconds};
}

void FakeFleet::Accept(const std::vector<Decision>& decisions,
                       base::Instant now) {
  for (const Decision& decision : decisions) {
    if (domain_out_ && (std::holds_alternative<PrepareTask>(decision) ||
                        std::holds_alternative<StartGang>(decision))) {
      violations_.push_back({BrokenProperty::kOutDomain,
                             "work is started in a domain that is out"});
    }
    if (const auto* start = std::get_if<StartGang>(&decision))
      CheckPrepared(*start);
    if (const auto* end = std::get_if<JobEnded>(&decision)) {
      std::erase_if(tasks_, [&](const auto& entry) {
        return entry.first.job == end->job &&
               entry.second.state == ReportedState::kFinished;
      });
    }
    directives_.emplace_back(now + kDelay, decision);
  }
}

std::vector<Event> FakeFleet::Advance(base::Instant now) {
  while (!directives_.empty() && directives_.front().first <= now) {
    const Decision decision = directives_.front().second;
    directives_.erase(directives_.begin());
    Execute(decision, now);
  }
  FinishDue(now);
  CheckGangs(now);
  std::vector<Event> due;
  while (!answers_.empty() && answers_.front().first <= now) {
    due.push_back(answers_.front().second);
    answers_.erase(answers_.begin());
  }
  return due;
}

void FakeFleet::Execute(const Decision& decision, base::Instant now) {
  if (const auto* prepare = std::get_if<PrepareTask>(&decision)) {
    if (!workers_[prepare->place.worker].live || Consume(drops_.prepares))
      return;
    Prepare(*prepare);
    Answer(TaskPrepared{.task = prepare->place.task}, now);
  } else if (const auto* start = std::get_if<StartGang>(&decision)) {
    Start(*start, now);
  } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&decision)) {
    Checkpoint(*checkpoint, now);
  } else if (const auto* stop = std::get_if<StopTask>(&decision)) {
    Stop(stop->place, now);
  } else if (const auto* abort = std::get_if<AbortPreparation>(&decision)) {
    Stop(abort->place, now);
  }
}

void FakeFleet::Prepare(const PrepareTask& prepare) {
  const TaskKey& key = prepare.place.task;
  for (const auto& [other_key, other] : tasks_) {
    if (other_key.job == key.job && other_key.attempt != key.attempt &&
        IsPartitioned(other.worker) && Holds(other)) {
      violations_.push_back(
          {BrokenProperty::kRunTwice,
           "started again while it still runs: " + key.job.value()});
    }
    if (other.worker != prepare.place.worker || !Holds(other))
      continue;
    for (const int accelerator : prepare.accelerators) {
      if (std::count(other.accelerators.begin(), other.accelerators.end(),
                     accelerator) > 0) {
        violations_.push_back({BrokenProperty::kDoubleGrant,
                               "accelerator granted twice: " + key.job.value() +
                                   " and " + other_key.job.value()});
      }
    }
  }
  const auto kept = checkpoints_.find(key.job);
  if (kept != checkpoints_.end() &&
      static_cast<int>(kept->second.size()) == runs_[key.job].first) {
    std::int64_t whole = kept->second.begin()->second;
    for (const auto& [index, progress] : kept->second)
      whole = std::min(whole, progress);
    if (prepare.resume_from_milliseconds < whole) {
      violations_.push_back(
          {BrokenProperty::kLostTask,
           "checkpointed progress is lost: " + key.job.value()});
    }
  }
  tasks_[key] = {.worker = prepare.place.worker,
                 .accelerators = prepare.accelerators,
                 .progress_at_start = prepare.resume_from_milliseconds};
}

void FakeFleet::CheckPrepared(const StartGang& start) {
  const std::int64_t attempt = start.members.front().task.attempt;
  const auto prepared =
      std::count_if(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
        return entry.first.job == start.job && entry.first.attempt == attempt;
      });
  if (prepared < runs_[start.job].first) {
    violations_.push_back(
        {BrokenProperty::kGang,
         "started before all tasks were prepared: " + start.job.value()});
  }
}

void FakeFleet::Start(const StartGang& start, base::Instant now) {
  for (const TaskPlace& place : start.members) {
    const auto found = tasks_.find(place.task);
    if (found == tasks_.end() || !workers_[place.worker].live ||
        Consume(drops_.starts))
      continue;
    if (failing_.contains(place.worker)) {
      tasks_.erase(found);
      Answer(TaskFailed{.task = place.task, .detail = "exit status 1"}, now);
      continue;
    }
    found->second.state = ReportedState::kRunning;
    found->second.started_at = now;
    Answer(TaskStarted{.task = place.task}, now);
  }
}

std::int64_t FakeFleet::Progress(const FakeTask& task,
                                 base::Instant now) const {
  return task.progress_at_start +
         std::chrono::duration_cast<milliseconds>(now - task.started_at)
             .count();
}

void FakeFleet::Checkpoint(const CheckpointTask& checkpoint,
                           base::Instant now) {
  const TaskKey& key = checkpoint.place.task;
  const auto found = tasks_.find(key);
  if (found == tasks_.end() || found->second.state != ReportedState::kRunning ||
      Consume(drops_.checkpoints))
    return;
  found->second.checkpoint = Progress(found->second, now);
  Answer(CheckpointDone{.task = key,
                        .progress_milliseconds = found->second.checkpoint},
         now);
}

void FakeFleet::Stop(const TaskPlace& place, base::Instant now) {
  if (!workers_[place.worker].live || Consume(drops_.stops))
    return;
  tasks_.erase(place.task);
  Answer(TaskStopped{.task = place.task}, now);
}

void FakeFleet::FinishDue(base::Instant now) {
  for (auto& [key, task] : tasks_) {
    if (task.state == ReportedState::kRunning &&
        Progress(task, now) >= runs_[key.job].second) {
      task.state = ReportedState::kFinished;
      if (IsPartitioned(task.worker))
        continue;
      Answer(TaskFinished{.task = key}, now);
    }
  }
}

// Part of a gang must not run for longer than it takes to detect and stop it.
void FakeFleet::CheckGangs(base::Instant now) {
  std::map<std::pair<base::JobId, std::int64_t>, std::pair<int, int>> counts;
  for (const auto& [key, task] : tasks_) {
    auto& [running, done] = counts[{key.job, key.attempt}];
    running += task.state == ReportedState::kRunning ? 1 : 0;
    done += task.state == ReportedState::kFinished ? 1 : 0;
  }
  std::erase_if(partial_since_, [&](const auto& entry) {
    const auto found = counts.find(entry.first);
    return found == counts.end() || found->second.first == 0 ||
           found->second.first + found->second.second ==
               runs_[entry.first.first].first;
  });
  for (const auto& [gang, count] : counts) {
    if (count.first == 0 ||
        count.first + count.second == runs_[gang.first].first)
      continue;
    const auto since = partial_since_.try_emplace(gang, now).first->second;
    if (now - since > kLongestPartialGang) {
      violations_.push_back(
          {BrokenProperty::kGang,
           "part of a gang goes on running: " + gang.first.value()});
    }
  }
}

void FakeFleet::Partition(const base::WorkerId& worker) {
  workers_[worker].partitioned = true;
  DropAnswersOf(worker);
}

void FakeFleet::Answer(Event event, base::Instant now) {
  answers_.emplace_back(now + kDelay, std::move(event));
}

void FakeFleet::DropAnswersOf(const base::WorkerId& worker) {
  const auto is_here = [&](const TaskKey& key) {
    const auto found = tasks_.find(key);
    return found != tasks_.end() && found->second.worker == worker;
  };
  std::erase_if(answers_, [&](const auto& answer) {
    return std::visit(
        [&](const auto& event) {
          if constexpr (requires { event.task; })
            return is_here(event.task);
          else
            return false;
        },
        answer.second);
  });
}

Event FakeFleet::Lose(const base::WorkerId& worker) {
  workers_[worker].live = workers_[worker].partitioned = false;
  DropAnswersOf(worker);
  std::erase_if(
      tasks_, [&](const auto& entry) { return entry.second.worker == worker; });
  // The control process does not send directives of the former registration to
  // a worker that registers again.
  std::erase_if(directives_, [&](const auto& entry) {
    const auto* prepare = std::get_if<PrepareTask>(&entry.second);
    return prepare && prepare->place.worker == worker;
  });
  return WorkerLost{.worker = worker};
}

Event FakeFleet::Return(const base::WorkerId& worker) {
  workers_[worker].live = true;
  workers_[worker].partitioned = false;
  return WorkerRegistered{.worker = worker,
                          .rack = workers_[worker].rack,
                          .capacity = workers_[worker].capacity,
                          .tasks = TasksOf(worker)};
}

bool FakeFleet::IsLive(const base::WorkerId& worker) const {
  return workers_.at(worker).live;
}

bool FakeFleet::IsPartitioned(const base::WorkerId& worker) const {
  return workers_.at(worker).partitioned;
}

std::vector<ReportedTask> FakeFleet::TasksOf(
    const base::WorkerId& worker) const {
  std::vector<ReportedTask> reported;
  for (const auto& [key, task] : tasks_) {
    if (task.worker == worker) {
      reported.push_back({.key = key,
                          .state = task.state,
                          .accelerators = task.accelerators,
                          .checkpoint_milliseconds = task.checkpoint});
    }
  }
  return reported;
}

Event FakeFleet::FullReport(const base::WorkerId& worker) const {
  return WorkerReported{.worker = worker, .tasks = TasksOf(worker)};
}

std::vector<Event> FakeFleet::RegisterAll() {
  directives_.clear();
  std::vector<Event> events;
  for (const base::WorkerId& worker : names_) {
    if (workers_[worker].live && !workers_[worker].partitioned)
      events.push_back(Return(worker));
  }
  return events;
}

void FakeFleet::ToggleFailing(const base::WorkerId& worker) {
  if (!failing_.erase(worker))
    failing_.insert(worker);
}

}  // namespace wigeonstair::placement
