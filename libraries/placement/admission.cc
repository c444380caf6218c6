#include "placement/admission.h"

#include <algorithm>
#include <map>
#include <vector>

#include "placement/cover_planner.h"
#include "placement/gang_lifecycle.h"
#include "placement/job_ending.h"
#include "placement/scheduling_pass.h"

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;
using cluster::JobSpecification;

constexpr int kMaximumTasks = 4096;

std::optional<Reason> FindMalformed(const JobSpecification& job) {
  std::string text;
  if (job.id.empty())
    text = "the job has no id";
  else if (job.tasks < 1 || job.tasks > kMaximumTasks)
    text = Join("tasks must be 1 to ", kMaximumTasks, ", not ", job.tasks);
  else if (job.accelerators_per_task < 0 || job.cores_per_task < 0 ||
           job.memory_megabytes_per_task < 0 ||
           job.declared_run_milliseconds < 0)
    text = "amounts must not be negative";
  else if (job.accelerators_per_task == 0 && job.cores_per_task == 0 &&
           job.memory_megabytes_per_task == 0)
    text = "a task must use accelerators, cores or memory";
  if (text.empty())
    return std::nullopt;
  return Reason{.code = ReasonCode::kInvalid, .text = std::move(text)};
}

// Number of tasks that fit into the largest worker, into the largest rack and
// into the whole domain when these are idle.
struct TaskCapacity {
  int worker = 0;
  int rack = 0;
  int domain = 0;
};

TaskCapacity MeasureTaskCapacity(const EngineState& state,
                                 const Resources& task) {
  TaskCapacity capacity;
  std::map<int, int> racks;
  for (const auto& [place, workers] : state.hierarchy.workers_by_capacity()) {
    const int tasks = CountFitting(task, place.second, kMaximumTasks);
    capacity.worker = std::max(capacity.worker, tasks);
    capacity.domain += tasks * workers;
    racks[place.first] += tasks * workers;
  }
  for (const auto& [rack, tasks] : racks)
    capacity.rack = std::max(capacity.rack, tasks);
  return capacity;
}

Reason TooLargeReason(const JobSpecification& job,
                      std::string_view scope,
                      const TaskCapacity& capacity) {
  Reason reason{.code = ReasonCode::kInfeasible,
                .text = Join("needs ", job.tasks, " tasks in one ", scope,
                             ", which is too small even when empty")};
  reason.rejected = {
      {.alternative = "largest worker",
       .why = Join("room for ", capacity.worker, " tasks when empty")},
      {.alternative = "largest rack",
       .why = Join("room for ", capacity.rack, " tasks when empty")},
      {.alternative = "failure domain",
       .why = Join("room for ", capacity.domain, " tasks when empty")}};
  return reason;
}

std::optional<Reason> FindInsufficientCapacity(const EngineState& state,
                                               const Job& job) {
  const JobSpecification& specification = job.specification;
  const TaskCapacity capacity =
      MeasureTaskCapacity(state, job.task_resources());
  const bool anywhere =
      specification.fallback == cluster::AdjacencyFallback::kAnywhere ||
      specification.adjacency == CellLevel::kDomain;
  if (anywhere && capacity.domain < specification.tasks)
    return TooLargeReason(specification, "failure domain", capacity);
  if (!anywhere && specification.adjacency == CellLevel::kRack &&
      capacity.rack < specification.tasks)
    return TooLargeReason(specification, "rack", capacity);
  if (!anywhere && specification.adjacency <= CellLevel::kWorker &&
      capacity.worker < specification.tasks)
    return TooLargeReason(specification, "worker", capacity);
  return std::nullopt;
}

std::optional<Reason> FindOverQuota(const EngineState& state, const Job& job) {
  const std::optional<int>& limit =
      state.customers[job.customer].configuration.borrowing_limit;
  if (!limit || job.accelerators() <= *limit ||
      CouldEverCover(state.hierarchy, state.ledger, job))
    return std::nullopt;
  return Reason{.code = ReasonCode::kInfeasible,
                .text = Join("needs ", job.accelerators(),
                             " accelerators; the customer's guaranteed cells "
                             "cannot cover that and it may borrow ",
                             *limit)};
}

bool AllowsDomain(const EngineState& state, const JobSpecification& job) {
  const auto& allowed = job.allowed_domains;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                      state.options.domain.id) != allowed.end();
}

