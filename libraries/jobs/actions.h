#ifndef WIGEONSTAIR_LIBRARIES_JOBS_ACTIONS_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_ACTIONS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "jobs/command.h"

namespace wigeonstair::jobs {

// Calls to workers and proposals for the replicated log that a Dispatcher
// requests. Times of workers are in milliseconds of the worker's own clock.
// `term` is that of the leader that decided. A worker refuses calls with a
// lower fencing token than it has seen.

struct StartAction {
  RunKey run;
  WorkerIncarnation worker;
  std::string address;
  std::string payload;
  std::string checkpoint;
  std::uint64_t lease_until_ms = 0;
  std::uint64_t term = 0;
  std::uint64_t fencing_token = 0;
  // The call must not be sent later, on this host's clock.
  base::Instant send_by;

  bool operator==(const StartAction&) const = default;
};

struct StopAction {
  RunKey run;
  WorkerIncarnation worker;
  std::string address;
  std::uint64_t term = 0;
  std::uint64_t fencing_token = 0;

  bool operator==(const StopAction&) const = default;
};

// Renews the lease of all runs on a worker and requests the lists of its active
// and ended runs.
struct HoldAction {
  WorkerIncarnation worker;
  std::string address;
  // Empty while the worker's clock is unknown; the lease is then not renewed.
  std::optional<std::uint64_t> lease_until_ms;
  std::uint64_t term = 0;
  std::uint64_t fencing_token = 0;
  // Ends up to this number are committed; the worker may drop them from its
  // list. Must not reach another incarnation, which numbers its ends anew.
  std::uint64_t acknowledged_end = 0;
  // Long poll: the worker may delay the answer this long until a run ends.
  std::uint32_t wait_ms = 0;

  bool operator==(const HoldAction&) const = default;
};

struct ProposeAction {
  std::uint64_t id = 0;
  Command command;
};

using Action = std::variant<StartAction, StopAction, HoldAction, ProposeAction>;

// How a worker answered a start or a stop.
enum class CallResult : std::uint8_t {
  kAccepted,
  // The worker has seen a higher fencing token.
  kFenced,
  // A run of the task with this or a higher attempt number was stopped or has
  // ended on the worker.
  kStaleAttempt,
  // The lease in the start call had expired when the call arrived.
  kStartExpired,
  kNoCapacity,
  // The worker reports that it is unhealthy; the call had no effect.
  kUnhealthy,
  // Permanent refusal: the call is invalid or addresses an earlier incarnation
  // of the worker.
  kRefused,
  // No byte of the call reached the worker.
  kNotSent,
  // No answer; the call may have been executed or may still be.
  kUnanswered,
};

struct CallAnswer {
  CallResult result = CallResult::kUnanswered;
  // The worker's clock at the answer; empty without an answer.
  std::optional<std::uint64_t> clock_ms;
  // The call was sent twice, or may have been. The worker may execute either
  // copy later.
  bool may_be_repeated = false;
};

// An active run in the list of a worker.
struct ListedRun {
  RunKey run;
  std::string checkpoint;
  std::uint32_t percent = 0;

  bool operator==(const ListedRun&) const = default;
};

enum class ListedOutcome : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  // The lease of the run expired.
  kLeaseExpired,
  // Another member of the gang ended before the gang was done.
  kGangBroken,
  // The other members of the gang did not start within the gang wait.
  kGangIncomplete,
};

struct ListedEnd {
  // Increases by one with each end within an incarnation of the worker.
  std::uint64_t number = 0;
  RunKey run;
  ListedOutcome outcome = ListedOutcome::kStopped;
  std::string checkpoint;

  bool operator==(const ListedEnd&) const = default;
};

// The answer to a HoldAction.
struct HoldAnswer {
  // The incarnation of the worker that answered, and its runs.
  struct Lists {
    std::uint64_t born = 0;
    std::uint64_t clock_ms = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    // Rows of either list that could not be decoded and were skipped.
    std::size_t malformed_rows = 0;
    // The worker has more ends than one answer holds; the next answer has more.
    bool has_more_ends = false;
  };
  std::optional<Lists> lists;
  bool fenced = false;
  // What the call acknowledged; less than requested when the worker may have
  // restarted since its last answer.
  std::uint64_t acknowledged_end = 0;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_ACTIONS_H_
