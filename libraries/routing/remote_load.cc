#include "routing/remote_load.h"

#include <algorithm>

namespace wigeonstair::routing {

namespace {

constexpr std::int32_t kPartsPerRequest = 1024;

}  // namespace

RemoteLoad::RemoteLoad() : window_parts_(kInitialWindow * kPartsPerRequest) {}

std::int32_t RemoteLoad::window() const {
  return window_parts_.load(std::memory_order_relaxed) / kPartsPerRequest;
}

bool RemoteLoad::IsPaused(base::Instant now) const {
  return now.time_since_epoch().count() <
         paused_until_microseconds_.load(std::memory_order_relaxed);
}

bool RemoteLoad::Reserve(base::Instant now) {
  if (IsPaused(now))
    return false;
  if (in_flight_.fetch_add(1, std::memory_order_acq_rel) < window())
    return true;
  Release();
  return false;
}

void RemoteLoad::RecordServed() {
  const std::int32_t in_use = in_flight_.fetch_sub(1);
  // A window that is not used says nothing about more requests.
  if (in_use * 2 < window())
    return;
  const std::int32_t parts = window_parts_.load(std::memory_order_relaxed);
  // A lost update among concurrent answers only slows the growth.
  window_parts_.store(
      std::min(kMaximumWindow * kPartsPerRequest,
               parts + kPartsPerRequest / std::max(1, window())),
      std::memory_order_relaxed);
}

void RemoteLoad::RecordRefused(base::Instant now) {
  Release();
  // The refusals of one burst count once.
  if (IsPaused(now))
    return;
  paused_until_microseconds_.store(
      (now + kRefusalBackoff).time_since_epoch().count(),
      std::memory_order_relaxed);
  const std::int32_t parts = window_parts_.load(std::memory_order_relaxed);
  window_parts_.store(std::max(kPartsPerRequest, parts / 4 * 3),
                      std::memory_order_relaxed);
}

}  // namespace wigeonstair::routing
