#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_PROBE_SCHEDULER_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_PROBE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/random.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace wigeonstair::membership {

// Decides whom to probe, and when an unanswered probe makes a member suspect
// and then dead. Pure.
class ProbeScheduler {
 public:
  struct Probe {
    MemberId target;
    std::uint32_t sequence = 0;
    // Set when the helper is to probe the target.
    std::optional<MemberId> helper;
  };
  struct Output {
    std::vector<Probe> probes;
    std::vector<MemberId> suspects;
    std::vector<MemberId> deaths;
  };

  ProbeScheduler(MemberId self, const ProbeSettings& settings)
      : self_(std::move(self)), settings_(settings) {}

  // The members that are alive or suspect, without this one.
  void SetMembers(const std::vector<MemberId>& members);
  Output Tick(base::Instant now, base::Random& random);
  // An ack arrived, directly or through a helper.
  void Acknowledge(std::uint32_t sequence) { rounds_.erase(sequence); }
  // Another member suspects this one.
  void HearSuspicion(const MemberId& member, base::Instant now);
  // The member refuted a suspicion, or is dead or left.
  void Clear(const MemberId& member);
  // Unanswered probes mean nothing after this process was frozen.
  void ForgetOpenProbes(base::Instant now);
  std::uint32_t NextSequence() { return ++last_sequence_; }

 private:
  enum class Phase { kDirect, kIndirect, kSuspect };
  struct Round {
    MemberId target;
    base::Instant started;
    base::Instant next_probe;
    Phase phase = Phase::kDirect;
  };

  void StartRound(base::Instant now, Output& output);
  // Returns whether the round has ended.
  bool Advance(std::uint32_t sequence,
               Round& round,
               base::Instant now,
               base::Random& random,
               Output& output);
  void ProbeThroughHelpers(std::uint32_t sequence,
                           const Round& round,
                           int helpers,
                           base::Random& random,
                           Output& output) const;

  MemberId self_;
  ProbeSettings settings_;
  std::vector<MemberId> members_;
  std::vector<MemberId> targets_;
  std::size_t next_target_ = 0;
  std::optional<base::Instant> next_round_;
  std::uint32_t last_sequence_ = 0;
  std::map<std::uint32_t, Round> rounds_;
  // When a suspicion of another member becomes a death.
  std::map<MemberId, base::Instant> hearsay_;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_PROBE_SCHEDULER_H_
