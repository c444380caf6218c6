#include "jobs/placement_history.h"

#include <algorithm>
#include <variant>

namespace wigeonstair::jobs {

namespace {

// How long an entry is kept. Starts of older placements cannot be carried out
// any more, whether they were confirmed or not.
constexpr base::Duration kRetention = std::chrono::seconds(20);
static_assert(kRetention > kStartWindow + kLateCallLimit);

}  // namespace

void PlacementHistory::Reset(base::Instant now) {
  entries_.clear();
  order_.clear();
  unstamped_.clear();
  unknown_before_ = now;
}

void PlacementHistory::Record(const Command& command, base::Instant now) {
  DropOldEntries(now);
  if (const auto* placed = std::get_if<PlaceTasks>(&command)) {
    for (const Placement& placement : placed->placements) {
      Add({.task = placement.task, .attempt = placement.attempt},
          {.placed_by = now}, now);
      unstamped_.push_back(
          {.task = placement.task, .attempt = placement.attempt});
    }
  } else if (const auto* confirmed = std::get_if<ConfirmStarts>(&command)) {
    AdvanceLogTime(*confirmed, now);
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
  base::Instant placed_by = known ? found->second.placed_by
                                  : std::max(unknown_before_, now - kRetention);
  if (known && found->second.log_time) {
    placed_by = std::min(
        placed_by, stamp_.seen_at - (log_time_ - *found->second.log_time));
  }
  const bool confirmed = known && found->second.confirmed;
  return {.sent = 1,
          .has_unknown = !confirmed,
          .confirmed = confirmed,
          .last_sent_at = std::min(now, placed_by + kStartWindow)};
}

void PlacementHistory::AdvanceLogTime(const ConfirmStarts& command,
                                      base::Instant now) {
  if (command.term == stamp_.term && command.leader_ms > stamp_.leader_ms) {
    log_time_ +=
        std::chrono::milliseconds(command.leader_ms - stamp_.leader_ms);
  }
  stamp_ = {
      .term = command.term, .leader_ms = command.leader_ms, .seen_at = now};
  for (const RunKey& run : unstamped_) {
    const auto entry = entries_.find(run);
    if (entry != entries_.end())
      entry->second.log_time = log_time_;
  }
  unstamped_.clear();
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
  // Leaders of versions without ConfirmStarts write no stamps.
  if (unstamped_.size() > entries_.size()) {
    std::erase_if(unstamped_,
                  [&](const RunKey& run) { return !entries_.contains(run); });
  }
}

}  // namespace wigeonstair::jobs
