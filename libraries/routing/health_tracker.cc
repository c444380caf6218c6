#include "routing/health_tracker.h"

#include <algorithm>
#include <cstddef>

namespace wigeonstair::routing {

namespace {

// Resets all counters, so that an upstream that returns is evaluated only by
// later requests.
void ResetCounters(UpstreamLoad& load) {
  load.consecutive_failures.store(0, std::memory_order_relaxed);
  load.latency_microseconds.store(0, std::memory_order_relaxed);
  load.answers.store(0, std::memory_order_relaxed);
  load.failures.store(0, std::memory_order_relaxed);
  load.timed_answers.store(0, std::memory_order_relaxed);
  load.timed_microseconds.store(0, std::memory_order_relaxed);
}

}  // namespace

std::vector<HealthVerdict> HealthTracker::Evaluate(
    const std::vector<Candidate>& candidates,
    base::Instant now) {
  std::size_t ejected = 0;
  for (const Candidate& candidate : candidates) {
    Record& record = records_[candidate.id];
    Refresh(record, candidate, now);
    CollectAnswers(record, *candidate.load);
    ejected += record.ejected ? 1 : 0;
  }
  const double median = MedianAnswerTime(candidates);
  const auto allowed =
      options_.fault == HealthFault::kNoEjectionLimit
          ? candidates.size()
          : static_cast<std::size_t>(static_cast<double>(candidates.size()) *
                                     options_.maximum_ejected_share);
  for (const Candidate& candidate : candidates) {
    Record& record = records_[candidate.id];
    const bool outlier = DetectOutlier(candidate, record, median);
    if (record.ejected || !outlier || ejected >= allowed ||
        options_.fault == HealthFault::kNeverEject)
      continue;
    Eject(record, now);
    ++ejected;
  }
  // When upstreams have left the service since the ejections, more than the
  // maximum share may be ejected; the excess returns early.
  for (const Candidate& candidate : candidates) {
    if (ejected <= allowed)
      break;
    Record& record = records_[candidate.id];
    if (!record.ejected)
      continue;
    record.ejected = false;
    record.slow_start_since = now;
    --ejected;
  }
  std::vector<HealthVerdict> verdicts;
  verdicts.reserve(candidates.size());
  for (const Candidate& candidate : candidates)
    verdicts.push_back(Verdict(records_[candidate.id], now));
  return verdicts;
}

void HealthTracker::Refresh(Record& record,
                            const Candidate& candidate,
                            base::Instant now) {
  if (record.usable_since != candidate.usable_since) {
    record = Record{.usable_since = candidate.usable_since,
                    .slow_start_since = candidate.usable_since};
    ResetCounters(*candidate.load);
  }
  if (record.ejected && now >= record.ejected_until) {
    record.ejected = false;
    record.slow_start_since = now;
    record.answers = 0;
    record.answer_microseconds = 0;
    ResetCounters(*candidate.load);
  }
  if (!record.ejected && record.ejections > 0 &&
      now - record.last_ejection > options_.reset_ejections_after)
    record.ejections = 0;
}

void HealthTracker::CollectAnswers(Record& record, UpstreamLoad& load) const {
  record.answers += load.timed_answers.exchange(0, std::memory_order_relaxed);
  record.answer_microseconds += static_cast<double>(
      load.timed_microseconds.exchange(0, std::memory_order_relaxed));
  // Decays by the number of answers instead of by time, so that an upstream
  // with few requests is evaluated by as many answers as others.
  const double kept = 2 * options_.slow_samples;
  if (record.answers <= kept)
    return;
  record.answer_microseconds *= kept / record.answers;
  record.answers = kept;
}

double HealthTracker::MedianAnswerTime(
    const std::vector<Candidate>& candidates) const {
  std::vector<double> means;
  for (const Candidate& candidate : candidates) {
    const Record& record = records_.at(candidate.id);
    if (record.answers > 0)
      means.push_back(record.answer_microseconds / record.answers);
  }
  // With two upstreams it is not known which of them is the outlier.
  constexpr std::size_t kMinimumPeers = 3;
  if (means.size() < kMinimumPeers)
    return 0;
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

bool HealthTracker::DetectOutlier(const Candidate& candidate,
                                  const Record& record,
                                  double median_microseconds) const {
  UpstreamLoad& load = *candidate.load;
  if (load.consecutive_failures.load(std::memory_order_relaxed) >=
      options_.consecutive_failures)
    return true;
  const std::uint32_t failures = load.failures.load(std::memory_order_relaxed);
  const std::uint32_t samples =
      failures + load.answers.load(std::memory_order_relaxed);
  if (samples >= options_.minimum_samples) {
    load.failures.fetch_sub(failures, std::memory_order_relaxed);
    load.answers.fetch_sub(samples - failures, std::memory_order_relaxed);
    if (failures >= options_.failure_share * samples)
      return true;
  }
  return IsSlow(record, median_microseconds);
}

bool HealthTracker::IsSlow(const Record& record,
                           double median_microseconds) const {
  if (median_microseconds <= 0 || record.answers <= 0)
    return false;
  const double mean = record.answer_microseconds / record.answers;
  const double factor = options_.slow_factor *
                        std::max(1.0, options_.slow_samples / record.answers);
  return mean > static_cast<double>(options_.slow_minimum.count()) &&
         mean > factor * median_microseconds;
}

void HealthTracker::Eject(Record& record, base::Instant now) {
  constexpr int kMaximumDoublings = 10;
  const int doublings = std::min(record.ejections, kMaximumDoublings);
  const base::Duration length = std::min(
      options_.first_ejection * (1 << doublings), options_.maximum_ejection);
  record.ejected = true;
  record.ejected_until = now + length;
  record.last_ejection = now;
  ++record.ejections;
}

HealthVerdict HealthTracker::Verdict(const Record& record,
                                     base::Instant now) const {
  if (record.ejected)
    return {.state = HealthState::kEjected, .weight = options_.initial_weight};
  const base::Duration age = now - record.slow_start_since;
  if (age >= options_.slow_start)
    return {};
  const double progress = static_cast<double>(age.count()) /
                          static_cast<double>(options_.slow_start.count());
  return {.state = HealthState::kSlowStart,
          .weight = std::max(options_.initial_weight, progress)};
}

}  // namespace wigeonstair::routing
