#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_DECISION_RING_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_DECISION_RING_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonstair::routing {

// One routing decision as it is shown to operators. The strings are the same
// names that the log uses.
struct TracedDecision {
  // Milliseconds after the request arrived.
  std::int64_t after_milliseconds = 0;
  // "chosen", "refused", "retried", "queued", "claimed" or "finished".
  std::string step;
  std::string reason;
  // The upstream or entry host; empty when nothing was chosen.
  std::string target;
  struct Rejected {
    std::string upstream;
    std::string reason;

    bool operator==(const Rejected&) const = default;
  };
  std::vector<Rejected> rejected;

  bool operator==(const TracedDecision&) const = default;
};

struct RequestTrace {
  std::string id;
  std::string customer;
  std::string service;
  std::string outcome;
  std::vector<TracedDecision> decisions;

  bool operator==(const RequestTrace&) const = default;
};

// Ring buffer of the traces of the most recent requests. Add() never blocks: if
// its slot is locked by another thread, the trace is dropped and counted.
// Thread-safe.
class DecisionRing {
 public:
  explicit DecisionRing(std::size_t capacity);

  void Add(std::unique_ptr<const RequestTrace> trace);
  // A copy of the trace; nothing when the request is unknown or was
  // overwritten.
  std::optional<RequestTrace> Find(const std::string& id) const;

  std::uint64_t skipped() const {
    return skipped_.load(std::memory_order_relaxed);
  }

 private:
  struct Slot {
    std::atomic_flag locked;
    std::unique_ptr<const RequestTrace> trace;
  };

  mutable std::vector<Slot> slots_;
  std::atomic<std::uint64_t> next_{0};
  std::atomic<std::uint64_t> skipped_{0};
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_DECISION_RING_H_
