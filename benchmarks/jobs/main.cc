// Measures how long a round of decisions takes: while a burst of urgent gangs
// arrives on a full fleet, at several sizes of the fleet, and with a long queue
// of several shapes, at several lengths of the queue. Prints tables. --queue
// measures the latter only, --large one fleet of 3,200 workers.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_simulation.h"

namespace wigeonstair::jobs {

namespace {

// The load of prg-returns-grown, by worker and second.
constexpr double kSortBatches = 2.15 / 350;
constexpr double kRoutePlans = 5.87 / 350;
constexpr double kReconciliations = 1.7 / 350;
// On its worst days urgent jobs come four times as often.
constexpr double kBurst = 4;
constexpr int kSeconds = 12;
constexpr int kSliceMs = 50;

class Arrivals {
 public:
  Arrivals(DispatchSimulation& simulation, int workers)
      : simulation_(simulation), workers_(workers) {}

  // Submits what arrives within one slice.
  void Slice(double urgent_factor) {
    static constexpr std::uint64_t kSizes[] = {1, 2, 4, 8, 8};
    const auto size = [&] { return kSizes[simulation_.random().Below(5)]; };
    Take(kSortBatches, [&] {
      StepSpec step = Gang(1 + Draw(25), size(), 6800);
      step.rack_local = simulation_.random().Below(10) < 6;
      step.checkpointing = true;
      Submit({step}, 1);
    });
    Take(kRoutePlans * urgent_factor, [&] {
      StepSpec step = Gang(1 + Draw(9), size(), 2500);
      step.rack_local = simulation_.random().Below(10) < 8;
      Submit({step}, 0);
    });
    Take(kReconciliations, [&] { Submit({Step(1 + Draw(77), 1, 7600)}, 2); });
  }

