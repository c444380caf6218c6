#include "services/control/assignment_controller.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wigeonstair::control {

namespace {

// The domain that a command names, or what it does instead.
std::string TargetOf(const cluster::Command& command) {
  if (const auto* assign = std::get_if<cluster::AssignJob>(&command))
    return assign->domain.value();
  if (std::holds_alternative<cluster::ReleaseJob>(command))
    return "queue";
  return "refused";
}

std::string RejectedText(const cluster::PlannedAssignment& planned) {
  std::string text;
  for (const cluster::DomainRejection& rejection : planned.rejected) {
    text += (text.empty() ? "" : "; ") + rejection.domain.value() + ": " +
            rejection.why;
  }
  return text;
}

}  // namespace

AssignmentController::AssignmentController(AssignmentControllerOptions options)
    : options_(std::move(options)) {}

void AssignmentController::Tick() {
  if (!options_.is_leader())
    return;
  cluster::AssignmentInput input{.reachable = options_.reachable_domains(),
                                 .stopped = options_.stopped_domains()};
  {
    std::lock_guard lock(mutex_);
    input.in_flight = in_flight_;
  }
  for (const cluster::PlannedAssignment& planned : Plan(input))
    Propose(planned);
  SuperviseHosts();
}

std::vector<cluster::PlannedAssignment> AssignmentController::Plan(
    const cluster::AssignmentInput& input) {
  // Read first, so that a change during the planning is looked at later.
  const std::uint64_t change = options_.cluster->change_count();
  if (nothing_to_do_ && nothing_to_do_->change == change &&
      nothing_to_do_->input == input)
    return {};
  nothing_to_do_.reset();
  std::vector<cluster::PlannedAssignment> plan =
      options_.cluster->Read([&](const cluster::ClusterState& state) {
        return cluster::PlanAssignments(state, input);
      });
  if (plan.empty())
    nothing_to_do_ = {.change = change, .input = input};
  return plan;
}

void AssignmentController::SuperviseHosts() {
  {
    std::lock_guard lock(mutex_);
    if (host_change_in_flight_)
      return;
  }
  const cluster::HostObservation observation = options_.observe_hosts();
  const auto change =
      options_.cluster->Read([&](const cluster::ClusterState& state) {
        return cluster::PlanHostChange(state, observation);
      });
  if (!change)
    return;
  {
    std::lock_guard lock(mutex_);
    host_change_in_flight_ = true;
  }
  options_.access->Propose(*change, [this](const CommandOutcome&) {
    std::lock_guard lock(mutex_);
    host_change_in_flight_ = false;
  });
}

void AssignmentController::Propose(const cluster::PlannedAssignment& planned) {
  options_.event_log->Info(base::EventNumber::kJobAssigned,
                           {{"job", planned.job.value()},
                            {"target", TargetOf(planned.command)},
                            {"reason", planned.why},
                            {"rejected", RejectedText(planned)}});
  {
    std::lock_guard lock(mutex_);
    in_flight_.insert(planned.job);
  }
  options_.access->Propose(planned.command,
                           [this, job = planned.job](const CommandOutcome&) {
                             std::lock_guard lock(mutex_);
                             in_flight_.erase(job);
                           });
}

}  // namespace wigeonstair::control
