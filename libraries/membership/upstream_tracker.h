#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_UPSTREAM_TRACKER_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_UPSTREAM_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "membership/record.h"
#include "membership/record_store.h"
#include "membership/settings.h"

namespace wigeonstair::membership {

// What an upstream says about itself.
struct UpstreamAnnouncement {
  base::UpstreamId id;
  std::string service;
  net::Address address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Rises at each start of the upstream.
  std::uint64_t incarnation = 0;
};

enum class UpstreamOutcome {
  kAccepted,
  // The host does not know the upstream in this incarnation; it announces
  // itself again.
  kUnknown,
  // A later incarnation has announced itself.
  kStale,
  // An id, name or address is empty or too long.
  kInvalid,
};

// Watches the upstreams of one domain. The member that receives an upstream's
// announcement observes its heartbeats and publishes only changes; a member
// that receives a heartbeat of an upstream that another one observes relays it,
// so that a load balancer may spread the heartbeats. Pure: each call returns
// the records to publish.
class UpstreamTracker {
 public:
  struct Result {
    UpstreamOutcome outcome = UpstreamOutcome::kAccepted;
    std::optional<UpstreamRecord> publish;
  };

  UpstreamTracker(MemberId self,
                  base::DomainId domain,
                  const UpstreamSettings& settings)
      : self_(std::move(self)),
        domain_(std::move(domain)),
        settings_(settings) {}

  Result Announce(const RecordStore& store,
                  const UpstreamAnnouncement& announcement,
                  base::Instant now);
  Result Heartbeat(const RecordStore& store,
                   const base::UpstreamId& id,
                   std::uint64_t incarnation,
                   base::Instant now);
  Result Leave(const RecordStore& store,
               const base::UpstreamId& id,
               std::uint64_t incarnation,
               base::Instant now);
  // Heartbeats that another member received.
  std::vector<UpstreamRecord> Relayed(const RecordStore& store,
                                      const std::vector<std::uint64_t>& hashes,
                                      base::Instant now);
  std::vector<UpstreamRecord> Check(const RecordStore& store,
                                    base::Instant now);
  // Heartbeats to relay since the last call, by observer.
  std::map<MemberId, std::set<std::uint64_t>> TakeRelays();
  // This process was frozen for `gap` and could not hear heartbeats.
  void SkipGap(base::Duration gap);

  UpstreamState EffectiveState(const RecordStore& store,
                               const UpstreamRecord& record,
                               base::Instant now) const;
  base::Instant LastHeartbeat(const RecordStore& store,
                              const UpstreamRecord& record) const;
  // The summary that this member would publish for its domain.
  std::vector<ServiceSummary> Summarize(const RecordStore& store,
                                        base::Instant now) const;

 private:
  std::optional<UpstreamRecord> Heard(const RecordStore& store,
                                      const UpstreamRecord& record,
                                      base::Instant now);
  std::optional<UpstreamRecord> CheckOne(const RecordStore& store,
                                         const UpstreamRecord& record,
                                         base::Instant now);
  // How long the observer has been dead or unknown; zero when it is alive.
  base::Duration ObserverDeadFor(const RecordStore& store,
                                 const UpstreamRecord& record,
                                 base::Instant now) const;
  UpstreamRecord Next(const UpstreamRecord& record,
                      UpstreamState state,
                      base::Instant now) const;

  MemberId self_;
  base::DomainId domain_;
  UpstreamSettings settings_;
  // Last heartbeat of the upstreams that this member observes.
  std::map<base::UpstreamId, base::Instant> heard_;
  std::map<MemberId, std::set<std::uint64_t>> relays_;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_UPSTREAM_TRACKER_H_
