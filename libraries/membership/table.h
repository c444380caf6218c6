#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_TABLE_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/random.h"
#include "membership/message.h"
#include "membership/probe_scheduler.h"
#include "membership/record_store.h"
#include "membership/settings.h"
#include "membership/snapshot.h"
#include "membership/upstream_tracker.h"

namespace wigeonstair::membership {

struct TableOptions {
  MemberId self;
  base::DomainId domain;
  net::Address messages;
  net::Address http;
  // Should rise from start to start, such as the wall clock in milliseconds. A
  // lower one is corrected as soon as another member objects.
  std::uint64_t initial_incarnation = 0;
  std::uint64_t seed = 0;
  TableSettings settings;
};

// What this process reports about itself.
struct LocalStatus {
  std::uint64_t applied_revision = 0;
  std::uint64_t authority_epoch = 0;
  AuthorityHolding holding = AuthorityHolding::kNotHeld;

  bool operator==(const LocalStatus&) const = default;
};

struct OutgoingDatagram {
  net::Address peer;
  std::string body;
};

struct MemberChange {
  MemberId id;
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation = 0;
};

// Bytes include the headers of UDP and IP.
struct TableCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t repairs = 0;
  // Claims that this member is not alive, which it refuted.
  std::uint64_t refutations = 0;
  // Members that this one found suspect, and declared dead.
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
};

// One member's view of the others: probes them, passes records on and repairs
// differences. Pure: the owner calls Tick() every kTickInterval, hands in what
// arrives, and sends what TakeOutgoing() returns.
class Table {
 public:
  static constexpr base::Duration kTickInterval = std::chrono::milliseconds(50);

  Table(TableOptions options, base::Instant now);

  void Tick(base::Instant now);
  void Receive(const net::Address& sender,
               std::string_view body,
               base::Instant now);

  void SetStatus(const LocalStatus& status, base::Instant now);
  // Called by the holder of the domain's authority.
  void SetCapacity(std::uint64_t epoch,
                   const CapacitySummary& capacity,
                   base::Instant now);
  UpstreamOutcome Announce(const UpstreamAnnouncement& announcement,
                           base::Instant now);
  UpstreamOutcome Heartbeat(const base::UpstreamId& id,
                            std::uint64_t incarnation,
                            base::Instant now);
  UpstreamOutcome LeaveUpstream(const base::UpstreamId& id,
                                std::uint64_t incarnation,
                                base::Instant now);
  // Tells the others that this process ends; it no longer refutes claims.
  void LeaveCluster(base::Instant now);

  // For a joining member: all records that its domain may see.
  FullCopy CopyFor(const base::DomainId& domain) const;
  JoinRequest MakeJoinRequest() const;
  void Merge(const std::vector<Record>& records, base::Instant now);

  std::vector<OutgoingDatagram> TakeOutgoing() {
    return std::exchange(outgoing_, {});
  }
  std::vector<MemberChange> TakeChanges() {
    return std::exchange(changes_, {});
  }
  // True once after anything in the snapshot changed.
  bool TakeDirty() { return std::exchange(dirty_, false); }
  Snapshot MakeSnapshot(base::Instant now) const;

  const MemberRecord& self() const { return self_; }
  const TableCounters& counters() const { return counters_; }
  const RecordStore& store() const { return store_; }

 private:
  struct Relay {
    net::Address origin;
    std::uint32_t sequence = 0;
    base::Instant expires;
  };
  enum class Budget { kAlways, kWhenAffordable };

  // table.cc: local changes and records.
  void PublishSelf(base::Instant now);
  void PublishStatus(base::Instant now);
  void PublishServices(base::Instant now);
  void PublishCapacity(base::Instant now);
  UpstreamOutcome Publish(const UpstreamTracker::Result& result,
                          base::Instant now);
  void Apply(const Record& record, base::Instant now);
  void ApplyOwnMember(const MemberRecord& record, base::Instant now);
  void ApplyOwnStatus(const StatusRecord& record, base::Instant now);
  void NoteMember(const MemberRecord& record, base::Instant now);
  void Claim(const MemberId& id, MemberState state, base::Instant now);
  bool IsServicesPublisher() const;
  int TransmissionsFor(RecordScope scope) const;
  void CountMembers();

  // table_gossip.cc: messages.
  void Dispatch(const net::Address& sender,
                const Message& message,
                base::Instant now);
  void AnswerProbe(const net::Address& sender,
                   const Message& message,
                   base::Instant now);
  void HandleAck(const Message& message, base::Instant now);
  void PassProbeOn(const net::Address& sender,
                   const Message& message,
                   base::Instant now);
  void CompareDigest(const net::Address& sender,
                     const Message& message,
                     base::Instant now);
  void CompareBuckets(const net::Address& sender, const Message& message);
  void AnswerRepair(const net::Address& sender, const Message& message);
  void RunProbes(base::Instant now);
  void SendProbe(const ProbeScheduler::Probe& probe);
  void SendProbeTo(const MemberRecord& target, std::uint32_t sequence);
  void Mix();
  void Revive();
  void Gossip();
  void SendRelays();
  std::size_t RoomFor(const Message& message) const;
  void Send(const net::Address& peer, const Message& message, Budget budget);
  Message Make(MessageKind kind) const;
  Digest MakeDigest() const;
  bool Due(base::Instant& next, base::Duration interval, base::Instant now);
  const MemberRecord* FindMember(const MemberId& id) const;
  const MemberRecord* RandomMember(bool own_domain);

  TableOptions options_;
  MemberRecord self_;
  StatusRecord status_;
  base::Random random_;
  RecordStore store_;
  ProbeScheduler scheduler_;
  UpstreamTracker upstreams_;

  // Members that are alive or suspect, without this one.
  std::vector<MemberId> members_;
  std::vector<MemberId> domain_members_;
  std::vector<MemberId> dead_members_;
  bool members_changed_ = true;

  std::map<std::uint32_t, Relay> relays_;
  std::optional<LocalStatus> waiting_status_;
  std::optional<CapacityRecord> waiting_capacity_;
  double tokens_;
  base::Instant last_tick_;
  base::Instant next_gossip_;
  base::Instant next_mix_;
  base::Instant next_revival_;
  base::Instant next_relay_;
  base::Instant next_check_;
  base::Instant next_status_;
  base::Instant next_capacity_;
  base::Instant next_services_;
  base::Instant next_repair_;
  base::Instant next_busy_repair_;
  base::Instant refuted_until_;
  bool mix_in_domain_ = false;

  std::vector<OutgoingDatagram> outgoing_;
  std::vector<MemberChange> changes_;
  bool dirty_ = true;
  TableCounters counters_;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_TABLE_H_
