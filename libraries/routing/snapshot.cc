#include "routing/snapshot.h"

namespace wigeonstair::routing {

bool UpstreamLoad::Reserve(std::int32_t limit) {
  std::int32_t current = in_progress.load(std::memory_order_relaxed);
  while (current < limit) {
    if (in_progress.compare_exchange_weak(current, current + 1,
                                          std::memory_order_acq_rel))
      return true;
  }
  return false;
}

void UpstreamLoad::RecordAnswer(base::Duration latency) {
  // A slower answer replaces the value; faster ones lower it over about five
  // answers. So an upstream that became slow is avoided quickly.
  constexpr std::int64_t kSmoothingDivisor = 5;
  const std::int64_t sample = latency.count() > 0 ? latency.count() : 1;
  const std::int64_t before =
      latency_microseconds.load(std::memory_order_relaxed);
  const std::int64_t after =
      before == 0 || sample > before
          ? sample
          : before - (before - sample) / kSmoothingDivisor;
  // Not atomic as a whole: an update lost to a concurrent answer only drops one
  // sample.
  latency_microseconds.store(after, std::memory_order_relaxed);
  consecutive_failures.store(0, std::memory_order_relaxed);
  answers.fetch_add(1, std::memory_order_relaxed);
  timed_microseconds.fetch_add(sample, std::memory_order_relaxed);
  timed_answers.fetch_add(1, std::memory_order_relaxed);
}

bool Snapshot::OwnDomainServes(std::string_view service) const {
  const auto found = services.find(service);
  return own_domain_service == DomainService::kIn && found != services.end() &&
         !found->second.upstreams.empty();
}

void UpstreamLoad::RecordFailure() {
  consecutive_failures.fetch_add(1, std::memory_order_relaxed);
  failures.fetch_add(1, std::memory_order_relaxed);
}

}  // namespace wigeonstair::routing