 private:
  std::uint32_t Draw(std::uint32_t most) {
    return static_cast<std::uint32_t>(simulation_.random().Below(most));
  }
  template <typename Make>
  void Take(double per_worker_second, Make make) {
    const double mean = per_worker_second * workers_ * kSliceMs / 1000;
    const double draw =
        static_cast<double>(simulation_.random().Below(10'000)) / 10'000;
    const int count =
        static_cast<int>(mean) + (draw < mean - static_cast<int>(mean) ? 1 : 0);
    for (int i = 0; i < count; ++i)
      make();
  }
  void Submit(std::vector<StepSpec> steps, std::uint32_t priority) {
    simulation_.Submit("j" + std::to_string(100'000 + ++submitted_),
                       std::move(steps), priority);
  }

  DispatchSimulation& simulation_;
  const int workers_;
  int submitted_ = 0;
};

double InMs(base::Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

struct Summary {
  double total_ms = 0;
  double mean_ms = 0;
  double p99_ms = 0;
  double longest_ms = 0;
};

Summary Summarize(std::vector<base::Duration> times) {
  const base::Duration whole =
      std::accumulate(times.begin(), times.end(), base::Duration(0));
  std::sort(times.begin(), times.end());
  return {.total_ms = InMs(whole),
          .mean_ms = InMs(whole) / static_cast<double>(times.size()),
          .p99_ms = InMs(times[times.size() * 99 / 100]),
          .longest_ms = InMs(times.back())};
}

void Measure(int workers) {
  DispatchSimulation simulation(
      {.workers = workers,
       .workers_per_rack = 12,
       .guaranteed_accelerators = static_cast<std::uint64_t>(workers) * 4});
  Arrivals arrivals(simulation, workers);
  std::size_t most_waiting = 0;
  std::size_t most_runs = 0;
  for (int ms = 0; ms < kSeconds * 1000; ms += kSliceMs) {
    arrivals.Slice(ms > 6000 ? kBurst : 1);
    simulation.RunFor(kSliceMs);
    most_waiting =
        std::max(most_waiting, simulation.dispatcher().waiting_tasks());
    most_runs = std::max(most_runs, simulation.dispatcher().run_count());
  }
  const Summary times = Summarize(simulation.tick_times());
  std::printf("| %d | %zu | %zu | %.3f | %.3f | %.3f | %.3f |\n", workers,
              most_runs, most_waiting, times.total_ms / 1000 / kSeconds,
              times.mean_ms, times.p99_ms, times.longest_ms);
}

// The interval of placement rounds with a long queue, so each tick of the
// simulation contains one.
constexpr std::uint64_t kRoundMs = 60;
// Until the fleet and the queue are full.
constexpr int kWarmUpRounds = 50;
constexpr int kMeasuredRounds = 200;
// Rounds between two bursts, and the part of the queue that one adds.
constexpr int kBurstInterval = 33;
constexpr std::size_t kBurstShare = 4;
// They have guarantees for half of the fleet in total.
constexpr int kCustomers = 10;

// Keeps a queue of about `waiting` tasks of three shapes on a full fleet, with
// bursts and cancellations.
class Queue {
 public:
  Queue(DispatchSimulation& simulation, std::size_t waiting)
      : simulation_(simulation), waiting_(waiting) {}

  // Submits what the queue lacks, and cancels some jobs.
  void Fill(int round) {
    std::size_t tasks = simulation_.dispatcher().waiting_tasks();
    const std::size_t wanted = round % kBurstInterval == 0
                                   ? waiting_ + waiting_ / kBurstShare
                                   : waiting_;
    while (tasks < wanted)
      tasks += Submit();
    for (std::size_t i = 0; i < jobs_.size() && i < 2; ++i)
      CancelOne();
  }

 private:
  // The shapes, by how often their jobs come. Returns the number of tasks.
  std::size_t Submit() {
    static constexpr std::uint64_t kSizes[] = {1, 2, 4, 8, 8};
    const std::uint64_t size = kSizes[simulation_.random().Below(5)];
    const std::uint64_t kind = simulation_.random().Below(100);
    StepSpec step;
    std::uint32_t priority = 0;
    if (kind < 15) {
      step = Gang(1 + Draw(25), size, 11'000);
      step.task.cpu = 13'000;
      step.task.memory_mb = 68'000;
      step.rack_local = simulation_.random().Below(10) < 6;
      step.checkpointing = simulation_.random().Below(2) == 0;
      priority = 1;
    } else if (kind < 80) {
      step = Gang(1 + Draw(9), size, 2500);
      step.task.cpu = 3700;
      step.task.memory_mb = 11'000;
      step.rack_local = simulation_.random().Below(10) < 8;
    } else {
      step = Step(1 + Draw(77), 1, 7600);
      step.task.cpu = 2800;
      step.task.memory_mb = 15'000;
      step.max_per_worker = simulation_.random().Below(8) == 0 ? 2 : 0;
      step.checkpointing = simulation_.random().Below(2) == 0;
      priority = 2;
    }
    jobs_.push_back("j" + std::to_string(100'000 + ++submitted_));
    simulation_.Submit(jobs_.back(), {step}, priority, 3,
                       NameOfCustomer(static_cast<int>(Draw(kCustomers))));
    return step.count;
  }
  void CancelOne() {
    const std::size_t chosen = simulation_.random().Below(jobs_.size());
    simulation_.Apply(
        CancelJob{.job = base::JobId(jobs_[chosen]), .now_ms = 1});
    jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  std::uint32_t Draw(std::uint32_t most) {
    return static_cast<std::uint32_t>(simulation_.random().Below(most));
  }

  DispatchSimulation& simulation_;
  const std::size_t waiting_;
  std::vector<std::string> jobs_;
  int submitted_ = 0;
};

struct QueueSize {
  int workers = 350;
  std::size_t waiting = 0;
  // Of a worker.
  Resources capacity = {.cpu = 32'000, .memory_mb = 131'072, .accelerators = 8};
};

// Returns the mean time of a round in milliseconds.
double MeasureQueue(const QueueSize& size) {
  DispatchSimulation simulation(
      {.workers = size.workers,
       .workers_per_rack = 8,
       .guaranteed_accelerators =
           size.workers * size.capacity.accelerators / 2 / kCustomers,
       .tick_ms = kRoundMs,
       .customers = kCustomers,
       .capacity = size.capacity});
  Queue queue(simulation, size.waiting);
  std::size_t runs = 0;
  std::size_t waiting = 0;
  for (int round = 0; round < kWarmUpRounds + kMeasuredRounds; ++round) {
    queue.Fill(round);
    simulation.RunFor(kRoundMs);
    if (round >= kWarmUpRounds) {
      runs += simulation.dispatcher().run_count();
      waiting += simulation.dispatcher().waiting_tasks();
    }
  }
  const std::vector<base::Duration>& all = simulation.tick_times();
  const Summary times = Summarize({all.begin() + kWarmUpRounds, all.end()});
  int starts = 0;
  int stops = 0;
  for (const auto& [kind, count] : simulation.decisions()) {
    starts += kind.starts_with("start ") ? count : 0;
    stops += kind.starts_with("stop ") ? count : 0;
  }
  std::printf("| %d | %zu | %zu | %d | %d | %016zx | %.3f | %.3f | %.3f |\n",
              size.workers, runs / kMeasuredRounds, waiting / kMeasuredRounds,
              starts, stops, simulation.decision_digest(), times.mean_ms,
              times.p99_ms, times.longest_ms);
  std::fflush(stdout);
  return times.mean_ms;
}

// The slope of a line through points.
double Slope(const std::vector<std::pair<double, double>>& points) {
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& [a, b] : points) {
    x += a;
    y += b;
    xx += a * a;
    xy += a * b;
  }
  const auto count = static_cast<double>(points.size());
  return (count * xy - x * y) / (count * xx - x * x);
}

void PrintQueueHeader() {
  std::printf(
      "\nA long queue, one round every %d ms:\n| workers | runs | waiting "
      "tasks | starts | stops | digest of decisions | mean ms | p99 ms | "
      "longest "
      "ms |\n|---|---|---|---|---|---|---|---|---|\n",
      static_cast<int>(kRoundMs));
}

void MeasureQueues() {
  PrintQueueHeader();
  std::vector<std::pair<double, double>> points;
  for (const std::size_t waiting : {500, 1000, 2000, 4000, 8000}) {
    const double mean = MeasureQueue({.waiting = waiting});
    points.emplace_back(std::log(waiting), std::log(mean));
  }
  std::printf("Exponent of the mean over the waiting tasks: %.2f\n",
              Slope(points));
}

// Workers on which about 14 tasks run at once.
void MeasureLarge() {
  PrintQueueHeader();
  MeasureQueue(
      {.workers = 3200,
       .waiting = 8000,
       .capacity = {.cpu = 128'000, .memory_mb = 524'288, .accelerators = 32}});
}

}  // namespace

}  // namespace wigeonstair::jobs

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "--large") {
    wigeonstair::jobs::MeasureLarge();
    return 0;
  }
  if (argc > 1 && std::string_view(argv[1]) == "--queue") {
    wigeonstair::jobs::MeasureQueues();
    return 0;
  }
  std::printf(
      "| workers | runs, most | waiting tasks, most | cores | mean ms | "
      "p99 ms | longest ms |\n|---|---|---|---|---|---|---|\n");
  for (const int workers : {48, 96, 175, 350, 700})
    wigeonstair::jobs::Measure(workers);
  wigeonstair::jobs::MeasureQueues();
  return 0;
}
