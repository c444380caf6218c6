// Measures how long a round of decisions takes at several sizes of the fleet,
// while a burst of urgent gangs arrives on a full fleet. Prints a table.
#include <algorithm>
#include <cstdio>
#include <numeric>
#include <string>
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
  std::vector<base::Duration> times = simulation.tick_times();
  const base::Duration whole =
      std::accumulate(times.begin(), times.end(), base::Duration(0));
  std::sort(times.begin(), times.end());
  const auto in_ms = [](base::Duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  std::printf("| %d | %zu | %zu | %.3f | %.3f | %.3f | %.3f |\n", workers,
              most_runs, most_waiting, in_ms(whole) / 1000 / kSeconds,
              in_ms(whole) / static_cast<double>(times.size()),
              in_ms(times[times.size() * 99 / 100]), in_ms(times.back()));
}

}  // namespace

}  // namespace wigeonstair::jobs

int main() {
  std::printf(
      "| workers | runs, most | waiting tasks, most | cores | mean ms | "
      "p99 ms | longest ms |\n|---|---|---|---|---|---|---|\n");
  for (const int workers : {48, 96, 175, 350, 700})
    wigeonstair::jobs::Measure(workers);
  return 0;
}
