#include "benchmarks/placement/platform_run.h"

#include <cstdio>
#include <cstdlib>
#include <utility>
#include <variant>

#include "cluster/assignment_plan.h"
#include "cluster/configuration_patch.h"
#include "cluster/withdrawal_plan.h"

namespace wigeonstair::placement {

namespace {

// The customers' guarantees apply in each domain.
std::vector<cluster::CustomerConfiguration> CustomersOf(
    const Deployment& deployment,
    const std::vector<base::DomainId>& domains) {
  std::vector<cluster::CustomerConfiguration> customers = deployment.customers;
  for (cluster::CustomerConfiguration& customer : customers) {
    const auto guarantees = std::exchange(customer.guarantees, {});
    for (const base::DomainId& domain : domains) {
      for (cluster::Guarantee guarantee : guarantees) {
        guarantee.domain = domain;
        customer.guarantees.push_back(guarantee);
      }
    }
  }
  return customers;
}

}  // namespace

PlatformRun::PlatformRun(const Deployment& deployment,
                         const std::vector<WorkloadJob>& jobs,
                         Withdrawals withdrawals)
    : jobs_(jobs), withdrawals_(withdrawals) {
  for (int i = 0; i < deployment.domains; ++i)
    domains_.push_back(base::DomainId("domain-" + std::to_string(i)));
  Configure(deployment);
  for (std::size_t i = 0; i < jobs.size(); ++i)
    indexes_[jobs[i].specification.id] = i;
}

void PlatformRun::Configure(const Deployment& deployment) {
  Deployment one = deployment;
  one.customers = CustomersOf(deployment, domains_);
  cluster::ClusterConfiguration configuration{.cluster = "benchmark",
                                              .customers = one.customers};
  for (const base::DomainId& domain : domains_) {
    one.domain.id = domain;
    configuration.domains.push_back(one.domain);
    runs_.push_back(std::make_unique<EngineRun>(one, jobs_));
    runs_.back()->SubmitOnlyByHand();
  }
  Apply(cluster::ApplyConfiguration{
      .operation = "configure",
      .target_hash = cluster::HashConfiguration(configuration),
      .patch = cluster::DiffConfigurations({}, configuration)});
}

void PlatformRun::Apply(const cluster::Command& command) {
  const cluster::CommandReply reply = state_.Apply(command);
  if (reply.result != cluster::CommandResult::kAccepted) {
    fprintf(stderr, "%s\n", reply.detail.c_str());
    abort();
  }
}

void PlatformRun::SetStatus(cluster::DomainStatus status) {
  Apply(cluster::SetDomainStatus{
      .operation = "status-" + std::to_string(++operations_),
      .expected_revision = state_.domain(domains_[0]).revision,
      .domain = domains_[0],
      .status = status,
      .drain_mode = cluster::DrainMode::kRelease});
  runs_[0]->SetStatus(status == cluster::DomainStatus::kOut ? DomainStatus::kOut
                                                            : DomainStatus::kIn,
                      DrainMode::kRelease);
}

void PlatformRun::RunUntil(int seconds) {
  for (; second_ < seconds; ++second_) {
    SubmitUntil(second_);
    Assign();
    for (const auto& run : runs_)
      run->RunUntil(second_ + 1);
    if (withdrawals_ == Withdrawals::kOn)
      Withdraw();
    TakeBack();
    NoteFinished();
  }
}

void PlatformRun::SubmitUntil(int second) {
  for (; next_job_ < jobs_.size() && jobs_[next_job_].submit_seconds <= second;
       ++next_job_) {
    const cluster::JobSpecification& job = jobs_[next_job_].specification;
    Apply(
        cluster::SubmitJob{.operation = job.id.value(), .specification = job});
  }
}

void PlatformRun::Assign() {
  const auto plan = cluster::PlanAssignments(
      state_,
      {.reachable = {domains_.begin(), domains_.end()}, .limit = jobs_.size()});
  for (const cluster::PlannedAssignment& planned : plan) {
    Apply(planned.command);
    if (const auto* assign = std::get_if<cluster::AssignJob>(&planned.command))
      Give(*assign);
  }
}

void PlatformRun::Give(const cluster::AssignJob& command) {
  for (std::size_t i = 0; i < domains_.size(); ++i) {
    if (domains_[i] == command.domain) {
      runs_[i]->Submit(indexes_[command.job],
                       state_.jobs().at(command.job).checkpoint_milliseconds);
    }
  }
}

void PlatformRun::TakeBack() {
  for (std::size_t i = 0; i < domains_.size(); ++i) {
    for (const auto& [job, progress] : runs_[i]->TakeReleased()) {
      const base::JobId& id = jobs_[job].specification.id;
      Apply(cluster::ReleaseJob{.job = id,
                                .domain = domains_[i],
                                .assignment = state_.jobs().at(id).assignments,
                                .checkpoint_milliseconds = progress});
    }
  }
}

void PlatformRun::Withdraw() {
  for (std::size_t i = 0; i < domains_.size(); ++i) {
    const auto plan = cluster::PlanWithdrawals(
        state_,
        {.domain = domains_[i],
         .reachable = {domains_.begin(), domains_.end()},
         .waiting = runs_[i]
                        ->engine()
                        .waiting_jobs({.minimum_wait = cluster::kWithdrawAfter})
                        .jobs});
    for (const cluster::PlannedWithdrawal& planned : plan) {
      runs_[i]->Step(JobWithdrawn{.job = planned.job, .why = planned.why},
                     "withdraw");
      ++moves_;
    }
    // The next domain plans with what this one gave back.
    TakeBack();
  }
}

void PlatformRun::NoteFinished() {
  for (std::size_t i = 0; i < domains_.size(); ++i) {
    for (const base::JobId& id : std::set(state_.assigned_jobs(domains_[i]))) {
      const std::size_t job = indexes_[id];
      const double end = runs_[i]->outcome().jobs[job].end;
      if (end < 0)
        continue;
      finished_[job] = end;
      Apply(cluster::FinishJob{.job = id,
                               .assignment = state_.jobs().at(id).assignments});
    }
  }
}

double PlatformRun::useful_work() const {
  double work = 0;
  for (const auto& run : runs_)
    work += run->useful_work();
  return work;
}

std::vector<double> PlatformRun::Completions() const {
  std::vector<double> times;
  for (const auto& [job, end] : finished_)
    times.push_back(end - jobs_[job].submit_seconds);
  return times;
}

}  // namespace wigeonstair::placement
