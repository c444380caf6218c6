#ifndef WIGEONSTAIR_SERVICES_ENTRY_REGISTRY_DIRECTORY_H_
#define WIGEONSTAIR_SERVICES_ENTRY_REGISTRY_DIRECTORY_H_

#include <cstdint>
#include <vector>

#include "routing/upstream_registry.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

// Contains only upstreams that announced themselves to this host directly. For
// an entry host without membership, and for tests.
class RegistryDirectory : public UpstreamDirectory {
 public:
  explicit RegistryDirectory(routing::UpstreamRegistryOptions options)
      : registry_(std::move(options)) {}

  base::Result<std::uint64_t> Announce(
      const routing::Announcement& announcement,
      base::Instant now) override {
    return registry_.Announce(announcement, now);
  }
  routing::HeartbeatResult Heartbeat(const base::UpstreamId& id,
                                     std::uint64_t incarnation,
                                     base::Instant now) override {
    return registry_.Heartbeat(id, incarnation, now);
  }
  routing::HeartbeatResult Leave(const base::UpstreamId& id,
                                 std::uint64_t incarnation,
                                 base::Instant now) override {
    return registry_.Leave(id, incarnation, now);
  }
  void Tick(base::Instant now) override {
    registry_.Tick(now);
    registry_.TakeUpdates();
  }
  std::vector<routing::KnownUpstream> Upstreams() override {
    return registry_.List();
  }

 private:
  routing::UpstreamRegistry registry_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_REGISTRY_DIRECTORY_H_
