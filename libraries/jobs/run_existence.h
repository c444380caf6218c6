#ifndef WIGEONSTAIR_LIBRARIES_JOBS_RUN_EXISTENCE_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_RUN_EXISTENCE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "base/monotonic_clock.h"

namespace wigeonstair::jobs {

// When a leader may conclude that an attempt to run a task neither exists nor
// can begin any more, so that the task may start elsewhere. Silence, a later
// incarnation of the worker and a missing row are no proof by themselves: a
// worker may carry out a start seconds after it arrived, and a restarted one
// has forgotten all fencing tokens, stops and ended runs. Pure functions; all
// times are on the monotonic clock of this host. That a gang broke elsewhere is
// no proof either: the worker of another member may be cut off and not know.

// A worker may carry out a call that it did not answer up to 12 s after its
// arrival, which comes within the timeout of the call.
inline constexpr base::Duration kLateCallLimit =
    std::chrono::milliseconds(12'500);

// No start call of a run is sent later than this after its placement was
// proposed.
inline constexpr base::Duration kStartWindow = std::chrono::seconds(5);

// The start calls of one attempt, as far as this leader knows them.
struct StartHistory {
  // Calls that may have reached the worker.
  int sent = 0;
  // Calls of these that were sent twice.
  int repeated = 0;
  // Calls of these without an outcome; each may still be repeated.
  int open = 0;
  // A former leader may have sent more.
  bool has_unknown = false;
  // The worker is known to have executed one, by its clock or a list.
  bool confirmed = false;
  // When the last one was sent at the latest.
  base::Instant last_sent_at;

  auto operator<=>(const StartHistory&) const = default;

  // Whether this leader sent exactly one copy.
  bool IsSingle() const { return sent == 1 && repeated == 0 && open == 0; }

  // One of several copies was refused, so it is not carried out any more.
  void RemoveRefusedCopy() { --(repeated > 0 ? repeated : sent); }

  // Whether a copy of the start may still be carried out. The only copy of an
  // executed start cannot be carried out again.
  bool MayBeCarriedOut() const {
    return sent > 0 && !(confirmed && IsSingle() && !has_unknown);
  }

  // The same at `now` and later, by whichever incarnation has the id of the
  // worker by then.
  bool MayBeCarriedOutAfter(base::Instant now) const {
    return MayBeCarriedOut() && now <= LastExecution();
  }

  // When the last copy is carried out at the latest.
  base::Instant LastExecution() const { return last_sent_at + kLateCallLimit; }
};

// The incarnation that the run was placed on is the recorded one.
struct RecordedWorker {
  // All leases that were granted to it have expired by then.
  base::Instant lease_bound;

  auto operator<=>(const RecordedWorker&) const = default;
};

// A later incarnation under the same id is recorded. Calls name the id, so it
// carries out those for the former one until it has seen a higher fencing
// token.
struct RestartedWorker {
  auto operator<=>(const RestartedWorker&) const = default;
};

// The worker was removed. It may not have received the acknowledgement of its
// deregistration, and then goes on.
struct RemovedWorker {
  base::Instant lease_bound;

  auto operator<=>(const RemovedWorker&) const = default;
};

// Another worker answered at its address, or its removal is long past.
struct EndedWorker {
  auto operator<=>(const EndedWorker&) const = default;
};

using WorkerOfRun =
    std::variant<RecordedWorker, RestartedWorker, RemovedWorker, EndedWorker>;

// What shows that a run neither exists nor can begin.
enum class AbsenceProof : std::uint8_t {
  kNeverSent,
  // The incarnation ended and nothing can carry out a start of the run.
  kWorkerEnded,
  // Every lease has expired, also that of a start that is carried out as late
  // as possible by an incarnation that was never reached.
  kLeaseExpired,
};

// The reason in the log.
std::string_view NameOf(AbsenceProof proof);

// Returns the proof that the run is absent, or empty while it may exist or
// begin. Covers what time and the state of the worker show; answers are judged
// by RefusalProvesAbsence and ListProvesAbsence. `longest_lease` is that of the
// workers, on their clocks.
std::optional<AbsenceProof> ProveAbsence(const StartHistory& starts,
                                         const WorkerOfRun& worker,
                                         base::Duration longest_lease,
                                         base::Instant now);

// Whether a refused start shows that the run does not exist: no other copy may
// be executed.
bool RefusalProvesAbsence(const StartHistory& starts);

// A list of active and ended runs that does not contain the run.
struct ListWithoutRun {
  base::Instant requested_at;
  StartHistory starts;
  // Since when the answers of the worker tell whether the run exists: it
  // accepted or refused the start or a stop, or saw the fencing token of this
  // leader. Empty while a call is open.
  std::optional<base::Instant> settled_at;
  // Some ends were left out of the list.
  bool has_more_ends = false;
  // Rows that could not be decoded; one of them may be that of the run.
  bool has_malformed_rows = false;

  auto operator<=>(const ListWithoutRun&) const = default;
};

// Whether the list shows that the run is absent on the incarnation that
// answered. A row that stays malformed must not hold the task for ever, so it
// counts for `longest_lease` only.
bool ListShowsAbsence(const ListWithoutRun& list, base::Duration longest_lease);

// Whether the run is also absent on every later incarnation: none can carry out
// a copy of its start any more.
bool ListProvesAbsence(const ListWithoutRun& list,
                       base::Duration longest_lease);

// When a lease on a worker's clock that began by `granted_at` has expired.
base::Instant LeaseBound(base::Instant granted_at, base::Duration lease);

// When a run has ended whose start was sent by `sent_at` and is carried out as
// late as possible.
base::Instant LateStartBound(base::Instant sent_at,
                             base::Duration longest_lease);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_RUN_EXISTENCE_H_
