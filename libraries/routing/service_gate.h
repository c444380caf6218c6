#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_SERVICE_GATE_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_SERVICE_GATE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "routing/admission_queue.h"
#include "routing/answer_times.h"
#include "routing/concurrency_limit.h"
#include "routing/outcome.h"

namespace wigeonstair::routing {

class RemoteLoad;
struct UpstreamLoad;

// An upstream with a slot reserved for the holder, who must release it through
// `load`. Does not depend on the snapshot from which it was chosen.
struct ReservedUpstream {
  base::UpstreamId id;
  std::string address;
  std::shared_ptr<UpstreamLoad> load;
};

// An entry host of another failure domain to which a waiting request is
// forwarded. A place in the window of `load` is reserved for the holder, who
// must release it.
struct ForwardTarget {
  // "ip:port".
  std::string address;
  std::shared_ptr<RemoteLoad> load;
};

// How the wait of a request ends: with a slot, with a target in another domain,
// or with the reason for its refusal.
using AdmissionResult =
    std::variant<ReservedUpstream, ForwardTarget, ReasonCode>;

struct ServiceGateOptions {
  AdmissionQueueOptions queue;
  ConcurrencyLimitOptions limit;
};

// Admission control for one service on one entry host: the concurrency limit
// and the queue of requests that wait for a slot. Thread-safe. The queue is
// protected by a mutex; callers check RequestsWait() first, so that no lock is
// taken while the queue is empty.
class ServiceGate {
 public:
  using ResumeCallback = std::function<void(AdmissionResult)>;
  // Reserves a slot on an upstream; returns nothing when none is free.
  using ReserveSlot = std::function<std::optional<ReservedUpstream>()>;
  // Reserves a place in another domain; returns nothing when none is free.
  using ReserveForwardTarget = std::function<std::optional<ForwardTarget>()>;

  explicit ServiceGate(ServiceGateOptions options = {});

  ConcurrencyLimit& limit() { return limit_; }
  AnswerTimes& answer_times() { return answer_times_; }
  bool RequestsWait() const {
    return waiting_.load(std::memory_order_acquire) > 0;
  }

  // Queues a request. `resume` is called once, on this or another thread; with
  // a forward target only if `spill` allows it. A request resumed with a slot
  // has entered the concurrency limit; one resumed with a forward target has
  // not, because the other domain applies its own limit.
  void Wait(const base::CustomerId& customer,
            int weight,
            base::Instant deadline,
            base::Instant now,
            ResumeCallback resume,
            SpillPermission spill = SpillPermission::kAllowed);

  // Sheds the waiting requests that cannot meet their deadline, then resumes
  // waiting requests while the limit and `reserve` provide slots. The rest is
  // forwarded as far as it may be and `forward` provides targets.
  void Pump(base::Instant now,
            const ReserveSlot& reserve,
            const ReserveForwardTarget& forward = nullptr);

  // Refuses the waiting requests that may not be forwarded to another domain.
  // Called when this domain no longer serves.
  void RefuseNonSpillable(ReasonCode reason);

  // Records the service time of an upstream. Dropped when another thread holds
  // the lock: it is called for every answer, and a sample of them is enough.
  void RecordService(base::Duration service_time);

 private:
  using DeferredCallbacks =
      std::vector<std::pair<ResumeCallback, AdmissionResult>>;

  // The following require the mutex. They move the callbacks to run to
  // `deferred`; the caller runs them after unlocking.
  void ShedAll(const std::vector<ShedRequest>& shed,
               DeferredCallbacks& deferred);
  ResumeCallback TakeCallback(std::uint64_t ticket);
  bool GrantNext(base::Instant now,
                 const ReserveSlot& reserve,
                 DeferredCallbacks& deferred);
  bool ForwardNext(base::Instant now,
                   const ReserveForwardTarget& forward,
                   DeferredCallbacks& deferred);

  ConcurrencyLimit limit_;
  AnswerTimes answer_times_;
  std::atomic<int> waiting_{0};
  std::mutex mutex_;
  AdmissionQueue queue_;
  std::uint64_t next_ticket_ = 0;
  std::unordered_map<std::uint64_t, ResumeCallback> callbacks_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SERVICE_GATE_H_
