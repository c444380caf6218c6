#include <chrono>
#include <ctime>

#include "benchmarks/placement/engine_run.h"
#include "benchmarks/placement/scenarios.h"

namespace wigeonstair::placement {

namespace {

constexpr int kSingles = 1000;
constexpr int kGangs = 100;

// Microseconds of one step. The wall time holds the time for which other
// processes had the core, about 4 ms each, so the processor time tells how the
// engine scales on a busy machine.
struct Cost {
  double wall = 0;
  double cpu = 0;
};

double ThreadMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

// A domain with its running tasks, and the time of single steps.
class CostRun {
 public:
  explicit CostRun(const Deployment& deployment) : deployment_(deployment) {
    auto created = base::Capture([&] {
      return Engine::create({.domain = deployment.domain,
                             .customers = deployment.customers,
                             .created_at = now_,
                             .pass_interval = base::Duration(0)});
    });
    engine_ = std::make_unique<Engine>(std::move(std::get<Engine>(created)));
    int number = 0;
    for (const cluster::RackConfiguration& rack : deployment.domain.racks) {
      for (int i = 0; i < rack.workers; ++i) {
        Step(WorkerRegistered{
            .worker = base::WorkerId("worker-" + std::to_string(number++)),
            .rack = rack.id,
            .capacity = {
                .accelerators = rack.accelerators_per_worker,
                .cores = rack.cores_per_worker,
                .memory_megabytes = rack.memory_megabytes_per_worker}});
      }
    }
    Step(RecoveryEnded{});
  }

  Cost Step(const Event& event) {
    now_ += std::chrono::milliseconds(1);
    const double cpu = ThreadMicroseconds();
    const auto before = std::chrono::steady_clock::now();
    decisions_ = engine_->Step(event, now_);
    const std::chrono::duration<double, std::micro> wall =
        std::chrono::steady_clock::now() - before;
    return {.wall = wall.count(), .cpu = ThreadMicroseconds() - cpu};
  }

  cluster::JobSpecification Job(int tasks, int accelerators) {
    cluster::JobSpecification job;
    job.id = base::JobId("job-" + std::to_string(next_job_));
    job.customer =
        deployment_.customers[next_job_ % deployment_.customers.size()].id;
    ++next_job_;
    job.tasks = tasks;
    job.accelerators_per_task = accelerators;
    job.cores_per_task = 2;
    job.declared_run_milliseconds = 3'600'000;
    return job;
  }

  // Submits the job and carries out its start. Adds the time of the
  // decisions to prepare and to start.
  void Start(const cluster::JobSpecification& job, std::vector<Cost>* costs) {
    const Cost prepare = Step(JobSubmitted{.specification = job});
    const std::vector<Decision> prepared = decisions_;
    Cost start;
    for (const Decision& decision : prepared) {
      if (const auto* task = std::get_if<PrepareTask>(&decision))
        start = Step(TaskPrepared{.task = task->place.task});
    }
    for (const Decision& decision : prepared) {
      if (const auto* task = std::get_if<PrepareTask>(&decision))
        Step(TaskStarted{.task = task->place.task});
    }
    if (costs && !prepared.empty()) {
      costs->push_back(prepare);
      costs->push_back(start);
    }
  }

  void Cancel(const base::JobId& job, std::vector<Cost>* costs) {
    const Cost cost = Step(JobCancelled{job});
    if (costs)
      costs->push_back(cost);
    const std::vector<Decision> stops = decisions_;
    for (const Decision& decision : stops) {
      if (const auto* stop = std::get_if<StopTask>(&decision))
        Step(TaskStopped{.task = stop->place.task});
    }
  }

 private:
  const Deployment& deployment_;
  base::Instant now_{std::chrono::seconds(1000)};
  std::unique_ptr<Engine> engine_;
  std::vector<Decision> decisions_;
  int next_job_ = 0;
};

void Fill(CostRun& run, int workers) {
  for (int i = 0; i < 300 * workers / 360; ++i)
    run.Start(run.Job(1, 1), nullptr);
  for (int i = 0; i < 4800 * workers / 360; ++i)
    run.Start(run.Job(1, 0), nullptr);
}

void AddCost(const std::string& where,
             const std::string& measure,
             const std::vector<Cost>& costs,
             double target,
             Report& report) {
  std::vector<double> wall;
  std::vector<double> cpu;
  for (const Cost& cost : costs) {
    wall.push_back(cost.wall);
    cpu.push_back(cost.cpu);
  }
  report.Add({.where = where,
              .measure = measure,
              .baseline = "p99 of processor time, us",
              .baseline_value = Quantile(cpu, 0.99),
              .result = Quantile(wall, 0.99),
              .target = target,
              .check = target > 0 ? Check::kTimed : Check::kNone});
}

// The cost of cancelling waiting jobs, for two lengths of the queue.
void MeasureCancellations(CostRun& run,
                          const std::string& where,
                          Report& report) {
  for (const int waiting : {1000, 8000}) {
    std::vector<base::JobId> ids;
    for (int i = 0; i < waiting; ++i) {
      cluster::JobSpecification job = run.Job(200, 2);
      ids.push_back(job.id);
      run.Step(JobSubmitted{.specification = job});
    }
    std::vector<Cost> costs;
    for (const base::JobId& id : ids)
      run.Cancel(id, &costs);
    AddCost(where,
            "p99 cancellation, " + std::to_string(waiting) + " waiting, us",
            costs, 0, report);
  }
}

}  // namespace

void MeasureCosts(int workers, Waiting waiting, Report& report) {
  const Deployment deployment = LargeDomain(workers);
  const std::string where = std::to_string(deployment.workers()) + " workers" +
                            (waiting == Waiting::kGang ? ", gang waits" : "");
  CostRun run(deployment);
  Fill(run, workers);
  // It needs every worker whole, so it stays in the queue.
  if (waiting == Waiting::kGang)
    run.Step(JobSubmitted{.specification = run.Job(workers, 2)});
  std::vector<Cost> single;
  for (int i = 0; i < kSingles; ++i) {
    const cluster::JobSpecification job = run.Job(1, i % 2);
    run.Start(job, &single);
    run.Cancel(job.id, nullptr);
  }
  AddCost(where, "p99 decision for one task, us", single, 50, report);
  std::vector<Cost> gang;
  for (int i = 0; i < kGangs; ++i) {
    const cluster::JobSpecification job = run.Job(256, i % 2);
    run.Start(job, &gang);
    run.Cancel(job.id, nullptr);
  }
  AddCost(where, "p99 decision for a gang of 256, us", gang, 1000, report);
  if (waiting == Waiting::kNothing && workers == 360)
    MeasureCancellations(run, where, report);
}

}  // namespace wigeonstair::placement
