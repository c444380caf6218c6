#ifndef WIGEONSTAIR_LIBRARIES_JOBS_JOB_CHANGES_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_JOB_CHANGES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/strong_id.h"

namespace wigeonstair::jobs {

// The jobs that were added, changed, ended or removed by the last commands, so
// that a reader can keep an index of the jobs without looking at all of them.
// Bounded: a reader that is too far behind has to look at all. Not replicated.
class JobChanges {
 public:
  // The number of changes that are kept.
  static constexpr std::size_t kKept = 2048;

  void Add(const base::JobId& job);
  // All jobs may have changed, and references to the former ones are invalid.
  void AddAll();

  // Increases with each change. Above 0.
  std::uint64_t revision() const { return revision_; }
  // The jobs that changed after `revision`, with repetitions. Empty when all
  // may have changed.
  std::optional<std::vector<base::JobId>> Since(std::uint64_t revision) const;

 private:
  std::uint64_t revision_ = 1;
  // The last changes; the newest one has the number `revision_`.
  std::deque<base::JobId> last_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_JOB_CHANGES_H_
