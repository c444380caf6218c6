#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_ELECTION_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_ELECTION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "authority/member_history.h"
#include "authority/messages.h"
#include "authority/planted_fault.h"
#include "authority/voter.h"
#include "base/monotonic_clock.h"
#include "base/random.h"
#include "base/strong_id.h"

namespace wigeonstair::authority {

struct ElectionOptions {
  // The id of this host.
  base::HostId self;
  // How long a vote binds the voter. The holder counts a little less, see
  // `drift_percent`.
  base::Duration lease = std::chrono::milliseconds(2000);
  // How often the holder asks for new votes.
  base::Duration renewal_interval = std::chrono::milliseconds(700);
  // Requests of a probe or an attempt to acquire are repeated at this interval.
  base::Duration resend_interval = std::chrono::milliseconds(100);
  // A probe or an attempt to acquire without a majority ends after this time.
  base::Duration attempt_timeout = std::chrono::milliseconds(300);
  // Upper bound of the random delay before an attempt, so that hosts rarely
  // compete at the same time.
  base::Duration start_jitter = std::chrono::milliseconds(400);
  // Upper bound of the difference in rate between the clocks of two hosts.
  int drift_percent = 1;
  // This host votes only for higher epochs. Votes are not stored, so a
  // restarted host does not know the epochs that it voted for. The wall clock
  // in milliseconds exceeds all of them unless the clock steps back, because no
  // domain makes 1,000 attempts a second. Seconds are too coarse: the attempts
  // of five hosts raise the epoch faster than the clock.
  std::int64_t first_epoch = 0;
  // Seed of the random delays and of the first request number. Must differ
  // between runs of the process.
  std::uint64_t seed = 0;
  PlantedFault fault = PlantedFault::kNone;
};

struct TickEvent {};
// An epoch reported by a worker. Values above kMaximumEpoch are ignored.
struct EpochSeenEvent {
  std::int64_t epoch = 0;
};
// Another host has applied the member list of this version or a newer one, and
// will not use an older one after a restart either.
struct ListAppliedEvent {
  base::HostId host;
  std::uint64_t version = 0;
};
// Releases the lease and ends all attempts for good; this host goes on voting.
struct ReleaseEvent {};
using ElectionEvent = std::variant<TickEvent,
                                   Message,
                                   MemberList,
                                   EpochSeenEvent,
                                   ListAppliedEvent,
                                   ReleaseEvent>;

// Why a holder lost the lease.
enum class LossReason : std::uint8_t {
  kExpired,   // No majority extended the lease in time.
  kFenced,    // A worker or a voter has seen a higher epoch.
  kRemoved,   // This host is not in the member list any more.
  kReleased,  // Released by ReleaseEvent.
};
std::string_view LossReasonName(LossReason reason);

struct Acquired {
  std::int64_t epoch = 0;
  auto operator<=>(const Acquired&) const = default;
};
struct Lost {
  std::int64_t epoch = 0;
  LossReason reason = LossReason::kExpired;
  auto operator<=>(const Lost&) const = default;
};
using StateChange = std::variant<Acquired, Lost>;

struct OutgoingMessage {
  base::HostId to;
  Message message;
  auto operator<=>(const OutgoingMessage&) const = default;
};

struct ElectionOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<StateChange> changes;
};

// The holder of the lease as seen by one host.
struct KnownHolder {
  base::HostId host;
  std::int64_t epoch = 0;
  // When this host last received a sign of the holder.
  base::Instant last_heard{};
  auto operator<=>(const KnownHolder&) const = default;
};

// Elects the placement authority of a domain by a lease that a majority of the
// domain's control hosts grants. Votes for other hosts, competes for the lease
// when no holder is known, and renews it. A state machine without I/O; the
// instants passed to successive calls must not decrease.
class Election {
 public:
  // `start` is when the process started. The host gives no votes until every
  // lease that it may have granted before has expired.
  Election(ElectionOptions options, base::Instant start);

  ElectionOutput Step(const ElectionEvent& event, base::Instant now);
  // The epoch of the lease if this host holds it at `now`.
  std::optional<std::int64_t> HeldEpoch(base::Instant now) const;
  // The last known holder, which may be this host. The entry is kept after the
  // lease has expired: callers check `last_heard`.
  const std::optional<KnownHolder>& holder() const { return holder_; }
  const MemberList& members() const { return history_.current(); }
  // No lease can be held any more under member lists up to this version. The
  // next host should be removed only after this covers the previous list.
  std::uint64_t retired_version() const { return history_.retired_version(); }
  // Whether all older member lists are retired, so that this host can still
  // compete after one more host is removed.
  bool settled() const { return history_.settled(); }

 private:
  enum class Phase : std::uint8_t { kIdle, kProbing, kAcquiring, kHolding };

  void Handle(const TickEvent& event);
  void Handle(const Message& message);
  void Handle(const MemberList& list);
  void Handle(const EpochSeenEvent& event);
  void Handle(const ListAppliedEvent& event);
  void Handle(const ReleaseEvent& event);
  void HandleBody(const LeaseRequest& request);
  void HandleBody(const LeaseReply& reply);
  void HandleBody(const LeaseRelease& release);

  bool MayCompete() const;
  // Whether a majority of the current list shares a host with each majority of
  // every other list that may be in use.
  bool MajoritiesOverlap() const;
  // Whether the holder itself was heard from within the last lease duration.
  bool HeardHolderRecently() const;
  void StepDown();
  void TickIdle();
  void TickAttempt();
  void TickHolding();
  void BeginProbe();
  void BeginAcquire();
  void ReturnToIdle();
  void LoseLease(LossReason reason);
  void ReleaseVotes();
  bool ShouldYieldTo(const LeaseRequest& request) const;
  void CountVotes();
  void ExtendLease();
  bool VoteForSelf(RequestPurpose purpose);
  void RecordHolder(const base::HostId& host, std::int64_t epoch);
  void SendRequests(RequestPurpose purpose);
  LeaseRequest MakeRequest(RequestPurpose purpose) const;
  void SendToOthers(const Message& message);
  void ScheduleAttempt();
  // The latest instant at or after which a majority's granted requests were
  // sent; the lease counts from it. Empty without a majority.
  std::optional<base::Instant> MajoritySince() const;

  ElectionOptions options_;
  base::Random random_;
  Voter voter_;
  MemberHistory history_;
  Phase phase_ = Phase::kIdle;
  // Set by ReleaseEvent: this host never competes again.
  bool released_ = false;
  // The epoch of the current attempt or lease.
  std::int64_t epoch_ = 0;
  base::Instant held_until_;
  // The highest epoch in any message; the next attempt asks for a higher one.
  std::int64_t heard_epoch_ = 0;
  std::optional<base::Instant> attempt_start_;
  base::Instant attempt_end_{};
  base::Instant next_send_{};
  std::uint64_t round_;
  // When the request of each round was sent.
  std::map<std::uint64_t, base::Instant> sent_;
  // For each host that voted: when the request that it granted was sent.
  std::map<base::HostId, base::Instant> votes_;
  std::optional<KnownHolder> holder_;
  // False when the holder is known only from another host's reply.
  bool holder_heard_directly_ = false;
  // Time and output of the call of Step() in progress.
  base::Instant now_{};
  ElectionOutput output_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_ELECTION_H_
