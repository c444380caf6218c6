#ifndef WIGEONSTAIR_LIBRARIES_JOBS_ACTIONS_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_ACTIONS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/command.h"

namespace wigeonstair::jobs {

// One start of a task.
struct RunKey {
  TaskRef task;
  std::uint32_t attempt = 0;

  auto operator<=>(const RunKey&) const = default;
};

// Calls to workers and commands for the log that a Dispatcher asks for. Times
// of workers are milliseconds on the worker's own clock.

struct StartAction {
  RunKey run;
  WorkerIncarnation worker;
  std::string address;
  std::string payload;
  std::string checkpoint;
  std::uint64_t lease_until_ms = 0;
  std::uint64_t fencing_token = 0;

  bool operator==(const StartAction&) const = default;
};

struct StopAction {
  RunKey run;
  WorkerIncarnation worker;
  std::string address;
  std::uint64_t fencing_token = 0;

  bool operator==(const StopAction&) const = default;
};

// Renews the lease of everything on a worker and asks what runs there and what
// has ended.
struct HoldAction {
  WorkerIncarnation worker;
  std::string address;
  // Empty when the worker's clock is not known yet.
  std::optional<std::uint64_t> lease_until_ms;
  std::uint64_t fencing_token = 0;
  // Ends up to this number are durable, and the worker may forget them.
  std::uint64_t acknowledged_end = 0;
  // How long the answer may wait for an end.
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
  // It saw a higher fencing token.
  kFenced,
  // The attempt is not above one that was stopped or ended there.
  kStaleAttempt,
  // The lease of the start had run out.
  kStartExpired,
  kNoCapacity,
  // The worker is unhealthy and did nothing.
  kUnhealthy,
  // Refused for good: the call is wrong or the life of the worker is over.
  kRefused,
  // Nothing reached the worker.
  kNotSent,
  // It may have been carried out, or may be later.
  kUnanswered,
};

struct CallAnswer {
  CallResult result = CallResult::kUnanswered;
  // The worker's clock; empty without an answer.
  std::optional<std::uint64_t> clock_ms;
};

// A run that a worker lists.
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
  // Its lease ran out.
  kLeaseExpired,
  // Another member of its gang ended.
  kGangBroken,
  // The other members of its gang did not come in time.
  kGangIncomplete,
};

struct ListedEnd {
  // Rises by one in each life of a worker.
  std::uint64_t number = 0;
  RunKey run;
  ListedOutcome outcome = ListedOutcome::kStopped;
  std::string checkpoint;

  bool operator==(const ListedEnd&) const = default;
};

// The answer to a HoldAction.
struct HoldAnswer {
  // Empty when the worker did not answer.
  struct Lists {
    std::uint64_t born = 0;
    std::uint64_t clock_ms = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    // Rows of either list that could not be read and were left out.
    std::size_t malformed_rows = 0;
  };
  std::optional<Lists> lists;
  bool fenced = false;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_ACTIONS_H_
