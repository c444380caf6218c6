#include "jobs/run_time_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace wigeonstair::jobs {

namespace {

constexpr std::size_t kMaximumKeys = 768;
// Number of samples at which a key counts as much as those above it.
constexpr double kPriorSamples = 8;
// The same for run times of a queue, above which nothing is known.
constexpr double kUniformSamples = 2;
constexpr double kHighShare = 0.99;
// Without samples, a task is expected to take up to this many times its
// declared run time.
constexpr double kDeclaredHigh = 3;
// Scale of the density of run time to declared time before it is known.
constexpr double kDeclaredScale = 0.5;
// Scale of the histograms of ratios, which start at 10.
constexpr double kRatioUnit = 1000;
// Weight of the newest sample in the moving means of the errors.
constexpr double kErrorWeight = 1.0 / 256;

RunTimeSource LevelOf(const RunTimeKey& key) {
  if (!key.customer.empty())
    return RunTimeSource::kCustomer;
  return key.shape ? RunTimeSource::kShape : RunTimeSource::kQueue;
}

void AddSample(LogHistogram& values, double value, bool censored) {
  if (censored)
    values.AddAtLeast(value);
  else
    values.Add(value);
}

}  // namespace

std::string_view NameOf(RunTimeSource source) {
  switch (source) {
    case RunTimeSource::kDeclared:
      return "declared";
    case RunTimeSource::kQueueMean:
      return "queue_mean";
    case RunTimeSource::kQueue:
      return "queue";
    case RunTimeSource::kShape:
      return "shape";
    case RunTimeSource::kCustomer:
      return "customer";
  }
  return "unknown";
}

// Without any sample.
const RunTimeModel::Belief& RunTimeModel::NoBelief() {
  static const Belief belief = {
      .run_ms = UniformDensity(),
      .ratio = DensityAround(kRatioUnit, kDeclaredScale)};
  return belief;
}

const RunTimeModel::Belief& RunTimeModel::BeliefOf(
    const RunTimeKey& key) const {
  auto found = entries_.find(key);
  if (found == entries_.end())
    found = entries_.find({.queue = key.queue, .shape = key.shape});
  if (found == entries_.end())
    found = entries_.find({.queue = key.queue});
  return found == entries_.end() ? NoBelief() : found->second.belief;
}

// The densities of earlier run times and of the deviation of declared times
// give that of this run time: a declared time that is usually off counts for
// little, and one that is usually right reveals the tasks of the tail.
RunTimeExpectation RunTimeModel::Expect(const RunTimeKey& key,
                                        double declared_ms) const {
  const Belief& belief = BeliefOf(key);
  if (belief.source == RunTimeSource::kDeclared &&
      (declared_ms <= 0 || &belief == &NoBelief())) {
    return {.median_ms = declared_ms, .high_ms = kDeclaredHigh * declared_ms};
  }
  RunTimeExpectation expected{.median_ms = Quantile(belief.run_ms, 0.5),
                              .high_ms = Quantile(belief.run_ms, kHighShare),
                              .source = belief.source};
  if (declared_ms <= 0)
    return expected;
  expected.median_ms = Quantile(
      Product(belief.run_ms, belief.ratio, declared_ms, kRatioUnit), 0.5);
  // A tail that declared times do not show is in both densities, so their
  // product would count it as rarer than it is.
  const double high_ratio = Quantile(belief.ratio, kHighShare) / kRatioUnit;
  expected.high_ms = std::max(
      expected.median_ms, std::min(expected.high_ms, high_ratio * declared_ms));
  return expected;
}

void RunTimeModel::Add(const std::vector<RunTimeSample>& samples) {
  for (const RunTimeSample& sample : samples)
    AddOne(sample);
  Refresh();
}

void RunTimeModel::AddOne(const RunTimeSample& sample) {
  ++samples_;
  const double took_ms = std::max<double>(sample.run_ms, 1);
  const RunTimeExpectation expected = Expect(sample.key, sample.declared_ms);
  const bool has_worker = !sample.worker.empty();
  const double slowness = has_worker ? speeds_.SlownessOf(sample.worker) : 1;
  const double expected_ms =
      expected.median_ms > 0 ? expected.median_ms : took_ms;
  if (!sample.censored) {
    const auto follow = [&](double& mean, double prediction_ms) {
      mean += std::max(kErrorWeight, 1.0 / static_cast<double>(samples_)) *
              (std::abs(std::log(took_ms / prediction_ms)) - mean);
    };
    follow(expectation_error_, expected_ms * slowness);
    if (sample.declared_ms > 0)
      follow(declaration_error_, sample.declared_ms);
    if (has_worker && expected.source != RunTimeSource::kDeclared)
      speeds_.Record(sample.worker, took_ms / expected_ms);
  }
  // Its reports say nothing about the work.
  if (has_worker && speeds_.IsImplausible(sample.worker))
    return;
  const RunTimeKey& key = sample.key;
  const double run_ms = took_ms / slowness;
  AddTo({.queue = key.queue}, sample, run_ms);
  if (key.shape)
    AddTo({.queue = key.queue, .shape = key.shape}, sample, run_ms);
  if (!key.customer.empty())
    AddTo(key, sample, run_ms);
}

void RunTimeModel::AddTo(const RunTimeKey& key,
                         const RunTimeSample& sample,
                         double run_ms) {
  if (entries_.size() >= kMaximumKeys && !entries_.contains(key)) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.last_sample < b.second.last_sample;
        }));
  }
  Entry& entry =
      entries_.try_emplace(key, Entry{.belief = BeliefOf(key)}).first->second;
  entry.last_sample = samples_;
  AddSample(entry.run_ms, run_ms, sample.censored);
  if (sample.declared_ms > 0) {
    AddSample(entry.ratio, kRatioUnit * run_ms / sample.declared_ms,
              sample.censored);
  }
}

// Keys above another one sort before it.
void RunTimeModel::Refresh() {
  std::array<std::pair<const RunTimeKey*, const Belief*>, 2> above{};
  for (auto& [key, entry] : entries_) {
    const RunTimeSource level = LevelOf(key);
    const Belief* parent = &NoBelief();
    for (const auto& [upper, belief] : above) {
      const bool covers = upper != nullptr && upper->queue == key.queue &&
                          (!upper->shape || upper->shape == key.shape);
      if (covers)
        parent = belief;
    }
    entry.belief = {
        .run_ms = entry.run_ms.Density(parent->run_ms, parent == &NoBelief()
                                                           ? kUniformSamples
                                                           : kPriorSamples),
        .ratio = entry.ratio.Density(parent->ratio, kPriorSamples),
        .source = entry.run_ms.weight() >= kPriorSamples / 2 ? level
                                                             : parent->source};
    if (level == RunTimeSource::kQueue)
      above = {std::pair(&key, &entry.belief)};
    else if (level == RunTimeSource::kShape)
      above[1] = {&key, &entry.belief};
  }
}

double RunTimeModel::ExpectationError() const {
  return std::exp(expectation_error_);
}

double RunTimeModel::DeclarationError() const {
  return std::exp(declaration_error_);
}

}  // namespace wigeonstair::jobs