// Removes the record of a released job that is submitted again, so that it is
// admitted as a new job.
void RemoveReleasedJob(EngineState& state, const base::JobId& id) {
  std::erase(state.ended_jobs, id);
  state.jobs.erase(id);
}

Job& AddJob(EngineState& state, const JobSubmitted& event) {
  Job& job = state.jobs[event.specification.id];
  job.specification = event.specification;
  job.sequence = state.next_sequence++;
  job.submitted_at = state.now;
  job.checkpoint_milliseconds = event.resume_from_milliseconds;
  job.former_run = event.former_run;
  const auto customer =
      state.customer_indexes.find(event.specification.customer);
  if (customer != state.customer_indexes.end() &&
      state.customers[customer->second].configured)
    job.customer = customer->second;
  return job;
}

void QueueOrStart(EngineState& state, Job& job) {
  const bool others_first = state.pass_needed;
  AddToQueue(state, job);
  if (!state.MayStart()) {
    state.pass_needed = true;
    ReportWaiting(
        state, job,
        {.code = state.recovering ? ReasonCode::kRecovering
                                  : ReasonCode::kDomainOut,
         .text = state.recovering
                     ? "waits for the workers to report to the new authority"
                     : "the failure domain is out of service"});
    return;
  }
  const bool urgent = job.specification.urgency == cluster::Urgency::kUrgent;
  if (!others_first || urgent) {
    TryStart(state, job);
    return;
  }
  state.pass_needed = true;
  ReportWaiting(state, job,
                {.code = ReasonCode::kNoCapacity,
                 .text = Join("queued with ",
                              static_cast<std::int64_t>(state.queue.size() - 1),
                              " other jobs until the next pass")});
}

// A job that a former authority may have started is refused only after the
// recovery. Otherwise the leader would assign it to another domain while it may
// still run here, and it would run twice.
// FIXME: A job of a removed customer cannot be queued and is refused
// immediately.
bool RefusalMustWait(const EngineState& state, const Job& job) {
  return state.recovering && job.former_run == FormerRun::kPossible &&
         job.customer >= 0 && !FindMalformed(job.specification);
}

}  // namespace

std::optional<Reason> FindInfeasibility(const EngineState& state,
                                        const Job& job) {
  if (std::optional<Reason> reason = FindMalformed(job.specification))
    return reason;
  if (job.customer < 0) {
    return Reason{.code = ReasonCode::kUnknownCustomer,
                  .text = Join("the configuration has no customer ",
                               job.specification.customer.value())};
  }
  if (!AllowsDomain(state, job.specification)) {
    return Reason{.code = ReasonCode::kDomainNotAllowed,
                  .text = Join("the job may not run in failure domain ",
                               state.options.domain.id.value())};
  }
  if (std::optional<Reason> reason = FindInsufficientCapacity(state, job))
    return reason;
  return FindOverQuota(state, job);
}

void SubmitJob(EngineState& state, const JobSubmitted& event) {
  if (const Job* known = state.FindJob(event.specification.id)) {
    if (known->state != JobState::kReleased)
      return;
    RemoveReleasedJob(state, event.specification.id);
  }
  Job& job = AddJob(state, event);
  std::optional<Reason> reason = FindInfeasibility(state, job);
  if (reason && !RefusalMustWait(state, job)) {
    if (!state.HasFault(PlantedFault::kIgnoreInfeasibleJobs))
      RefuseJob(state, job, *std::move(reason));
    return;
  }
  if (state.status == DomainStatus::kOut &&
      state.drain_mode == DrainMode::kRelease && MayRunElsewhere(state, job) &&
      !state.recovering) {
    ReleaseJob(state, job,
               {.code = ReasonCode::kDomainOut,
                .text = "the failure domain is out of service"});
    return;
  }
  QueueOrStart(state, job);
}

void RefuseInfeasibleWaitingJobs(EngineState& state) {
  std::vector<Job*> waiting;
  for (const auto& [key, job] : state.queue.order())
    waiting.push_back(job);
  for (Job* job : waiting) {
    if (RefusalMustWait(state, *job))
      continue;
    if (std::optional<Reason> reason = FindInfeasibility(state, *job))
      RefuseJob(state, *job, *std::move(reason));
  }
}

}  // namespace wigeonstair::placement
