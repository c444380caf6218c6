#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "routing/remote_load.h"
#include "routing/upstream.h"

namespace wigeonstair::routing {

class ServiceGate;

// The mutable state of an upstream, shared by successive snapshots and held by
// requests in progress. Has its own cache line, because several threads write
// it.
struct alignas(64) UpstreamLoad {
  // Requests that this host has in progress on the upstream.
  std::atomic<std::int32_t> in_progress{0};
  // Failures since the last answer.
  std::atomic<std::int32_t> consecutive_failures{0};
  // Answer time, smoothed when it falls; 0 before the first answer.
  std::atomic<std::int64_t> latency_microseconds{0};
  // Answers and failures that the HealthTracker has not evaluated yet.
  std::atomic<std::uint32_t> answers{0};
  std::atomic<std::uint32_t> failures{0};
  // Number and total time of the answers that the HealthTracker has not
  // collected yet.
  std::atomic<std::uint32_t> timed_answers{0};
  std::atomic<std::int64_t> timed_microseconds{0};

  // Reserves one of `limit` slots; false when all are in use.
  bool Reserve(std::int32_t limit);
  void Release() { in_progress.fetch_sub(1, std::memory_order_acq_rel); }
  void RecordAnswer(base::Duration latency);
  void RecordFailure();
};

enum class HealthState : std::uint8_t {
  kHealthy,
  kSlowStart,  // New or returned; its limit grows.
  kEjected,    // Failing or slow; gets no requests for some time.
};

struct UpstreamEntry {
  Announcement announcement;
  HealthState health = HealthState::kHealthy;
  // Slots that this host may use on the upstream; reduced during slow start.
  std::int32_t limit = 0;
  // Greater than 0, up to 1; below 1 during slow start.
  double weight = 1.0;
  std::shared_ptr<UpstreamLoad> load;
};

// Another failure domain that can serve a service through its entry hosts.
struct RemoteDomain {
  base::DomainId domain;
  // "ip:port" of the entry hosts of that domain.
  std::vector<std::string> entry_hosts;
  std::shared_ptr<RemoteLoad> load = std::make_shared<RemoteLoad>();
};

struct ServiceEntry {
  // Upstreams in the domain of this host.
  std::vector<UpstreamEntry> upstreams;
  std::vector<RemoteDomain> remotes;
  // Shared by successive snapshots and held by requests in progress.
  std::shared_ptr<ServiceGate> gate;
};

struct CustomerLoad {
  std::atomic<std::int32_t> in_progress{0};
};

struct CustomerEntry {
  int weight = 1;
  std::int32_t limit = 0;
  std::shared_ptr<CustomerLoad> load;
};

// Allows lookups by std::string_view without a copy.
struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const noexcept {
    return std::hash<std::string_view>()(text);
  }
};

enum class DomainService : std::uint8_t { kIn, kOut };

// The routing state that requests read. Immutable, apart from the shared loads
// and gates; replaced as a whole.
struct Snapshot {
  std::uint64_t version = 0;
  base::DomainId own_domain;
  // Whether operators have taken this domain out of service.
  DomainService own_domain_service = DomainService::kIn;
  std::unordered_map<std::string, ServiceEntry, TextHash, std::equal_to<>>
      services;
  std::unordered_map<std::string, CustomerEntry, TextHash, std::equal_to<>>
      customers;
  // Configuration revision of the customers. 0 when none was received yet;
  // every customer is then served with default limits.
  std::uint64_t revision = 0;

  // Whether the own domain is in service and has an upstream of the service.
  bool OwnDomainServes(std::string_view service) const;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_H_
