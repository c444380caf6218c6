#include "routing/remote_load.h"

#include <algorithm>

namespace wigeonstair::routing {

namespace {

// Fixed-point units of the window per request.
constexpr std::int32_t kPartsPerRequest = 1024;

}  // namespace

RemoteLoad::RemoteLoad() : window_parts_(kInitialWindow * kPartsPerRequest) {}

std::int32_t RemoteLoad::window() const {
  return window_parts_.load(std::memory_order_relaxed) / kPartsPerRequest;
}

bool RemoteLoad::IsBackingOff(base::Instant now) const {
  return now.time_since_epoch().count() <
         backoff_until_microseconds_.load(std::memory_order_relaxed);
}

bool RemoteLoad::Reserve(base::Instant now) {
  if (IsBackingOff(now))
    return false;
  if (in_flight_.fetch_add(1, std::memory_order_acq_rel) < window())
    return true;
  Release();
  return false;
}

void RemoteLoad::RecordServed() {
  const std::int32_t in_use = in_flight_.fetch_sub(1);
  // The window grows only while at least half of it is in use; otherwise an
  // answer does not show that the domain could take more requests.
  if (in_use * 2 < window())
    return;
  const std::int32_t parts = window_parts_.load(std::memory_order_relaxed);
  // Not atomic as a whole: an update lost to a concurrent answer only slows the
  // growth.
  window_parts_.store(
      std::min(kMaximumWindow * kPartsPerRequest,
               parts + kPartsPerRequest / std::max(1, window())),
      std::memory_order_relaxed);
}

void RemoteLoad::RecordRefused(base::Instant now) {
  Release();
  // All refusals of one burst shrink the window only once.
  if (IsBackingOff(now))
    return;
  backoff_until_microseconds_.store(
      (now + kRefusalBackoff).time_since_epoch().count(),
      std::memory_order_relaxed);
  const std::int32_t parts = window_parts_.load(std::memory_order_relaxed);
  window_parts_.store(std::max(kPartsPerRequest, parts / 4 * 3),
                      std::memory_order_relaxed);
}

}  // namespace wigeonstair::routing
