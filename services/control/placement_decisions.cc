// How the placement controller carries out the decisions of its engine.

#include <optional>
#include <utility>
#include <variant>

#include "services/control/decision_log.h"
#include "services/control/placement_controller.h"

namespace wigeonstair::control {

namespace {

cluster::JobOutcome OutcomeOf(placement::JobEnd end) {
  return end == placement::JobEnd::kFinished ? cluster::JobOutcome::kFinished
                                             : cluster::JobOutcome::kFailed;
}

}  // namespace

void PlacementController::CarryOut(const placement::Decision& decision) {
  LogDecision(decision, epoch_, *options_.event_log, *options_.counters);
  std::visit([this](const auto& value) { Carry(value); }, decision);
}

void PlacementController::Carry(const placement::PrepareTask& decision) {
  Directive directive{
      .kind = DirectiveKind::kPrepare,
      .task = decision.place.task,
      .accelerators = decision.accelerators,
      .resources = decision.resources,
      .resume_from_milliseconds = decision.resume_from_milliseconds};
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    const auto job = state.jobs().find(decision.place.task.job);
    if (job == state.jobs().end())
      return;
    directive.run_milliseconds =
        job->second.specification.declared_run_milliseconds;
    directive.payload = job->second.specification.payload;
  });
  workers_->Send(decision.place.worker, std::move(directive));
}

void PlacementController::Carry(const placement::StartGang& decision) {
  for (const placement::TaskPlace& member : decision.members)
    SendSimple(member, DirectiveKind::kStart);
}

void PlacementController::Carry(const placement::AbortPreparation& decision) {
  SendSimple(decision.place, DirectiveKind::kAbort);
}

void PlacementController::Carry(const placement::CheckpointTask& decision) {
  SendSimple(decision.place, DirectiveKind::kCheckpoint);
}

void PlacementController::Carry(const placement::StopTask& decision) {
  SendSimple(decision.place, DirectiveKind::kStop);
}

void PlacementController::Carry(const placement::ThrottleTask& decision) {
  workers_->Send(decision.place.worker,
                 Directive{.kind = DirectiveKind::kThrottle,
                           .task = decision.place.task,
                           .throttle_percent = decision.percent});
}

void PlacementController::Carry(const placement::JobRefused& decision) {
  const KnownJob* known = known_jobs_.Find(decision.job);
  if (known == nullptr)
    return;
  outbox_.Add(cluster::ReleaseJob{.job = decision.job,
                                  .domain = options_.domain,
                                  .assignment = known->assignment,
                                  .refusal = decision.reason.text});
}

void PlacementController::Carry(const placement::JobEnded& decision) {
  const KnownJob* known = known_jobs_.Find(decision.job);
  // A cancelled job has ended in the log already.
  if (decision.end == placement::JobEnd::kCancelled || known == nullptr)
    return;
  outbox_.Add(cluster::FinishJob{.job = decision.job,
                                 .assignment = known->assignment,
                                 .outcome = OutcomeOf(decision.end),
                                 .detail = decision.reason.text});
}

void PlacementController::Carry(const placement::JobReleased& decision) {
  const KnownJob* known = known_jobs_.Find(decision.job);
  if (known == nullptr)
    return;
  outbox_.Add(cluster::ReleaseJob{
      .job = decision.job,
      .domain = options_.domain,
      .assignment = known->assignment,
      .checkpoint_milliseconds = decision.checkpoint_milliseconds});
}

void PlacementController::SendSimple(const placement::TaskPlace& place,
                                     DirectiveKind kind) {
  workers_->Send(place.worker, Directive{.kind = kind, .task = place.task});
}

void PlacementController::KeepCheckpoint(const base::JobId& job) {
  KnownJob* known = known_jobs_.Find(job);
  const std::optional<placement::JobView> view = engine_->job(job);
  if (known == nullptr || !view ||
      view->checkpoint_milliseconds <= known->kept_checkpoint)
    return;
  known->kept_checkpoint = view->checkpoint_milliseconds;
  outbox_.Add(cluster::KeepCheckpoint{
      .job = job,
      .assignment = known->assignment,
      .checkpoint_milliseconds = view->checkpoint_milliseconds});
}

}  // namespace wigeonstair::control
