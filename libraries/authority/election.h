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
  base::HostId self;
  base::Duration lease = std::chrono::milliseconds(2000);
  base::Duration renewal_interval = std::chrono::milliseconds(700);
  // Unanswered requests are repeated after this time.
  base::Duration resend_interval = std::chrono::milliseconds(100);
  // A probe or an attempt to acquire is given up after this time.
  base::Duration attempt_timeout = std::chrono::milliseconds(300);
  // Attempts start after a random delay below this one.
  base::Duration start_jitter = std::chrono::milliseconds(400);
  // The clocks of two hosts differ in rate by at most this.
  int drift_percent = 1;
  // Every epoch is higher. A host that restarts has forgotten the epochs that
  // it voted for; the milliseconds of the wall clock are higher than all of
  // them as long as the clock does not step back, because no domain makes 1,000
  // attempts a second. Seconds were too coarse: attempts by five hosts overtook
  // them.
  std::int64_t first_epoch = 0;
  // Differs in each run of the process.
  std::uint64_t seed = 0;
  PlantedFault fault = PlantedFault::kNone;
};

struct TickEvent {};
// Epochs that workers report; above kMaximumEpoch they are ignored.
struct EpochSeenEvent {
  std::int64_t epoch = 0;
};
// Another host follows the member list with this version or a newer one, and
// does so again after a restart.
struct ListAppliedEvent {
  base::HostId host;
  std::uint64_t version = 0;
};
// Gives the lease back and competes no more; this host goes on voting.
struct ReleaseEvent {};
using ElectionEvent = std::variant<TickEvent,
                                   Message,
                                   MemberList,
                                   EpochSeenEvent,
                                   ListAppliedEvent,
                                   ReleaseEvent>;

enum class LossReason : std::uint8_t {
  kExpired,   // No majority extended the lease in time.
  kFenced,    // A worker or a voter has seen a higher epoch.
  kRemoved,   // This host is not in the member list any more.
  kReleased,  // The owner asked for it.
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

struct KnownHolder {
  base::HostId host;
  std::int64_t epoch = 0;
  base::Instant last_heard{};
  auto operator<=>(const KnownHolder&) const = default;
};

// The lease of a domain's placement authority: votes for other hosts, competes
// for the lease when no holder is known, and extends it. Pure; the instants of
// successive calls do not fall.
class Election {
 public:
  // `start` is when the process started; it votes for nobody until the longest
  // lease has run out.
  Election(ElectionOptions options, base::Instant start);

  ElectionOutput Step(const ElectionEvent& event, base::Instant now);
  // The epoch of the lease if this host holds it at `now`.
  std::optional<std::int64_t> HeldEpoch(base::Instant now) const;
  // The holder as far as this host knows, itself included. Judge it by
  // last_heard.
  const std::optional<KnownHolder>& holder() const { return holder_; }
  const MemberList& members() const { return history_.current(); }
  // Older member lists under which no lease can be held any more. The next
  // removal is best made after the former list is covered.
  std::uint64_t retired_version() const { return history_.retired_version(); }
  // Whether the loss of one more host leaves this one able to compete.
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
  // Majorities of all lists that may be in use share a host.
  bool MajoritiesOverlap() const;
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
  std::optional<base::Instant> MajoritySince() const;

  ElectionOptions options_;
  base::Random random_;
  Voter voter_;
  MemberHistory history_;
  Phase phase_ = Phase::kIdle;
  bool released_ = false;
  // Of the attempt or the lease.
  std::int64_t epoch_ = 0;
  base::Instant held_until_;
  // Highest epoch in any message, so that an attempt asks for a higher one.
  std::int64_t heard_epoch_ = 0;
  std::optional<base::Instant> attempt_start_;
  base::Instant attempt_end_{};
  base::Instant next_send_{};
  std::uint64_t round_;
  std::map<std::uint64_t, base::Instant> sent_;
  // For each host that voted: when the request that it granted was sent.
  std::map<base::HostId, base::Instant> votes_;
  std::optional<KnownHolder> holder_;
  // False when another host told of the holder.
  bool holder_heard_directly_ = false;
  // Of the call in progress.
  base::Instant now_{};
  ElectionOutput output_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_ELECTION_H_
