#include "jobs/run_existence.h"

#include <algorithm>

namespace wigeonstair::jobs {

namespace {

// A worker's clock may run 2% slow, so its leases last that much longer on this
// host's clock.
constexpr double kClockDriftFactor = 1.021;
// Covers the time between a worker's reading of its clock and the arrival of
// the answer.
constexpr base::Duration kClockSlack = std::chrono::milliseconds(100);

struct AbsenceVisitor {
  const StartHistory& starts;
  base::Duration longest_lease;
  base::Instant now;

  std::optional<AbsenceProof> operator()(const RecordedWorker& worker) const {
    if (HasExpired(worker.lease_bound))
      return AbsenceProof::kLeaseExpired;
    return std::nullopt;
  }

  std::optional<AbsenceProof> operator()(const RestartedWorker&) const {
    if (!starts.MayBeCarriedOut())
      return AbsenceProof::kWorkerEnded;
    if (now > LateStartBound(starts.last_sent_at, longest_lease))
      return AbsenceProof::kLeaseExpired;
    return std::nullopt;
  }

  std::optional<AbsenceProof> operator()(const RemovedWorker& worker) const {
    return HasExpired(worker.lease_bound)
               ? std::optional(AbsenceProof::kWorkerEnded)
               : std::nullopt;
  }

  std::optional<AbsenceProof> operator()(const EndedWorker&) const {
    return AbsenceProof::kWorkerEnded;
  }

  // A silent worker may have restarted, so its leases bound only runs that
  // began before.
  bool HasExpired(base::Instant lease_bound) const {
    return now > lease_bound &&
           (!starts.MayBeCarriedOut() ||
            now > LateStartBound(starts.last_sent_at, longest_lease));
  }
};

}  // namespace

std::string_view NameOf(AbsenceProof proof) {
  switch (proof) {
    case AbsenceProof::kNeverSent:
      return "not_started";
    case AbsenceProof::kWorkerEnded:
      return "worker_gone";
    case AbsenceProof::kLeaseExpired:
      return "lease_expired";
  }
  return "unknown";
}

std::optional<AbsenceProof> ProveAbsence(const StartHistory& starts,
                                         const WorkerOfRun& worker,
                                         base::Duration longest_lease,
                                         base::Instant now) {
  if (starts.sent == 0)
    return AbsenceProof::kNeverSent;
  return std::visit(AbsenceVisitor{starts, longest_lease, now}, worker);
}

bool RefusalProvesAbsence(const StartHistory& starts) {
  return starts.IsSingle() && !starts.has_unknown;
}

bool ListShowsAbsence(const ListWithoutRun& list,
                      base::Duration longest_lease) {
  if (list.has_more_ends || !list.settled_at)
    return false;
  const base::Duration patience =
      list.has_malformed_rows ? longest_lease : base::Duration{};
  return *list.settled_at + patience < list.requested_at;
}

bool ListProvesAbsence(const ListWithoutRun& list,
                       base::Duration longest_lease) {
  return ListShowsAbsence(list, longest_lease) &&
         !list.starts.MayBeCarriedOutAfter(list.requested_at);
}

base::Instant LeaseBound(base::Instant granted_at, base::Duration lease) {
  return granted_at + kClockSlack +
         std::chrono::duration_cast<base::Duration>(lease * kClockDriftFactor);
}

base::Instant LateStartBound(base::Instant sent_at,
                             base::Duration longest_lease) {
  return LeaseBound(sent_at + kLateCallLimit, longest_lease);
}

}  // namespace wigeonstair::jobs
