#include "benchmarks/placement/baselines.h"

#include <algorithm>
#include <map>
#include <optional>
#include <queue>

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;

struct BaselineWorker {
  int rack = 0;
  int accelerators = 0;
  int cores = 0;
};

class Baseline {
 public:
  Baseline(BaselineKind kind,
           const Deployment& deployment,
           const std::vector<WorkloadJob>& jobs)
      : kind_(kind), jobs_(jobs) {
    int rack_number = 0;
    for (const cluster::RackConfiguration& rack : deployment.domain.racks) {
      workers_.insert(workers_.end(), rack.workers,
                      {.rack = rack_number++,
                       .accelerators = rack.accelerators_per_worker,
                       .cores = rack.cores_per_worker});
    }
    SetQuotas(deployment);
    outcome_.jobs.resize(jobs.size());
  }

  Outcome Run() {
    std::size_t next = 0;
    while (next < jobs_.size() || !ends_.empty()) {
      const bool submit =
          next < jobs_.size() &&
          (ends_.empty() || jobs_[next].submit_seconds <= ends_.top().first);
      if (submit) {
        now_ = jobs_[next].submit_seconds;
        if (CanEverRun(jobs_[next]))
          waiting_.push_back(next);
        else
          outcome_.jobs[next].refused = true;
        ++next;
      } else {
        now_ = ends_.top().first;
        Finish(ends_.top().second);
        ends_.pop();
      }
      StartWaiting();
    }
    return std::move(outcome_);
  }

 private:
  void SetQuotas(const Deployment& deployment) {
    int promised = 0;
    for (const cluster::CustomerConfiguration& customer :
         deployment.customers) {
      for (const cluster::Guarantee& guarantee : customer.guarantees) {
        quotas_[customer.id] += guarantee.count * guarantee.shape.accelerators;
        promised += guarantee.count * guarantee.shape.accelerators;
      }
    }
    const int rest = (deployment.accelerators() - promised) /
                     static_cast<int>(deployment.customers.size());
    for (const cluster::CustomerConfiguration& customer : deployment.customers)
      quotas_[customer.id] += rest;
  }

  bool CanEverRun(const WorkloadJob& job) const {
    return kind_ != BaselineKind::kCountedQuotas ||
           job.accelerators() <= quotas_.at(job.specification.customer);
  }

  int Fitting(const BaselineWorker& worker, const WorkloadJob& job) const {
    const cluster::JobSpecification& spec = job.specification;
    const int by_accelerators =
        worker.accelerators / spec.accelerators_per_task;
    return std::min(by_accelerators, worker.cores / spec.cores_per_task);
  }

  // Workers for all tasks within the job's rack, in order of preference.
  std::optional<std::vector<int>> Place(const WorkloadJob& job) const {
    std::map<int, std::vector<int>> racks;
    std::map<int, int> room;
    for (int i = 0; i < static_cast<int>(workers_.size()); ++i) {
      const int rack = job.specification.adjacency == CellLevel::kRack
                           ? workers_[i].rack
                           : 0;
      if (Fitting(workers_[i], job) > 0)
        racks[rack].push_back(i);
      room[rack] += Fitting(workers_[i], job);
    }
    for (auto& [rack, members] : racks) {
      if (room[rack] < job.specification.tasks)
        continue;
      if (kind_ != BaselineKind::kFirstInFirstOut) {
        std::stable_sort(members.begin(), members.end(), [&](int a, int b) {
          return workers_[a].accelerators < workers_[b].accelerators;
        });
      }
      std::vector<int> chosen;
      for (const int worker : members) {
        const int tasks =
            std::min(Fitting(workers_[worker], job),
                     job.specification.tasks - static_cast<int>(chosen.size()));
        chosen.insert(chosen.end(), tasks, worker);
      }
      return chosen;
    }
    return std::nullopt;
  }

  bool WithinQuota(const WorkloadJob& job) const {
    if (kind_ != BaselineKind::kCountedQuotas)
      return true;
    const auto used = used_.find(job.specification.customer);
    return (used == used_.end() ? 0 : used->second) + job.accelerators() <=
           quotas_.at(job.specification.customer);
  }

  void StartWaiting() {
    for (std::size_t i = 0; i < waiting_.size();) {
      const std::size_t index = waiting_[i];
      const std::optional<std::vector<int>> places =
          WithinQuota(jobs_[index]) ? Place(jobs_[index]) : std::nullopt;
      if (places) {
        Start(index, *places);
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
      } else if (kind_ == BaselineKind::kFirstInFirstOut) {
        return;
      } else {
        ++i;
      }
    }
  }

  void Start(std::size_t index, const std::vector<int>& places) {
    const WorkloadJob& job = jobs_[index];
    for (const int place : places) {
      workers_[place].accelerators -= job.specification.accelerators_per_task;
      workers_[place].cores -= job.specification.cores_per_task;
    }
    used_[job.specification.customer] += job.accelerators();
    placed_[index] = places;
    outcome_.jobs[index].start = now_;
    ends_.emplace(now_ + job.run_seconds, index);
  }

  void Finish(std::size_t index) {
    const WorkloadJob& job = jobs_[index];
    for (const int place : placed_[index]) {
      workers_[place].accelerators += job.specification.accelerators_per_task;
      workers_[place].cores += job.specification.cores_per_task;
    }
    placed_.erase(index);
    used_[job.specification.customer] -= job.accelerators();
    outcome_.jobs[index].end = now_;
  }

  using End = std::pair<double, std::size_t>;

  BaselineKind kind_;
  const std::vector<WorkloadJob>& jobs_;
  std::vector<BaselineWorker> workers_;
  std::map<base::CustomerId, int> quotas_;
  std::map<base::CustomerId, int> used_;
  std::vector<std::size_t> waiting_;
  std::map<std::size_t, std::vector<int>> placed_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  double now_ = 0;
  Outcome outcome_;
};

}  // namespace

Outcome RunBaseline(BaselineKind kind,
                    const Deployment& deployment,
                    const std::vector<WorkloadJob>& jobs) {
  return Baseline(kind, deployment, jobs).Run();
}

}  // namespace wigeonstair::placement
