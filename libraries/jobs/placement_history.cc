#include "jobs/placement_history.h"

#include <algorithm>
#include <variant>

namespace wigeonstair::jobs {

namespace {

// How long an entry is kept. Starts of older placements cannot be carried out
// any more, whether they were confirmed or not.
constexpr base::Duration kRetention = std::chrono::seconds(20);

}  // namespace

void PlacementHistory::Reset(base::Instant now) {
  entries_.clear();
  order_.clear();
  unknown_before_ = now;
}

void PlacementHistory::Record(const Command& command, base::Instant now) {
  DropOldEntries(now);
  if (const auto* placed = std::get_if<PlaceTasks>(&command)) {
    for (const Placement& placement : placed->placements) {
      Add({.task = placement.task, .attempt = placement.attempt},
          {.placed_by = now}, now);
    }
  } else if (const auto* confirmed = std::get_if<ConfirmStarts>(&command)) {
    for (const RunKey& run : confirmed->runs) {
      const auto known = entries_.find(run);
      if (known != entries_.end())
        known->second.confirmed = true;
      else
        Add(run, {.placed_by = now, .confirmed = true}, now);
    }
  }
}

StartHistory PlacementHistory::StartsOf(const RunKey& run,
                                        base::Instant now) const {
  const auto found = entries_.find(run);
  const bool known = found != entries_.end();
  const base::Instant placed_by =
      known ? found->second.placed_by
            : std::max(unknown_before_, now - kRetention);
  const bool confirmed = known && found->second.confirmed;
  return {.sent = 1,
          .has_unknown = !confirmed,
          .confirmed = confirmed,
          .last_sent_at = std::min(now, placed_by + kStartWindow)};
}

void PlacementHistory::Add(const RunKey& run,
                           const Entry& entry,
                           base::Instant now) {
  entries_.insert_or_assign(run, entry);
  order_.emplace_back(now, run);
}

void PlacementHistory::DropOldEntries(base::Instant now) {
  while (!order_.empty() && now - order_.front().first > kRetention) {
    const auto oldest = entries_.find(order_.front().second);
    // A later placement under the same number has an entry of its own.
    if (oldest != entries_.end() &&
        oldest->second.placed_by <= order_.front().first) {
      entries_.erase(oldest);
    }
    order_.pop_front();
  }
}

}  // namespace wigeonstair::jobs
