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

// An upstream with one of its slots reserved for the holder, who releases it
// through `load`. Independent of the snapshot it was chosen from.
struct ReservedUpstream {
  base::UpstreamId id;
  std::string address;
  std::shared_ptr<UpstreamLoad> load;
};

// An entry host of another failure domain that a waiting request is sent to. A
// place in the window of `load` is reserved for the holder.
struct ForwardTarget {
  // "ip:port".
  std::string address;
  std::shared_ptr<RemoteLoad> load;
};

// What a waiting request gets: a slot, another domain, or the reason why it is
// refused.
using AdmissionResult =
    std::variant<ReservedUpstream, ForwardTarget, ReasonCode>;

struct ServiceGateOptions {
  AdmissionQueueOptions queue;
  ConcurrencyLimitOptions limit;
};

// Admission to one service on one entry host: the concurrency limit and the
// queue of requests that wait for a slot. Thread-safe. While nobody waits, a
// request passes without a lock; the queue itself is protected by a mutex.
class ServiceGate {
 public:
  using Resume = std::function<void(AdmissionResult)>;
  // Reserves a slot, or returns nothing when there is none.
  using Reserve = std::function<std::optional<ReservedUpstream>()>;
  // Names another domain that may have room, or returns nothing.
  using Forward = std::function<std::optional<ForwardTarget>()>;

  explicit ServiceGate(ServiceGateOptions options = {});

  ConcurrencyLimit& limit() { return limit_; }
  AnswerTimes& answer_times() { return answer_times_; }
  bool RequestsWait() const {
    return waiting_.load(std::memory_order_acquire) > 0;
  }

  // Puts a request into the queue; only one with `spill` allowed is given a
  // forward target. `resume` runs once, on this or another
  // thread. A turn with a slot has entered the concurrency limit; one with a
  // forward target has not, because the other domain has a limit of its own.
  void Wait(const base::CustomerId& customer,
            int weight,
            base::Instant deadline,
            base::Instant now,
            Resume resume,
            SpillPermission spill = SpillPermission::kAllowed);

  // Gives turns to waiting requests while the limit and `reserve` allow it,
  // and sheds those that cannot meet their deadline. Requests that get no slot
  // go where `forward` says.
  void Pump(base::Instant now,
            const Reserve& reserve,
            const Forward& forward = nullptr);

  // Refuses the waiting requests that may not go to another domain, because
  // this one serves no more.
  void RefuseNonSpillable(ReasonCode reason);

  // How long an upstream took. Skipped when the queue is in use by another
  // thread, because every answer calls it and a sample is enough.
  void RecordService(base::Duration service_time);

 private:
  using Resumed = std::vector<std::pair<Resume, AdmissionResult>>;

  // Both are called with the mutex held.
  void ShedAll(const std::vector<ShedRequest>& shed, Resumed& resumed);
  Resume Take(std::uint64_t ticket);
  bool GrantOne(base::Instant now, const Reserve& reserve, Resumed& resumed);
  bool ForwardOne(base::Instant now, const Forward& forward, Resumed& resumed);

  ConcurrencyLimit limit_;
  AnswerTimes answer_times_;
  std::atomic<int> waiting_{0};
  std::mutex mutex_;
  AdmissionQueue queue_;
  std::uint64_t next_ticket_ = 0;
  std::unordered_map<std::uint64_t, Resume> resumes_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SERVICE_GATE_H_
