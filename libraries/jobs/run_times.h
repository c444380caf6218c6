#ifndef WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIMES_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "jobs/run_time_model.h"

namespace wigeonstair::jobs {

// How the leader estimates run times.
// As declared.
struct DeclaredRunTimes {
  bool operator==(const DeclaredRunTimes&) const = default;
};
// By the declared time and a moving mean of each queue, which the next leader
// starts anew.
struct QueueMeanRunTimes {
  bool operator==(const QueueMeanRunTimes&) const = default;
};
// By the RunTimeModel of the store.
struct LearnedRunTimes {
  bool operator==(const LearnedRunTimes&) const = default;
};
using RunTimeMethod =
    std::variant<QueueMeanRunTimes, DeclaredRunTimes, LearnedRunTimes>;

// Estimates run times of the tasks of a queue from those of completed tasks.
class QueueMeans {
 public:
  // `estimate_ms` is the declared run time of the same task.
  void Record(const std::string& queue, double run_ms, double estimate_ms);
  RunTimeExpectation Expect(const std::string& queue, double estimate_ms) const;

 private:
  struct Mean {
    double run_ms = 0;
    double ratio = 1;
    std::uint32_t samples = 0;
  };
  std::map<std::string, Mean> means_;
};

// Keeps the expectations of a RunTimeModel until it has more samples: rounds
// ask for the same ones many times.
class ExpectationCache {
 public:
  RunTimeExpectation Expect(const RunTimeModel& model,
                            const RunTimeKey& key,
                            std::uint32_t declared_ms);

 private:
  using Key = std::pair<RunTimeKey, std::uint32_t>;
  struct Hash {
    std::size_t operator()(const Key& key) const;
  };

  // Number of samples of the model when the cache was emptied.
  std::uint64_t samples_ = 0;
  std::unordered_map<Key, RunTimeExpectation, Hash> known_;
};

// The samples of a leader that are not in the log yet.
class RunTimeSummary {
 public:
  // Load pattern: many short tasks, or a worker that reports ends at once. A
  // summary is bounded, and so is the part of each worker; further samples
  // are dropped.
  void Add(RunTimeSample sample);
  // The samples of the last interval, when it has passed; empty before.
  std::vector<RunTimeSample> TakeDue(base::Instant now);
  void Clear();

 private:
  std::vector<RunTimeSample> samples_;
  std::map<base::WorkerId, std::uint32_t> of_worker_;
  base::Instant next_at_{};
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIMES_H_
