#ifndef WIGEONSTAIR_SERVICES_ENTRY_INTERFACES_H_
#define WIGEONSTAIR_SERVICES_ENTRY_INTERFACES_H_

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "net/http.h"
#include "net/http_client.h"
#include "records/messages.h"
#include "routing/slot_share.h"
#include "routing/snapshot_builder.h"
#include "routing/upstream.h"

namespace wigeonstair::entry {

// The interfaces through which the entry process does I/O and reads the time.
// Tests substitute fakes.

// Sends HTTP calls to upstreams and to entry hosts of other failure domains.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  // `done` is called exactly once, on any thread.
  virtual void Send(net::HttpCall call,
                    std::function<void(net::HttpOutcome)> done) = 0;
};

// Reads and writes the replicated request records through the control process
// of this host.
class RecordClient {
 public:
  // kUnavailable means that the command was not proposed; with any other error
  // it may be committed later.
  using Reply = std::variant<records::RecordReply, base::Error>;

  virtual ~RecordClient() = default;
  virtual void Propose(records::RecordCommand command,
                       base::Duration timeout,
                       std::function<void(Reply)> done) = 0;
  virtual void Query(records::RecordQuery query,
                     base::Duration timeout,
                     std::function<void(Reply)> done) = 0;
};

// The upstreams of this host's failure domain. Receives the announcements,
// heartbeats and departures that upstreams send to this host. Not thread-safe:
// callers must serialize their calls.
class UpstreamDirectory {
 public:
  virtual ~UpstreamDirectory() = default;
  // Returns the accepted incarnation. Fails with kInvalidArgument, kConflict
  // (the incarnation is lower than a known one or has already left) or
  // kResourceLimit.
  virtual base::Result<std::uint64_t> Announce(
      const routing::Announcement& announcement,
      base::Instant now) = 0;
  virtual routing::HeartbeatResult Heartbeat(const base::UpstreamId& id,
                                             std::uint64_t incarnation,
                                             base::Instant now) = 0;
  virtual routing::HeartbeatResult Leave(const base::UpstreamId& id,
                                         std::uint64_t incarnation,
                                         base::Instant now) = 0;
  // Called every 100 ms.
  virtual void Tick(base::Instant now) = 0;
  virtual std::vector<routing::KnownUpstream> Upstreams() = 0;
};

// The other entry hosts, as known to the membership library.
class EntryPeers {
 public:
  virtual ~EntryPeers() = default;
  // Live entry hosts of this host's failure domain, excluding this host.
  virtual std::vector<routing::EntryHost> LiveHosts() = 0;
  virtual routing::ClusterReach Reach() = 0;
  // Services that other failure domains offer, each with its entry hosts.
  virtual std::vector<routing::RemoteService> RemoteServices() = 0;
};

// The cluster state, read through the control process of this host.
class ClusterFeed {
 public:
  virtual ~ClusterFeed() = default;
  // Returns the latest known view, which remains valid while the control
  // process does not answer.
  virtual routing::ClusterView Latest() = 0;
};

// One-shot timers.
class Timers {
 public:
  virtual ~Timers() = default;
  // Runs `callback` on any thread after the delay. Calling the returned
  // function cancels the timer; a callback that is already running is not
  // interrupted.
  virtual std::function<void()> After(base::Duration delay,
                                      std::function<void()> callback) = 0;
};

// Monotonic and wall-clock time. Tests substitute a logical clock.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual base::Instant Now() = 0;
  // Unix time in milliseconds.
  virtual std::int64_t WallMilliseconds() = 0;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_INTERFACES_H_
