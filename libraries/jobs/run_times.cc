#include "jobs/run_times.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

namespace wigeonstair::jobs {

namespace {

// Weight of the newest run in the moving average; about the last ten runs
// count.
constexpr double kNewestWeight = 0.1;
// With fewer completed tasks the declared run time is used alone.
constexpr std::uint32_t kMinimumSamples = 5;
// A healthy run may take this many times its expected run time.
constexpr double kSlowestHealthyRun = 3;

constexpr base::Duration kSummaryInterval = std::chrono::seconds(2);
constexpr std::size_t kMaximumSamples = 512;
constexpr std::uint32_t kMaximumOfWorker = 8;

RunTimeExpectation Around(double expected_ms, RunTimeSource source) {
  return {.median_ms = expected_ms,
          .high_ms = kSlowestHealthyRun * expected_ms,
          .source = source};
}

}  // namespace

void QueueMeans::Record(const std::string& queue,
                        double run_ms,
                        double estimate_ms) {
  Mean& mean = means_[queue];
  ++mean.samples;
  const double weight = std::max(kNewestWeight, 1.0 / mean.samples);
  mean.run_ms += weight * (run_ms - mean.run_ms);
  if (estimate_ms > 0)
    mean.ratio += weight * (run_ms / estimate_ms - mean.ratio);
}

// Declared run times are off by about half in either direction, and so is the
// mean of a queue. The average of both has a smaller error.
RunTimeExpectation QueueMeans::Expect(const std::string& queue,
                                      double estimate_ms) const {
  const auto found = means_.find(queue);
  if (found == means_.end() || found->second.samples < kMinimumSamples)
    return Around(estimate_ms, RunTimeSource::kDeclared);
  const Mean& mean = found->second;
  return Around(estimate_ms <= 0 ? mean.run_ms
                                 : (mean.run_ms + estimate_ms * mean.ratio) / 2,
                RunTimeSource::kQueueMean);
}

std::size_t ExpectationCache::Hash::operator()(const Key& key) const {
  const auto& [tasks, declared_ms] = key;
  std::size_t hash = std::hash<std::string>()(tasks.queue);
  const auto mix = [&](std::uint64_t value) {
    constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
    hash = (hash ^ value) * kMultiplier;
    hash ^= hash >> 32;
  };
  mix(std::hash<std::string>()(tasks.customer.value()));
  mix(declared_ms);
  if (tasks.shape) {
    mix(tasks.shape->task.cpu);
    mix(tasks.shape->task.memory_mb);
    mix(tasks.shape->task.accelerators * 2 + (tasks.shape->gang ? 1 : 0));
  }
  return hash;
}

RunTimeExpectation ExpectationCache::Expect(const RunTimeModel& model,
                                            const RunTimeKey& key,
                                            std::uint32_t declared_ms) {
  constexpr std::size_t kMaximumEntries = 4096;
  if (model.samples() != samples_ || known_.size() >= kMaximumEntries) {
    samples_ = model.samples();
    known_.clear();
  }
  const auto [found, is_new] = known_.try_emplace({key, declared_ms});
  if (is_new)
    found->second = model.Expect(key, declared_ms);
  return found->second;
}

void RunTimeSummary::Add(RunTimeSample sample) {
  if (samples_.size() >= kMaximumSamples)
    return;
  if (!sample.worker.empty() &&
      ++of_worker_[sample.worker] > kMaximumOfWorker) {
    return;
  }
  samples_.push_back(std::move(sample));
}

std::vector<RunTimeSample> RunTimeSummary::TakeDue(base::Instant now) {
  if (now < next_at_ || samples_.empty())
    return {};
  next_at_ = now + kSummaryInterval;
  of_worker_.clear();
  return std::exchange(samples_, {});
}

void RunTimeSummary::Clear() {
  samples_.clear();
  of_worker_.clear();
}

}  // namespace wigeonstair::jobs
