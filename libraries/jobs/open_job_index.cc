#include "jobs/open_job_index.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::jobs {

namespace {

// With more shapes the index is rebuilt, which drops those without a step.
constexpr std::size_t kMaximumShapes = 4096;

std::uint64_t UrgentNeed(const JobRecord& job) {
  std::uint64_t need = 0;
  if (job.policy.priority == 0) {
    for (const StepSpec& step : job.spec.steps)
      need += step.count * step.task.accelerators;
  }
  return need;
}

// Empty for jobs that repeat.
std::vector<std::uint32_t> Unplaced(const JobRecord& job) {
  std::vector<std::uint32_t> unplaced;
  if (job.spec.repeat_count > 0)
    return unplaced;
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    const std::vector<TaskProgress>* tasks = job.FindProgress(0, step);
    unplaced.push_back(
        tasks == nullptr
            ? job.spec.steps[step].count
            : static_cast<std::uint32_t>(std::count_if(
                  tasks->begin(), tasks->end(), [](const TaskProgress& task) {
                    return task.phase == TaskPhase::kWaiting;
                  })));
  }
  return unplaced;
}

StepShape ShapeOf(const JobRecord& job, const StepSpec& step) {
  return {.task = step.task,
          .pool = job.pool,
          .required_label = step.required_label,
          .data_rack = step.data_rack,
          .max_per_worker = step.max_per_worker,
          .fills = step.fills,
          .rack_local = step.rack_local,
          .urgent = job.policy.priority == 0};
}

bool HasSameTasks(const ReadyStep& a, const ReadyStep& b) {
  return a.step == b.step && a.job == b.job && a.spec == b.spec &&
         a.waiting == b.waiting && a.due_ms == b.due_ms;
}

}  // namespace

OpenJobIndex::OpenJobIndex(const JobStore& store, HoldOf hold_of)
    : store_(store), hold_of_(std::move(hold_of)) {}

void OpenJobIndex::Clear() {
  revision_ = 0;
  due_by_ms_ = 0;
  touched_.clear();
  entries_.clear();
  waiting_.clear();
  due_.clear();
  urgent_need_.clear();
  shapes_.clear();
  shape_numbers_.clear();
}

void OpenJobIndex::Refresh(std::uint64_t due_by_ms, const Now& now) {
  const auto changed = store_.job_changes().Since(revision_);
  const bool clock_set_back = due_by_ms < due_by_ms_;
  if (!changed || clock_set_back || shapes_.size() > kMaximumShapes) {
    Clear();
    revision_ = store_.job_changes().revision();
    due_by_ms_ = due_by_ms;
    Rebuild(now);
    return;
  }
  revision_ = store_.job_changes().revision();
  due_by_ms_ = due_by_ms;
  touched_.insert(changed->begin(), changed->end());
  for (auto due = due_.begin(); due != due_.end() && due->first <= due_by_ms;
       ++due) {
    touched_.insert(due->second);
  }
  for (const base::JobId& id : std::exchange(touched_, {}))
    Update(id, now);
}

void OpenJobIndex::Rebuild(const Now& now) {
  for (const base::JobId& id : store_.open_jobs())
    Update(id, now);
}

void OpenJobIndex::Remove(const base::JobId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  const Entry& entry = found->second;
  if (entry.next_due_ms)
    due_.erase({*entry.next_due_ms, id});
  if (entry.urgent_need > 0)
    SubtractUrgentNeed(entry);
  waiting_.erase(id);
  entries_.erase(found);
}

void OpenJobIndex::SubtractUrgentNeed(const Entry& entry) {
  const auto need = urgent_need_.find(entry.customer);
  need->second -= entry.urgent_need;
  if (need->second == 0)
    urgent_need_.erase(need);
}

void OpenJobIndex::Update(const base::JobId& id, const Now& now) {
  Remove(id);
  if (!store_.open_jobs().contains(id))
    return;
  Entry& entry =
      entries_.emplace(id, MakeEntry(*store_.FindJob(id), now)).first->second;
  if (!entry.steps.empty() || !entry.held.empty())
    waiting_.emplace(id, &entry);
  if (entry.next_due_ms)
    due_.emplace(*entry.next_due_ms, id);
  if (entry.urgent_need > 0)
    urgent_need_[entry.customer] += entry.urgent_need;
}

