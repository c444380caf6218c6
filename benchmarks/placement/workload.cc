#include "benchmarks/placement/workload.h"

#include <algorithm>
#include <cmath>

#include "base/random.h"

namespace wigeonstair::placement {

namespace {

using cluster::CellLevel;

cluster::DomainConfiguration MakeDomain(int racks,
                                        int workers_per_rack,
                                        int memory_megabytes,
                                        int accelerators) {
  cluster::DomainConfiguration domain;
  domain.id = base::DomainId("domain-0");
  for (int i = 0; i < racks; ++i) {
    domain.racks.push_back({.id = base::RackId("rack-" + std::to_string(i)),
                            .workers = workers_per_rack,
                            .cores_per_worker = 64,
                            .memory_megabytes_per_worker = memory_megabytes,
                            .accelerators_per_worker = accelerators});
  }
  return domain;
}

cluster::CustomerConfiguration MakeCustomer(
    const std::string& name,
    const std::vector<std::pair<cluster::CellShape, int>>& cells) {
  cluster::CustomerConfiguration customer;
  customer.id = base::CustomerId(name);
  for (const auto& [shape, count] : cells) {
    customer.guarantees.push_back(
        {.domain = base::DomainId("domain-0"), .shape = shape, .count = count});
  }
  return customer;
}

// Four customers, the first two large.
std::vector<cluster::CustomerConfiguration> FourCustomers() {
  const cluster::CellShape two_workers{CellLevel::kRack, 16};
  const cluster::CellShape worker{CellLevel::kWorker, 8};
  const cluster::CellShape half{CellLevel::kWorker, 4};
  return {MakeCustomer("customer-0", {{two_workers, 1}, {worker, 2}}),
          MakeCustomer("customer-1", {{worker, 2}, {half, 2}}),
          MakeCustomer("customer-2", {{half, 2}}),
          MakeCustomer("customer-3", {{half, 1}})};
}

class Generator {
 public:
  Generator(const Deployment& deployment, std::uint64_t seed)
      : deployment_(deployment), random_(seed) {}

  WorkloadJob Small(double submit) {
    static constexpr int kAccelerators[] = {1, 1, 1, 2, 2, 4};
    WorkloadJob job = Make(submit, 10 + random_.Exponential(50));
    job.specification.accelerators_per_task = kAccelerators[random_.Below(6)];
    job.specification.cores_per_task =
        4 * job.specification.accelerators_per_task;
    job.specification.job_class = "small-" + std::to_string(random_.Below(4));
    return job;
  }

  WorkloadJob Large(double submit) {
    WorkloadJob job = Make(submit, 600 + random_.Exponential(1200));
    job.size = JobSize::kLarge;
    job.specification.tasks = 2 + static_cast<int>(random_.Below(3));
    job.specification.accelerators_per_task = 8;
    job.specification.cores_per_task = 32;
    job.specification.adjacency = CellLevel::kRack;
    job.specification.job_class = "large";
    return job;
  }

 private:
  WorkloadJob Make(double submit, double run) {
    WorkloadJob job;
    job.submit_seconds = submit;
    job.run_seconds = run;
    job.specification.id = base::JobId("job-" + std::to_string(next_++));
    job.specification.customer =
        deployment_.customers[random_.Below(deployment_.customers.size())].id;
    job.specification.memory_megabytes_per_task = 1024;
    const double factor = std::pow(10, 2 * random_.Fraction() - 1);
    job.specification.declared_run_milliseconds =
        static_cast<std::int64_t>(run * factor * 1000);
    return job;
  }

  const Deployment& deployment_;
  base::Random random_;
  int next_ = 0;
};

}  // namespace

int Deployment::workers() const {
  int workers = 0;
  for (const cluster::RackConfiguration& rack : domain.racks)
    workers += rack.workers;
  return workers;
}

int Deployment::accelerators() const {
  int accelerators = 0;
  for (const cluster::RackConfiguration& rack : domain.racks)
    accelerators += rack.workers * rack.accelerators_per_worker;
  return accelerators;
}

Deployment Scheldebloem() {
  return {.name = "Scheldebloem",
          .domain = MakeDomain(2, 8, 128'000, 8),
          .customers = FourCustomers(),
          .domains = 3};
}

Deployment Polsterruecklauf() {
  return {.name = "Polsterruecklauf",
          .domain = MakeDomain(2, 6, 256'000, 8),
          .customers = FourCustomers(),
          .domains = 4};
}

Deployment LargeDomain(int workers) {
  // The last rack takes what is left of racks of 20.
  Deployment deployment{
      .name = "large",
      .domain = MakeDomain((workers + 19) / 20, 20, 256'000, 2),
      .domains = 9};
  if (workers % 20 != 0)
    deployment.domain.racks.back().workers = workers % 20;
  const int cells = std::max(1, 3 * workers / 360);
  for (int i = 0; i < 54; ++i) {
    deployment.customers.push_back(MakeCustomer(
        "customer-" + std::to_string(i), {{{CellLevel::kWorker, 2}, cells}}));
  }
  return deployment;
}

std::vector<WorkloadJob> MixedWorkload(const Deployment& deployment,
                                       double hours,
                                       double load,
                                       std::uint64_t seed) {
  Generator generator(deployment, seed);
  base::Random random(seed + 1);
  std::vector<WorkloadJob> jobs;
  // Half of the work is in large gangs, half in bursts of 40 small jobs.
  const double budget = load * deployment.accelerators() * hours * 3600 / 2;
  double work = 0;
  while (work < budget) {
    jobs.push_back(generator.Large(random.Fraction() * hours * 3600));
    work += jobs.back().run_seconds * jobs.back().accelerators();
  }
  work = 0;
  while (work < budget) {
    const double at = random.Fraction() * hours * 3600;
    for (int i = 0; i < 40; ++i) {
      jobs.push_back(generator.Small(at + 0.05 * i));
      work += jobs.back().run_seconds * jobs.back().accelerators();
    }
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const WorkloadJob& left, const WorkloadJob& right) {
                     return left.submit_seconds < right.submit_seconds;
                   });
  return jobs;
}

}  // namespace wigeonstair::placement
