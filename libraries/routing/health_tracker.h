#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_HEALTH_TRACKER_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_HEALTH_TRACKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "routing/snapshot.h"

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class HealthFault : std::uint8_t {
  kNone,
  kNoEjectionLimit,  // Ejects any share of a service.
  kNeverEject,
};

struct HealthOptions {
  // An upstream is ejected after this many consecutive failures.
  int consecutive_failures = 5;
  // An upstream is ejected when at least this share of its requests failed,
  // evaluated once there are `minimum_samples` answers and failures.
  double failure_share = 0.5;
  std::uint32_t minimum_samples = 10;
  // An upstream is ejected as slow when its mean answer time exceeds the median
  // of its service by more than this factor. With fewer than `slow_samples`
  // answers the factor grows in inverse proportion: for exponentially
  // distributed answer times, the mean of 16 exceeds three times the expected
  // value once in 38 million cases, a single answer once in 20.
  double slow_factor = 3.0;
  double slow_samples = 16;
  // An upstream with a lower mean answer time is never ejected as slow.
  base::Duration slow_minimum = std::chrono::milliseconds(5);
  // Duration of the first ejection. Each further one lasts twice as long, up to
  // the maximum; the count starts again once the last ejection is longer ago
  // than `reset_ejections_after`.
  base::Duration first_ejection = std::chrono::seconds(2);
  base::Duration maximum_ejection = std::chrono::seconds(60);
  base::Duration reset_ejections_after = std::chrono::seconds(60);
  // At most this share of the upstreams of a service is ejected at the same
  // time. Rounded down, so that a sole upstream is never ejected.
  double maximum_ejected_share = 0.4;
  base::Duration slow_start = std::chrono::seconds(5);
  // Weight at the beginning of slow start; it then grows linearly to 1.
  double initial_weight = 0.1;
  HealthFault fault = HealthFault::kNone;
};

struct HealthVerdict {
  HealthState state = HealthState::kHealthy;
  double weight = 1.0;

  bool operator==(const HealthVerdict&) const = default;
};

// Outlier ejection and slow start for upstreams. Deterministic: depends only on
// the load counters of the upstreams, which it resets, and on the given time.
class HealthTracker {
 public:
  struct Candidate {
    base::UpstreamId id;
    // When the upstream became usable. A changed value means that it returned
    // or restarted.
    base::Instant usable_since{};
    UpstreamLoad* load = nullptr;
  };

  explicit HealthTracker(HealthOptions options = {}) : options_(options) {}

  // Evaluates all usable upstreams of one service. The verdicts are in the
  // order of the candidates.
  std::vector<HealthVerdict> Evaluate(const std::vector<Candidate>& candidates,
                                      base::Instant now);
  void RemoveRecord(const base::UpstreamId& id) { records_.erase(id); }

 private:
  struct Record {
    base::Instant usable_since{};
    base::Instant ejected_until{};
    base::Instant slow_start_since{};
    base::Instant last_ejection{};
    // Decayed number and total time of the recent answers.
    double answers = 0;
    double answer_microseconds = 0;
    int ejections = 0;
    bool ejected = false;
  };

  // Moves the answer times from the load counters to the record.
  void CollectAnswers(Record& record, UpstreamLoad& load) const;
  // The median of the upstreams' mean answer times in microseconds; 0 when
  // fewer than three upstreams have answered.
  double MedianAnswerTime(const std::vector<Candidate>& candidates) const;
  // Whether the upstream is to be ejected. Resets the failure counters that it
  // has evaluated.
  bool DetectOutlier(const Candidate& candidate,
                     const Record& record,
                     double median_microseconds) const;
  bool IsSlow(const Record& record, double median_microseconds) const;
  void Eject(Record& record, base::Instant now);
  void Refresh(Record& record, const Candidate& candidate, base::Instant now);
  HealthVerdict Verdict(const Record& record, base::Instant now) const;

  HealthOptions options_;
  std::map<base::UpstreamId, Record> records_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_HEALTH_TRACKER_H_
