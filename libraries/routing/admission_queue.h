#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_ADMISSION_QUEUE_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "routing/outcome.h"
#include "routing/spill_permission.h"

namespace wigeonstair::routing {

// Faults planted by tests to show that a check detects them. For tests only.
enum class QueueFault : std::uint8_t {
  kNone,
  kNoFairness,  // One customer may fill the queue.
  kNoShedding,  // Requests that cannot meet their deadline stay.
  kIgnoreWeights,
  kSaveTurns,  // An idle customer catches up on the turns it did not use.
};

struct AdmissionQueueOptions {
  std::size_t maximum_length = 1024;
  QueueFault fault = QueueFault::kNone;
};

// A request that waits for a slot. The ticket is the caller's name for it.
struct WaitingRequest {
  std::uint64_t ticket = 0;
  base::CustomerId customer;
  int weight = 1;
  base::Instant deadline{};
  SpillPermission spill = SpillPermission::kAllowed;
};

// Which waiting requests Pop() considers.
enum class PopFrom : std::uint8_t { kAll, kMaySpill };

struct ShedRequest {
  std::uint64_t ticket = 0;
  ReasonCode reason = ReasonCode::kQueueFull;

  bool operator==(const ShedRequest&) const = default;
};

// Requests of one service that wait for a slot. Pure; one thread at a time.
//
// Customers get turns in proportion to their weights; within a customer the
// earliest deadline goes first. A request that is not likely to finish before
// its deadline at the observed service times is shed, so that no slot is spent
// on an answer that nobody waits for. The mean alone would be too little: under
// overload requests get their turn just before they are shed, and a good part
// of them would then miss the deadline.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {})
      : options_(options) {}

  // Requests that lost their place, which may include the new one. A full
  // queue sheds the latest deadline of the customer that holds the most
  // relative to its weight.
  std::vector<ShedRequest> Push(const WaitingRequest& waiting,
                                base::Instant now);

  // The next request that can still meet its deadline. Adds those that cannot
  // to `shed`.
  std::optional<std::uint64_t> Pop(base::Instant now,
                                   std::vector<ShedRequest>& shed,
                                   PopFrom from = PopFrom::kAll);

  // Removes what can no longer meet its deadline.
  std::vector<ShedRequest> Expire(base::Instant now);
  // Removes those that may not go to another domain.
  std::vector<ShedRequest> RemoveNonSpillable(ReasonCode reason);
  // Removes a request whose caller went away; false when it is not waiting.
  bool Remove(std::uint64_t ticket);

  // Teaches the queue how long one request takes from Pop to its answer.
  void RecordService(base::Duration service_time);

  std::size_t size() const { return size_; }
  // The time within which nearly every request is answered.
  base::Duration needed_time() const {
    constexpr int kDeviations = 4;
    return service_time_ + kDeviations * deviation_;
  }

 private:
  struct Entry {
    std::uint64_t ticket = 0;
    // Time that was left when it began to wait.
    base::Duration patience{};
    SpillPermission spill = SpillPermission::kAllowed;
  };
  using Entries = std::multimap<base::Instant, Entry>;
  struct Customer {
    int weight = 1;
    // Virtual time of its next turn.
    double turn = 0;
    Entries by_deadline;
  };
  using Customers = std::map<base::CustomerId, Customer>;

  bool CanFinish(base::Instant deadline,
                 base::Duration patience,
                 base::Instant now) const;
  static Entries::iterator First(Entries& entries, PopFrom from);
  Customers::iterator MostOverShare();
  ShedRequest ShedLatest(Customers::iterator customer);

  AdmissionQueueOptions options_;
  Customers customers_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  base::Duration service_time_{};
  // Mean absolute deviation of the service time.
  base::Duration deviation_{};
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_ADMISSION_QUEUE_H_
