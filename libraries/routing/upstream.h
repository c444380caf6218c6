#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_UPSTREAM_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_UPSTREAM_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"

namespace wigeonstair::routing {

// What an upstream announces about itself.
struct Announcement {
  base::UpstreamId id;
  std::string service;
  base::DomainId domain;
  // "ip:port".
  std::string address;
  // Requests that it serves concurrently, over all entry hosts.
  int slots = 0;
  // Connections that it accepts concurrently, over all entry hosts.
  int connections = 0;
  // Increases with each restart of the upstream.
  std::uint64_t incarnation = 0;

  bool operator==(const Announcement&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, service, domain, address, slots, connections, incarnation);
  }
};

enum class UpstreamState : std::uint8_t {
  kAlive,
  kSuspect,  // Its heartbeats are missing; gets no new requests.
  kLeft,     // Announced that it leaves; gets no new requests.
};

// State of an upstream as one entry host reports it to the others of its
// domain. Of two updates the newer one wins: the higher incarnation, then kLeft
// over the other states, then the higher sequence, then the higher reporter.
struct UpstreamUpdate {
  Announcement announcement;
  UpstreamState state = UpstreamState::kAlive;
  // Increases with each update within an incarnation.
  std::uint64_t sequence = 0;
  // The entry host that receives the heartbeats. The others rely on its updates
  // until it is lost.
  base::HostId reporter;

  bool operator==(const UpstreamUpdate&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(announcement, state, sequence, reporter);
  }
};

// An upstream as listed by an upstream directory.
struct KnownUpstream {
  Announcement announcement;
  UpstreamState state = UpstreamState::kAlive;
  // When it became usable, for slow start. A changed value means that it
  // returned or restarted.
  base::Instant usable_since{};
};

enum class HeartbeatResult : std::uint8_t {
  kAccepted,
  // The host does not know this incarnation of the upstream, or it has left;
  // the upstream must announce itself again.
  kAnnounceAgain,
  kOutdated,  // A newer incarnation is known.
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_UPSTREAM_H_
