#ifndef WIGEONSTAIR_SERVICES_CONTROL_HELD_REPORTS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_HELD_REPORTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <variant>
#include <vector>

#include "authority/report_schedule.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "services/control/worker_protocol.h"
#include "services/control/worker_table.h"

namespace wigeonstair::control {

// Why a worker gets no answer.
struct NotAuthority {};
struct MustRegister {};
struct StaleIncarnation {};

using ReportOutcome = std::variant<ReportAnswer, NotAuthority, MustRegister>;
// Called once, without a lock held; maybe before the report is taken in.
using ReportDone = std::function<void(ReportOutcome)>;

// Reports whose answer waits for a directive, at most one for each worker, and
// the answers that are ready to be sent. Not thread-safe; the owner sends
// TakeDeliveries() once it has released its lock.
class HeldReports {
 public:
  struct Delivery {
    ReportDone done;
    ReportOutcome outcome;
  };

  // Holds at most `limit` reports.
  explicit HeldReports(std::size_t limit) : limit_(limit) {}

  static void Deliver(std::vector<Delivery> deliveries);

  // False when the bound is reached, and after StopHolding().
  bool HasRoom() const { return holding_ && held_.size() < limit_; }
  bool contains(const base::WorkerId& worker) const {
    return held_.contains(worker);
  }
  bool empty() const { return held_.empty(); }

  // `permission` is the one with which there was nothing to tell.
  void Hold(const base::WorkerId& worker,
            base::Instant until,
            StartPermission permission,
            ReportDone done);
  // Notes the permission that is in force now; true when it is another one.
  bool ChangePermission(const base::WorkerId& worker,
                        StartPermission permission);
  // Workers whose time is over at `now`, and those whose permission changes to
  // `permission`.
  struct Due {
    std::vector<base::WorkerId> over;
    std::vector<base::WorkerId> changed;
  };
  Due FindDue(StartPermission permission, base::Instant now);

  // Makes an answer ready.
  void Answer(ReportDone done, ReportOutcome outcome);
  // Ends the hold of a worker, if there is one, with this answer.
  void Release(const base::WorkerId& worker, ReportOutcome outcome);
  void ReleaseAll(const ReportOutcome& outcome);
  // All held reports are due at `now`, and no other one is held.
  void StopHolding(base::Instant now);

  std::vector<Delivery> TakeDeliveries();

 private:
  struct Held {
    base::Instant until{};
    StartPermission permission = StartPermission::kDenied;
    ReportDone done;
  };

  std::size_t limit_;
  bool holding_ = true;
  std::map<base::WorkerId, Held> held_;
  std::vector<Delivery> deliveries_;
};

// Until when a report that may wait for `wait` is held. Each worker has its
// moment in every interval of the schedule, so that the regular reports of a
// domain are spread over it.
base::Instant HoldUntil(const base::WorkerId& worker,
                        base::Duration wait,
                        base::Duration interval,
                        base::Instant now);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_HELD_REPORTS_H_
