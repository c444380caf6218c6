#ifndef WIGEONSTAIR_LIBRARIES_JOBS_WORKER_SPEEDS_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_WORKER_SPEEDS_H_

#include <cstdint>
#include <map>

#include "base/strong_id.h"

namespace wigeonstair::jobs {

// How much longer than others each worker takes for the same work. Bounded: the
// workers that ended no run for longest are dropped.
class WorkerSpeeds {
 public:
  // `ratio` is the run time of a task divided by what was expected of it on an
  // average worker.
  // Load pattern: run times with a long tail, and workers that report ends at
  // once. One run moves the estimate by a bounded amount.
  void Record(const base::WorkerId& worker, double ratio);

  // The expected ratio, from 1/8 to 8; near 1 while there are few runs.
  double SlownessOf(const base::WorkerId& worker) const;
  // Whether the worker ends its runs faster than any real one could.
  bool IsImplausible(const base::WorkerId& worker) const;

  std::size_t size() const { return speeds_.size(); }

  bool operator==(const WorkerSpeeds&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(speeds_, typical_, records_);
  }

 private:
  struct Speed {
    // Moving mean of the binary logarithm of the ratio to the typical one.
    double log_ratio = 0;
    double runs = 0;
    std::uint64_t last_record = 0;

    bool operator==(const Speed&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {  // NOLINT: cereal's name.
      archive(log_ratio, runs, last_record);
    }
  };

  std::map<base::WorkerId, Speed> speeds_;
  // Median of the binary logarithm of the ratios of all workers. Not 0 when the
  // expectations themselves are off.
  double typical_ = 0;
  std::uint64_t records_ = 0;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_WORKER_SPEEDS_H_
