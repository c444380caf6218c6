#ifndef WIGEONSTAIR_LIBRARIES_JOBS_PLACEMENT_HISTORY_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_PLACEMENT_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/monotonic_clock.h"
#include "jobs/command.h"
#include "jobs/run_existence.h"

namespace wigeonstair::jobs {

// What this host knows from the replicated log about the start calls of former
// leaders, so that a new leader holds only those tasks whose starts may still
// be carried out late. Not replicated and not stored: all times are on the
// monotonic clock of this host. After a restart, the log tells how much time
// passed between its commands at least; after a snapshot nothing is known.
class PlacementHistory {
 public:
  // `now`: all placements that are not recorded were committed before.
  explicit PlacementHistory(base::Instant now) : unknown_before_(now) {}

  // Forgets all placements, since a snapshot replaced the log.
  void Reset(base::Instant now);
  // Records a command of the log that was applied at `now`.
  void Record(const Command& command, base::Instant now);

  // The start calls that former leaders may have sent for a run that the log
  // shows as placed.
  StartHistory StartsOf(const RunKey& run, base::Instant now) const;

  // For tests: the number of placements that it holds.
  std::size_t size() const { return entries_.size(); }
  std::size_t unstamped_count() const { return unstamped_.size(); }

 private:
  struct Entry {
    // The placement was committed by then.
    base::Instant placed_by;
    // Its only start call is known to have been executed.
    bool confirmed = false;
    // The time of the log at the first stamp after the placement.
    std::optional<base::Duration> log_time;
  };

  // The last time of a leader in the log.
  struct Stamp {
    std::uint64_t term = 0;
    std::uint64_t leader_ms = 0;
    // When this host applied it.
    base::Instant seen_at;
  };

  void Add(const RunKey& run, const Entry& entry, base::Instant now);
  void DropOldEntries(base::Instant now);
  void AdvanceLogTime(const ConfirmStarts& command, base::Instant now);

  base::Instant unknown_before_;
  std::map<RunKey, Entry> entries_;
  // The entries by the time at which they were added.
  std::deque<std::pair<base::Instant, RunKey>> order_;
  Stamp stamp_;
  // The time that passed between the stamps of the log, without that between
  // two terms.
  base::Duration log_time_{};
  // Placements since the last stamp; not more than entries, but for the last
  // command.
  std::vector<RunKey> unstamped_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_PLACEMENT_HISTORY_H_
