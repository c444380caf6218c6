#ifndef WIGEONSTAIR_SERVICES_CONTROL_JOB_CHANGES_H_
#define WIGEONSTAIR_SERVICES_CONTROL_JOB_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "base/strong_id.h"

namespace wigeonstair::control {

// The jobs that the newest commands of the log were about, so that a controller
// need not compare all jobs after each change. Not thread-safe.
class JobChanges {
 public:
  // More than a second of commits at the 5,770 a second that were measured; the
  // reader looks every 100 ms.
  static constexpr std::size_t kDefaultLimit = 8192;

  explicit JobChanges(std::size_t limit = kDefaultLimit) : limit_(limit) {}

  void Add(std::uint64_t change, const base::JobId& job);
  // Forgets all jobs: what changed up to `change` is unknown.
  void Clear(std::uint64_t change);

  // The jobs of all changes after `change`; empty when they are not all known
  // any more and all jobs have to be compared.
  std::optional<std::set<base::JobId>> Since(std::uint64_t change) const;

 private:
  struct Entry {
    std::uint64_t change = 0;
    base::JobId job;
  };

  std::size_t limit_;
  std::deque<Entry> entries_;
  // Changes after this one are known.
  std::uint64_t forgotten_ = 0;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_JOB_CHANGES_H_