OpenJobIndex::Entry OpenJobIndex::MakeEntry(const JobRecord& job,
                                            const Now& now) {
  Entry entry{.job = &job,
              .customer = job.customer,
              .urgent_need = UrgentNeed(job),
              .unplaced = Unplaced(job)};
  for (std::uint32_t k = 0; k < job.spec.occurrences(); ++k) {
    const std::uint64_t due_ms = job.DueMs(k);
    if (due_ms > due_by_ms_) {
      entry.next_due_ms = due_ms;
      break;
    }
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      AddStep(job, {.job = job.id, .occurrence = k, .step = step}, due_ms, now,
              entry);
    }
  }
  return entry;
}

// Adds a step if all of its dependencies are done and it has tasks to place.
void OpenJobIndex::AddStep(const JobRecord& job,
                           const StepRef& step,
                           std::uint64_t due_ms,
                           const Now& now,
                           Entry& entry) {
  if (!job.DependenciesDone(step.occurrence, step.step))
    return;
  const StepSpec& spec = job.spec.steps[step.step];
  const std::vector<TaskProgress>* tasks =
      job.FindProgress(step.occurrence, step.step);
  TaskRef task{
      .job = step.job, .occurrence = step.occurrence, .step = step.step};
  std::vector<std::uint32_t> waiting;
  bool held = false;
  for (task.index = 0; task.index < spec.count; ++task.index) {
    const TaskProgress* progress =
        tasks == nullptr ? nullptr : &(*tasks)[task.index];
    if (progress != nullptr && progress->phase != TaskPhase::kWaiting)
      continue;
    const TaskHold hold = hold_of_(job, task, progress, now);
    if (hold == TaskHold::kNone)
      waiting.push_back(task.index);
    else if (hold == TaskHold::kEarlierRun && !std::exchange(held, true))
      entry.held.push_back(task);
  }
  const bool partial = spec.gang && waiting.size() != spec.count;
  if (waiting.empty() || partial)
    return;
  entry.steps.push_back({.step = step,
                         .job = &job,
                         .spec = &spec,
                         .waiting = std::move(waiting),
                         .due_ms = due_ms,
                         .shape = NumberOf(ShapeOf(job, spec))});
}

std::size_t OpenJobIndex::NumberOf(const StepShape& shape) {
  if (const auto known = shape_numbers_.find(shape);
      known != shape_numbers_.end())
    return known->second;
  StepShape without_limits = shape;
  without_limits.max_per_worker = 0;
  without_limits.fills = false;
  without_limits.rack_local = false;
  const bool has_none = without_limits == shape;
  const std::size_t other =
      has_none ? shapes_.size() : NumberOf(without_limits);
  const std::size_t number = shapes_.size();
  shapes_.push_back({.shape = shape, .without_limits = other});
  shape_numbers_.emplace(shape, number);
  return number;
}

ReadySteps OpenJobIndex::Ready() {
  ReadySteps ready;
  for (const auto& [id, entry] : waiting_) {
    for (ReadyStep& step : entry->steps)
      ready.steps.push_back(&step);
    for (const TaskRef& task : entry->held)
      ready.held.emplace_back(task, entry->job);
  }
  return ready;
}

bool OpenJobIndex::HasSameContent(const OpenJobIndex& other) const {
  const auto same_entry = [](const auto& a, const auto& b) {
    const Entry& left = a.second;
    const Entry& right = b.second;
    return a.first == b.first && left.job == right.job &&
           left.held == right.held && left.next_due_ms == right.next_due_ms &&
           left.urgent_need == right.urgent_need &&
           left.unplaced == right.unplaced &&
           std::equal(left.steps.begin(), left.steps.end(), right.steps.begin(),
                      right.steps.end(), HasSameTasks);
  };
  const auto same_key = [](const auto& a, const auto& b) {
    return a.first == b.first;
  };
  return std::equal(entries_.begin(), entries_.end(), other.entries_.begin(),
                    other.entries_.end(), same_entry) &&
         std::equal(waiting_.begin(), waiting_.end(), other.waiting_.begin(),
                    other.waiting_.end(), same_key) &&
         due_ == other.due_ && urgent_need_ == other.urgent_need_;
}

}  // namespace wigeonstair::jobs
