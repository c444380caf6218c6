#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Tasks of similar size count as one shape.
std::uint64_t RoundUp(std::uint64_t amount) {
  constexpr std::uint64_t kHighestPower = std::uint64_t{1} << 63;
  return std::bit_ceil(std::min(amount, kHighestPower));
}

RunTimeKey KeyOf(const std::string& queue,
                 const base::CustomerId& customer,
                 const StepSpec& step) {
  return {.queue = queue,
          .shape = TaskShape{.task = {.cpu = RoundUp(step.task.cpu),
                                      .memory_mb = RoundUp(step.task.memory_mb),
                                      .accelerators = step.task.accelerators},
                             .gang = step.gang},
          .customer = customer};
}

}  // namespace

RunTimeExpectation Dispatcher::Expect(const std::string& queue,
                                      const base::CustomerId& customer,
                                      const StepSpec& step) const {
  if (std::holds_alternative<QueueMeanRunTimes>(options_.run_times))
    return queue_means_.Expect(queue, step.estimate_ms);
  // A step that runs until it is cancelled never gives a sample.
  if (std::holds_alternative<DeclaredRunTimes>(options_.run_times) ||
      step.long_running) {
    return QueueMeans().Expect(queue, step.estimate_ms);
  }
  return expectations_.Expect(store_.run_times(), KeyOf(queue, customer, step),
                              step.estimate_ms);
}

double Dispatcher::ExpectedTaskMs(const JobRecord& job,
                                  std::uint32_t step) const {
  return Expect(job.queue, job.customer, job.spec.steps[step]).median_ms;
}

// The expected duration of the longest chain of dependent steps.
double Dispatcher::CriticalPathMs(const std::string& queue,
                                  const JobSpec& spec,
                                  const base::CustomerId& customer) const {
  std::vector<double> finish_ms(spec.steps.size());
  double longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    double begin = 0;
    for (const std::uint32_t earlier : spec.steps[i].depends_on)
      begin = std::max(begin, finish_ms[earlier]);
    finish_ms[i] = begin + Expect(queue, customer, spec.steps[i]).median_ms;
    longest = std::max(longest, finish_ms[i]);
  }
  return longest;
}

// The members of a gang progress together, so one of them stands for all and
// says nothing about its own worker.
void Dispatcher::LearnFrom(const ListedEnd& end,
                           const Run& run,
                           const JobRecord& job,
                           const Now& now) {
  const StepSpec& step = job.spec.steps[end.run.task.step];
  if (!std::holds_alternative<LearnedRunTimes>(options_.run_times) ||
      !run.running_since || step.long_running ||
      end.outcome == ListedOutcome::kGangIncomplete ||
      (step.gang && end.run.task.index != 0)) {
    return;
  }
  const bool whole = end.outcome == ListedOutcome::kDone && run.first_sent_at &&
                     run.starts.sent == 1 &&
                     store_.FindTask(end.run.task) != nullptr &&
                     GangCheckpoint(end.run.task).empty();
  // A run that hung has worked until its last progress only.
  const base::Instant until =
      end.outcome == ListedOutcome::kDone
          ? now.instant
          : std::max(run.progress_at, *run.running_since);
  const double run_ms = Milliseconds(until - *run.running_since) /
                        (run.remote ? options_.remote_factor : 1);
  run_time_summary_.Add({.key = KeyOf(job.queue, job.customer, step),
                         .declared_ms = step.estimate_ms,
                         .run_ms = static_cast<std::uint32_t>(run_ms),
                         .worker = step.gang ? base::WorkerId() : run.worker.id,
                         .censored = !whole});
}

void Dispatcher::ProposeRunTimes(const Now& now) {
  std::vector<RunTimeSample> samples = run_time_summary_.TakeDue(now.instant);
  if (!samples.empty())
    Propose(RecordRunTimes{.samples = std::move(samples)}, std::nullopt);
}

}  // namespace wigeonstair::jobs
