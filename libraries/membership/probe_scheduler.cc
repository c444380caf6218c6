#include "membership/probe_scheduler.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wigeonstair::membership {

namespace {

std::pair<std::uint64_t, std::string> RingPosition(const MemberId& member) {
  std::string text = member.ToString();
  return {XXH3_64bits(text.data(), text.size()), std::move(text)};
}

}  // namespace

void ProbeScheduler::SetMembers(const std::vector<MemberId>& members) {
  members_ = members;
  std::map<std::pair<std::uint64_t, std::string>, const MemberId*> ring;
  for (const MemberId& member : members)
    ring.emplace(RingPosition(member), &member);
  targets_.clear();
  const auto wanted =
      std::min(ring.size(), static_cast<std::size_t>(settings_.monitored));
  auto at = ring.upper_bound(RingPosition(self_));
  for (; targets_.size() < wanted; ++at) {
    if (at == ring.end())
      at = ring.begin();
    targets_.push_back(*at->second);
  }
  std::erase_if(rounds_, [&](const auto& item) {
    return std::find(members.begin(), members.end(), item.second.target) ==
           members.end();
  });
}

void ProbeScheduler::HearSuspicion(const MemberId& member, base::Instant now) {
  hearsay_.try_emplace(member, now + settings_.hearsay_dead_after);
}

void ProbeScheduler::Clear(const MemberId& member) {
  hearsay_.erase(member);
  std::erase_if(rounds_,
                [&](const auto& item) { return item.second.target == member; });
}

void ProbeScheduler::ForgetOpenProbes(base::Instant now) {
  rounds_.clear();
  for (auto& [member, deadline] : hearsay_)
    deadline = now + settings_.hearsay_dead_after;
}

ProbeScheduler::Output ProbeScheduler::Tick(base::Instant now,
                                            base::Random& random) {
  Output output;
  if (!next_round_) {
    // Spreads the probes of hosts that start together.
    next_round_ =
        now + base::Duration(random.Below(settings_.interval.count()));
  }
  if (now >= *next_round_) {
    next_round_ = std::max(*next_round_ + settings_.interval, now);
    StartRound(now, output);
  }
  for (auto item = rounds_.begin(); item != rounds_.end();) {
    item = Advance(item->first, item->second, now, random, output)
               ? rounds_.erase(item)
               : std::next(item);
  }
  std::erase_if(hearsay_, [&](const auto& item) {
    if (now < item.second)
      return false;
    output.deaths.push_back(item.first);
    return true;
  });
  return output;
}

void ProbeScheduler::StartRound(base::Instant now, Output& output) {
  if (targets_.empty())
    return;
  const MemberId& target = targets_[next_target_++ % targets_.size()];
  const bool open = std::any_of(
      rounds_.begin(), rounds_.end(),
      [&](const auto& item) { return item.second.target == target; });
  if (open)
    return;
  const std::uint32_t sequence = NextSequence();
  rounds_.emplace(sequence, Round{.target = target,
                                  .started = now,
                                  .next_probe = now + settings_.ack_timeout});
  output.probes.push_back({.target = target, .sequence = sequence});
}

bool ProbeScheduler::Advance(std::uint32_t sequence,
                             Round& round,
                             base::Instant now,
                             base::Random& random,
                             Output& output) {
  const base::Duration age = now - round.started;
  if (round.phase == Phase::kDirect && age >= settings_.ack_timeout) {
    round.phase = Phase::kIndirect;
    output.probes.push_back({.target = round.target, .sequence = sequence});
    ProbeThroughHelpers(sequence, round, settings_.helpers, random, output);
  }
  if (round.phase == Phase::kIndirect && age >= settings_.suspect_after) {
    round.phase = Phase::kSuspect;
    round.next_probe = now;
    output.suspects.push_back(round.target);
  }
  if (round.phase != Phase::kSuspect)
    return false;
  if (age >= settings_.suspect_after + settings_.dead_after) {
    output.deaths.push_back(round.target);
    return true;
  }
  if (now >= round.next_probe) {
    round.next_probe = now + settings_.suspect_interval;
    output.probes.push_back({.target = round.target, .sequence = sequence});
    ProbeThroughHelpers(sequence, round, 1, random, output);
  }
  return false;
}

void ProbeScheduler::ProbeThroughHelpers(std::uint32_t sequence,
                                         const Round& round,
                                         int helpers,
                                         base::Random& random,
                                         Output& output) const {
  std::vector<MemberId> candidates;
  for (const MemberId& member : members_) {
    if (member != round.target)
      candidates.push_back(member);
  }
  for (int i = 0; i < helpers && !candidates.empty(); ++i) {
    const auto chosen =
        candidates.begin() +
        static_cast<std::ptrdiff_t>(random.Below(candidates.size()));
    output.probes.push_back(
        {.target = round.target, .sequence = sequence, .helper = *chosen});
    candidates.erase(chosen);
  }
}

}  // namespace wigeonstair::membership
