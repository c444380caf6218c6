#include "services/control/json_views.h"

#include <string>
#include <utility>

#include "settings/cluster_configuration.h"
#include "settings/json.h"

namespace wigeonstair::control {

using settings::Value;

namespace {

Value Text(std::string_view text) {
  return Value::Text(std::string(text));
}

Value ResourcesValue(const placement::Resources& resources) {
  Value value = Value::Mapping();
  value.Add("accelerators", Value::Number(resources.accelerators));
  value.Add("cores", Value::Number(resources.cores));
  value.Add("memory_mb", Value::Number(resources.memory_megabytes));
  return value;
}

Value JobList(const std::vector<base::JobId>& jobs) {
  Value list = Value::Sequence();
  for (const base::JobId& job : jobs)
    list.items.push_back(Text(job.value()));
  return list;
}

std::string_view OutcomeName(cluster::JobOutcome outcome) {
  switch (outcome) {
    case cluster::JobOutcome::kNone:
      return "none";
    case cluster::JobOutcome::kFinished:
      return "finished";
    case cluster::JobOutcome::kFailed:
      return "failed";
    case cluster::JobOutcome::kCancelled:
      return "cancelled";
    case cluster::JobOutcome::kRefused:
      return "refused";
  }
  return "none";
}

}  // namespace

std::string_view JobPhaseName(const cluster::JobRecord& job) {
  switch (job.phase) {
    case cluster::JobPhase::kQueued:
      return "queued";
    case cluster::JobPhase::kAssigned:
      return "assigned";
    case cluster::JobPhase::kEnded:
      return OutcomeName(job.outcome);
  }
  return "queued";
}

std::string_view DomainStatusName(cluster::DomainStatus status) {
  return status == cluster::DomainStatus::kIn ? "in" : "out";
}

Value JobValue(const cluster::JobRecord& job) {
  const cluster::JobSpecification& specification = job.specification;
  Value value = Value::Mapping();
  value.Add("job", Text(specification.id.value()));
  value.Add("customer", Text(specification.customer.value()));
  value.Add("class", Text(specification.job_class));
  value.Add("state", Text(JobPhaseName(job)));
  value.Add("domain", Text(job.domain.value()));
  value.Add("tasks", Value::Number(specification.tasks));
  value.Add("accelerators_per_task",
            Value::Number(specification.accelerators_per_task));
  value.Add("adjacency",
            Text(settings::CellLevelName(specification.adjacency)));
  value.Add("urgency", Text(specification.urgency == cluster::Urgency::kUrgent
                                ? "urgent"
                                : "normal"));
  value.Add("run_ms", Value::Number(specification.declared_run_milliseconds));
  value.Add("assignments", Value::Number(job.assignments));
  value.Add("checkpoint_ms", Value::Number(job.checkpoint_milliseconds));
  value.Add("submitted_ms", Value::Number(job.submitted_milliseconds));
  value.Add("reason", Text(job.detail));
  Value refusals = Value::Sequence();
  for (const auto& [domain, why] : job.refusals) {
    Value refusal = Value::Mapping();
    refusal.Add("domain", Text(domain.value()));
    refusal.Add("why", Text(why));
    refusals.items.push_back(std::move(refusal));
  }
  value.Add("refusals", std::move(refusals));
  return value;
}

Value ReasonValue(const placement::Reason& reason) {
  Value value = Value::Mapping();
  value.Add("code", Text(placement::ReasonCodeName(reason.code)));
  value.Add("text", Text(reason.text));
  Value rejected = Value::Sequence();
  for (const placement::RejectedAlternative& alternative : reason.rejected) {
    Value entry = Value::Mapping();
    entry.Add("alternative", Text(alternative.alternative));
    entry.Add("why", Text(alternative.why));
    rejected.items.push_back(std::move(entry));
  }
  value.Add("rejected", std::move(rejected));
  return value;
}

Value JobViewValue(const placement::JobView& view) {
  Value value = Value::Mapping();
  value.Add("job", Text(view.job.value()));
  value.Add("customer", Text(view.customer.value()));
  value.Add("state", Text(placement::JobStateName(view.state)));
  value.Add("coverage", Text(view.coverage == placement::Coverage::kGuaranteed
                                 ? "guaranteed"
                                 : "borrowed"));
  value.Add("attempt", Value::Number(view.attempt));
  value.Add("checkpoint_ms", Value::Number(view.checkpoint_milliseconds));
  value.Add("estimate_ms", Value::Number(view.estimate_milliseconds));
  Value tasks = Value::Sequence();
  for (const placement::TaskView& task : view.tasks) {
    Value entry = Value::Mapping();
    entry.Add("index", Value::Number(task.place.task.index));
    entry.Add("worker", Text(task.place.worker.value()));
    Value accelerators = Value::Sequence();
    for (int accelerator : task.accelerators)
      accelerators.items.push_back(Value::Number(accelerator));
    entry.Add("accelerators", std::move(accelerators));
    tasks.items.push_back(std::move(entry));
  }
  value.Add("tasks", std::move(tasks));
  value.Add("reason", ReasonValue(view.reason));
  return value;
}

Value ExplanationValue(const placement::Explanation& explanation,
                       base::Instant now) {
  Value value = JobViewValue(explanation.job);
  Value entries = Value::Sequence();
  for (const placement::Explanation::Entry& entry : explanation.entries) {
    Value item = Value::Mapping();
    item.Add("ms_ago",
             Value::Number((now - entry.at) / std::chrono::milliseconds(1)));
    item.Add("decision", Text(entry.decision));
    item.Add("reason", ReasonValue(entry.reason));
    entries.items.push_back(std::move(item));
  }
  value.Add("decisions", std::move(entries));
  return value;
}

Value WorkerValue(const placement::WorkerView& worker) {
  Value value = Value::Mapping();
  value.Add("worker", Text(worker.worker.value()));
  value.Add("rack", Text(worker.rack.value()));
  value.Add("health", Text(placement::WorkerHealthStateName(worker.health)));
  value.Add("capacity", ResourcesValue(worker.capacity));
  value.Add("granted", ResourcesValue(worker.granted));
  value.Add("tasks", Value::Number(worker.tasks));
  value.Add("consecutive_failures", Value::Number(worker.consecutive_failures));
  return value;
}

Value CustomerValue(const placement::CustomerView& customer) {
  Value value = Value::Mapping();
  value.Add("customer", Text(customer.customer.value()));
  Value guarantees = Value::Sequence();
  for (const placement::GuaranteeView& guarantee : customer.guarantees) {
    Value entry = Value::Mapping();
    entry.Add("level", Text(settings::CellLevelName(guarantee.shape.level)));
    entry.Add("accelerators", Value::Number(guarantee.shape.accelerators));
    entry.Add("cells", Value::Number(guarantee.cells));
    entry.Add("claimed", Value::Number(guarantee.claimed));
    entry.Add("unavailable", Value::Number(guarantee.unavailable));
    guarantees.items.push_back(std::move(entry));
  }
  value.Add("guarantees", std::move(guarantees));
  value.Add("guaranteed_accelerators_in_use",
            Value::Number(customer.guaranteed_accelerators_in_use));
  value.Add("borrowed_accelerators",
            Value::Number(customer.borrowed_accelerators));
  value.Add("waiting_jobs", Value::Number(customer.waiting_jobs));
  value.Add("running_jobs", Value::Number(customer.running_jobs));
  return value;
}

Value CapacityValue(const placement::CapacityView& capacity) {
  Value value = Value::Mapping();
  value.Add("recovering", Value::Boolean(capacity.recovering));
  value.Add("total", ResourcesValue(capacity.total));
  value.Add("free", ResourcesValue(capacity.free));
  value.Add("unpromised_free_accelerators",
            Value::Number(capacity.unpromised_free_accelerators));
  value.Add("live_workers", Value::Number(capacity.live_workers));
  value.Add("running_tasks", Value::Number(capacity.running_tasks));
  value.Add("waiting_jobs", Value::Number(capacity.waiting_jobs));
  value.Add("largest_free_worker", Value::Number(capacity.largest_free_worker));
  value.Add("largest_free_rack", Value::Number(capacity.largest_free_rack));
  return value;
}

Value DrainPreviewValue(const placement::DrainPreview& preview) {
  Value value = Value::Mapping();
  value.Add("checkpoint", JobList(preview.checkpoint));
  value.Add("abort", JobList(preview.abort));
  value.Add("movable", JobList(preview.movable));
  value.Add("held", JobList(preview.held));
  value.Add("accelerators_in_use", Value::Number(preview.accelerators_in_use));
  value.Add("longest_ms",
            Value::Number(preview.longest / std::chrono::milliseconds(1)));
  return value;
}

net::HttpResponse JsonResponse(int status, const Value& value) {
  return net::HttpResponse{.status = status,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = settings::EmitJson(value)};
}

}  // namespace wigeonstair::control
