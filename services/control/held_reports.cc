#include "services/control/held_reports.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace wigeonstair::control {

void HeldReports::Deliver(std::vector<Delivery> deliveries) {
  for (Delivery& delivery : deliveries)
    delivery.done(std::move(delivery.outcome));
}

void HeldReports::Hold(const base::WorkerId& worker,
                       base::Instant until,
                       StartPermission permission,
                       ReportDone done) {
  held_[worker] = {
      .until = until, .permission = permission, .done = std::move(done)};
}

bool HeldReports::ChangePermission(const base::WorkerId& worker,
                                   StartPermission permission) {
  const auto held = held_.find(worker);
  return held != held_.end() &&
         std::exchange(held->second.permission, permission) != permission;
}

HeldReports::Due HeldReports::FindDue(StartPermission permission,
                                      base::Instant now) {
  Due due;
  for (auto& [worker, held] : held_) {
    const bool changed =
        std::exchange(held.permission, permission) != permission;
    if (now >= held.until)
      due.over.push_back(worker);
    else if (changed)
      due.changed.push_back(worker);
  }
  return due;
}

void HeldReports::Answer(ReportDone done, ReportOutcome outcome) {
  deliveries_.push_back(
      {.done = std::move(done), .outcome = std::move(outcome)});
}

void HeldReports::Release(const base::WorkerId& worker, ReportOutcome outcome) {
  auto held = held_.extract(worker);
  if (!held.empty())
    Answer(std::move(held.mapped().done), std::move(outcome));
}

void HeldReports::ReleaseAll(const ReportOutcome& outcome) {
  for (auto& [worker, held] : std::exchange(held_, {}))
    Answer(std::move(held.done), outcome);
}

void HeldReports::StopHolding(base::Instant now) {
  holding_ = false;
  for (auto& [worker, held] : held_)
    held.until = now;
}

std::vector<HeldReports::Delivery> HeldReports::TakeDeliveries() {
  return std::exchange(deliveries_, {});
}

base::Instant HoldUntil(const base::WorkerId& worker,
                        base::Duration wait,
                        base::Duration interval,
                        base::Instant now) {
  const auto offset = static_cast<base::Duration::rep>(
      std::hash<std::string>()(worker.value()) %
      static_cast<std::size_t>(interval.count()));
  const base::Duration turns = now.time_since_epoch() + interval;
  const base::Duration since = (turns - base::Duration(offset)) % interval;
  return std::min(now + wait, now + interval - since);
}

}  // namespace wigeonstair::control
