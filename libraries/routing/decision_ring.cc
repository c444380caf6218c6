#include "routing/decision_ring.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace wigeonstair::routing {

DecisionRing::DecisionRing(std::size_t capacity)
    : slots_(std::max<std::size_t>(1, capacity)) {}

void DecisionRing::Add(std::unique_ptr<const RequestTrace> trace) {
  Slot& slot =
      slots_[next_.fetch_add(1, std::memory_order_relaxed) % slots_.size()];
  if (slot.locked.test_and_set(std::memory_order_acquire)) {
    skipped_.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  slot.trace.swap(trace);
  slot.locked.clear(std::memory_order_release);
}

std::optional<RequestTrace> DecisionRing::Find(const std::string& id) const {
  for (Slot& slot : slots_) {
    while (slot.locked.test_and_set(std::memory_order_acquire))
      std::this_thread::yield();
    std::optional<RequestTrace> copy;
    if (slot.trace != nullptr && slot.trace->id == id)
      copy = *slot.trace;
    slot.locked.clear(std::memory_order_release);
    if (copy)
      return copy;
  }
  return std::nullopt;
}

}  // namespace wigeonstair::routing
