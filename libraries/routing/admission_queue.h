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

// Faults that tests inject to prove that a check detects them. For tests only.
enum class QueueFault : std::uint8_t {
  kNone,
  kNoFairness,  // A full queue sheds from the customer of the new request.
  kNoShedding,  // Requests that cannot meet their deadline stay queued.
  kIgnoreWeights,
  kCreditIdleCustomers,  // Idle customers accumulate unused turns.
};

struct AdmissionQueueOptions {
  std::size_t maximum_length = 1024;
  QueueFault fault = QueueFault::kNone;
};

// A request that waits for a slot. The caller chooses the ticket, which
// identifies the request in the queue.
struct WaitingRequest {
  std::uint64_t ticket = 0;
  base::CustomerId customer;
  int weight = 1;
  base::Instant deadline{};
  SpillPermission spill = SpillPermission::kAllowed;
};

// Which waiting requests Pop() considers: all of them, or only those that may
// be forwarded to another failure domain.
enum class PopFrom : std::uint8_t { kAll, kMaySpill };

// A request that was removed from the queue without being served.
struct ShedRequest {
  std::uint64_t ticket = 0;
  ReasonCode reason = ReasonCode::kQueueFull;

  bool operator==(const ShedRequest&) const = default;
};

// Requests of one service that wait for a slot: weighted fair queueing between
// customers, earliest deadline first within a customer. Deterministic, without
// I/O or clock access; not thread-safe.
//
// A request that is unlikely to finish before its deadline at the observed
// service times is shed, so that no slot is spent on an answer that arrives too
// late. The estimate adds a multiple of the deviation to the mean: under
// overload, requests are dequeued just before they would be shed, and with the
// mean alone many of them would miss their deadline.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionQueueOptions options = {})
      : options_(options) {}

  // Adds a request and returns the requests shed as a result, which may include
  // the new one. A full queue sheds the request with the latest deadline of the
  // customer with the most queued requests relative to its weight.
  std::vector<ShedRequest> Push(const WaitingRequest& waiting,
                                base::Instant now);

  // Removes and returns the next request that can still meet its deadline.
  // Appends the requests that cannot to `shed`.
  std::optional<std::uint64_t> Pop(base::Instant now,
                                   std::vector<ShedRequest>& shed,
                                   PopFrom from = PopFrom::kAll);

  // Removes and returns the requests that can no longer meet their deadline.
  std::vector<ShedRequest> Expire(base::Instant now);
  // Removes and returns the requests that may not be forwarded to another
  // failure domain.
  std::vector<ShedRequest> RemoveNonSpillable(ReasonCode reason);
  // Removes a request whose caller disconnected; false when it is not queued.
  bool Remove(std::uint64_t ticket);

  // Records the time that one request took from Pop() to its answer.
  void RecordService(base::Duration service_time);

  std::size_t size() const { return size_; }
  // The time within which nearly every request is answered: the mean plus four
  // mean absolute deviations.
  base::Duration needed_time() const {
    constexpr int kDeviations = 4;
    return service_time_ + kDeviations * deviation_;
  }

 private:
  struct Entry {
    std::uint64_t ticket = 0;
    // Time until the deadline when the request was queued.
    base::Duration time_budget{};
    SpillPermission spill = SpillPermission::kAllowed;
  };
  using Entries = std::multimap<base::Instant, Entry>;
  struct Customer {
    int weight = 1;
    // Virtual time at which the next request of the customer is due; advances
    // by 1 / weight per request.
    double virtual_start = 0;
    Entries by_deadline;
  };
  using Customers = std::map<base::CustomerId, Customer>;

  bool CanMeetDeadline(base::Instant deadline,
                       base::Duration time_budget,
                       base::Instant now) const;
  static Entries::iterator FirstEligible(Entries& entries, PopFrom from);
  Customers::iterator LargestRelativeBacklog();
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
