#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_UPSTREAM_REGISTRY_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_UPSTREAM_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "routing/upstream.h"

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class RegistryFault : std::uint8_t {
  kNone,
  kIgnoreLeave,
  kIgnoreMissedHeartbeats,
  kAcceptOlderIncarnation,
};

struct UpstreamRegistryOptions {
  base::HostId self;
  base::DomainId domain;
  // An upstream without a heartbeat for this long becomes suspect.
  base::Duration heartbeat_timeout = std::chrono::seconds(3);
  // A host that receives a heartbeat becomes the reporter of the upstream when
  // the last update of the present reporter is older than this.
  base::Duration takeover_age = std::chrono::milliseconds(1500);
  // When two ticks are further apart than this, the process was frozen, and the
  // missing heartbeats are no evidence of a failure.
  base::Duration freeze_limit = std::chrono::seconds(1);
  // An upstream that left or is suspect is removed after this time. It is kept
  // until then so that a delayed announcement cannot revive it.
  base::Duration removal_delay = std::chrono::seconds(60);
  std::size_t maximum_upstreams = 4096;
  RegistryFault fault = RegistryFault::kNone;
};

// The upstreams of one failure domain as known to one entry host: those that
// announced themselves to this host and those that other entry hosts reported.
// Deterministic, without I/O or clock access.
class UpstreamRegistry {
 public:
  struct Record {
    UpstreamUpdate update;
    // When the current state began.
    base::Instant state_since{};
    // When this host received the last announcement or heartbeat; the epoch
    // when it received none.
    base::Instant last_heartbeat{};
    // When `update` was created or received.
    base::Instant last_update{};
    // Set when the reporter is lost: the upstream becomes suspect at this time
    // unless an update or a heartbeat arrives before.
    base::Instant reporter_deadline = base::Instant::max();
    // When the upstream last became usable, for slow start.
    base::Instant usable_since{};
  };

  explicit UpstreamRegistry(UpstreamRegistryOptions options);

  // Returns the accepted incarnation. Fails with kInvalidArgument, kConflict
  // (outdated incarnation, or one that has left) or kResourceLimit.
  base::Result<std::uint64_t> Announce(const Announcement& announcement,
                                       base::Instant now);
  HeartbeatResult Heartbeat(const base::UpstreamId& id,
                            std::uint64_t incarnation,
                            base::Instant now);
  HeartbeatResult Leave(const base::UpstreamId& id,
                        std::uint64_t incarnation,
                        base::Instant now);

  // Applies an update from another entry host of the domain.
  void Apply(const UpstreamUpdate& update, base::Instant now);
  // Called when the membership library considers an entry host dead.
  void HostLost(const base::HostId& host, base::Instant now);
  // Marks upstreams without recent heartbeats as suspect and removes old
  // records. Called several times per second.
  void Tick(base::Instant now);

  // Removes and returns the updates to be sent to the other entry hosts of the
  // domain, oldest first.
  std::vector<UpstreamUpdate> TakeUpdates();

  const std::map<base::UpstreamId, Record>& upstreams() const {
    return upstreams_;
  }
  std::vector<KnownUpstream> List() const;
  // Increases with each state change that affects routing.
  std::uint64_t version() const { return version_; }

 private:
  base::Result<std::monostate> Check(const Announcement& announcement) const;
  void SetState(Record& record, UpstreamState state, base::Instant now);
  void QueueUpdate(Record& record, base::Instant now);
  void CheckTimeout(Record& record, base::Instant now);
  bool HasRecentHeartbeat(const Record& record, base::Instant now) const;

  UpstreamRegistryOptions options_;
  std::map<base::UpstreamId, Record> upstreams_;
  std::vector<UpstreamUpdate> updates_;
  std::uint64_t version_ = 0;
  base::Instant last_tick_ = base::Instant::min();
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_UPSTREAM_REGISTRY_H_
