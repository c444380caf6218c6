#include "routing/choose.h"

#include <algorithm>

#include "base/random.h"

namespace wigeonstair::routing {

namespace {

// Makes one decision; used once.
class Chooser {
 public:
  Chooser(const Snapshot& snapshot,
          const RouteRequest& request,
          std::uint64_t seed)
      : snapshot_(snapshot), request_(request), seed_(seed), random_(seed) {}

  RouteDecision Run() {
    const auto found = snapshot_.services.find(request_.service);
    if (found == snapshot_.services.end())
      return Refuse(ReasonCode::kNoUpstream);
    const ServiceEntry& service = found->second;
    const bool own_domain_serves =
        snapshot_.own_domain_service == DomainService::kIn;
    if (own_domain_serves && ChooseOwn(service.upstreams))
      return decision_;
    if (request_.spill == SpillPermission::kAllowed &&
        !service.remotes.empty()) {
      // With kNoCapacity the caller may queue the request: a domain that is
      // full now may get capacity while it waits.
      return ChooseRemote(service.remotes) ? decision_
                                           : Refuse(ReasonCode::kNoCapacity);
    }
    if (!own_domain_serves)
      return Refuse(ReasonCode::kDomainOut);
    return Refuse(service.upstreams.empty() ? ReasonCode::kNoUpstream
                                            : ReasonCode::kNoCapacity);
  }

  // Considers other domains only.
  RouteDecision RunRemote() {
    const auto found = snapshot_.services.find(request_.service);
    if (found == snapshot_.services.end())
      return Refuse(ReasonCode::kNoUpstream);
    return ChooseRemote(found->second.remotes)
               ? decision_
               : Refuse(ReasonCode::kNoCapacity);
  }

 private:
  RouteDecision Refuse(ReasonCode code) {
    decision_.refusal = code;
    return decision_;
  }

  void Reject(const UpstreamEntry& upstream, RejectionReason reason) {
    if (decision_.rejection_count == RouteDecision::kMaximumRejections)
      return;
    for (const Rejection& known : decision_.KeptRejections()) {
      if (known.upstream == &upstream)
        return;
    }
    decision_.rejections[decision_.rejection_count++] = {.upstream = &upstream,
                                                         .reason = reason};
  }

  bool IsUsable(const UpstreamEntry& upstream) {
    if (upstream.health == HealthState::kEjected) {
      Reject(upstream, RejectionReason::kEjected);
      return false;
    }
    if (std::find(request_.avoided.begin(), request_.avoided.end(),
                  upstream.announcement.id.value()) != request_.avoided.end()) {
      Reject(upstream, RejectionReason::kAlreadyFailed);
      return false;
    }
    if (upstream.load->in_progress.load(std::memory_order_relaxed) >=
        upstream.limit) {
      Reject(upstream, RejectionReason::kFull);
      return false;
    }
    return true;
  }

  bool TryReserve(const UpstreamEntry& upstream, RouteReason reason) {
    if (!upstream.load->Reserve(upstream.limit)) {
      Reject(upstream, RejectionReason::kFull);
      return false;
    }
    decision_.upstream = &upstream;
    decision_.reason = reason;
    return true;
  }

  bool ChooseOwn(std::span<const UpstreamEntry> upstreams) {
    if (upstreams.empty())
      return false;
    switch (request_.policy) {
      case SelectionPolicy::kPowerOfTwoLatency:
      case SelectionPolicy::kPowerOfTwoOutstanding:
        return ChooseSampled(upstreams, 2);
      case SelectionPolicy::kPowerOfThreeLatency:
        return ChooseSampled(upstreams, 3);
      case SelectionPolicy::kLeastOutstanding:
        return ChooseSampled(upstreams, upstreams.size());
      case SelectionPolicy::kRoundRobin:
        return ReserveFirstUsable(upstreams, seed_);
      case SelectionPolicy::kRandom:
        return ReserveFirstUsable(upstreams, random_.Next());
    }
    return false;
  }

  // Compares `choices` random upstreams and reserves a slot on the cheapest.
  // When none of them is usable, searches all upstreams, so that a free slot is
  // always found.
  bool ChooseSampled(std::span<const UpstreamEntry> upstreams,
                     std::size_t choices) {
    choices = std::min(choices, upstreams.size());
    const UpstreamEntry* best = nullptr;
    std::size_t position = random_.Below(upstreams.size());
    const std::size_t compared = choices;
    for (std::size_t drawn = 0; drawn < compared; ++drawn) {
      const UpstreamEntry& candidate = upstreams[position];
      position = NextPosition(position, upstreams.size(), choices);
      if (&candidate == best || !IsUsable(candidate))
        continue;
      if (best == nullptr) {
        best = &candidate;
        continue;
      }
      const bool better = IsCheaper(candidate, *best);
      Reject(better ? *best : candidate, RejectionReason::kHigherCost);
      if (better)
        best = &candidate;
    }
    if (best != nullptr && TryReserve(*best, RouteReason::kLowerCost))
      return true;
    return ReserveFirstUsable(upstreams, position);
  }

  // A comparison of all upstreams visits them in order; a sampled one continues
  // at a random other upstream.
  std::size_t NextPosition(std::size_t position,
                           std::size_t count,
                           std::size_t choices) {
    const std::size_t step =
        choices == count || count == 1 ? 1 : 1 + random_.Below(count - 1);
    return (position + step) % count;
  }

  bool ReserveFirstUsable(std::span<const UpstreamEntry> upstreams,
                          std::uint64_t start) {
    for (std::size_t offset = 0; offset < upstreams.size(); ++offset) {
      const UpstreamEntry& candidate =
          upstreams[(start + offset) % upstreams.size()];
      if (IsUsable(candidate) &&
          TryReserve(candidate, RouteReason::kOnlyCandidate))
        return true;
    }
    return false;
  }

  bool IsCheaper(const UpstreamEntry& left, const UpstreamEntry& right) const {
    const bool by_latency =
        request_.policy == SelectionPolicy::kPowerOfTwoLatency ||
        request_.policy == SelectionPolicy::kPowerOfThreeLatency;
    const auto left_latency =
        left.load->latency_microseconds.load(std::memory_order_relaxed);
    const auto right_latency =
        right.load->latency_microseconds.load(std::memory_order_relaxed);
    // The latency of an upstream without answers is unknown.
    if (!by_latency || left_latency == 0 || right_latency == 0)
      return WeightedOutstanding(left) < WeightedOutstanding(right);
    return WeightedOutstanding(left) * static_cast<double>(left_latency) <
           WeightedOutstanding(right) * static_cast<double>(right_latency);
  }

  // Outstanding requests including this one, increased by slow start and by
  // consecutive failures: an upstream that fails immediately never has many
  // outstanding requests and would otherwise attract most requests.
  static double WeightedOutstanding(const UpstreamEntry& upstream) {
    constexpr double kFailureWeight = 4.0;
    const double requests =
        1.0 + upstream.load->in_progress.load(std::memory_order_relaxed);
    const double failures =
        upstream.load->consecutive_failures.load(std::memory_order_relaxed);
    return requests * (1.0 + kFailureWeight * failures) / upstream.weight;
  }

  bool ChooseRemote(std::span<const RemoteDomain> remotes) {
    const std::uint64_t start = random_.Next();
    for (std::size_t offset = 0; offset < remotes.size(); ++offset) {
      const RemoteDomain& remote = remotes[(start + offset) % remotes.size()];
      for (std::size_t host = 0; host < remote.entry_hosts.size(); ++host) {
        const std::string& address =
            remote.entry_hosts[(start / 7 + host) % remote.entry_hosts.size()];
        if (std::find(request_.avoided.begin(), request_.avoided.end(),
                      address) != request_.avoided.end())
          continue;
        if (!remote.load->Reserve(request_.now))
          break;
        decision_.remote = &remote;
        decision_.remote_host = &address;
        decision_.reason = RouteReason::kSpill;
        return true;
      }
    }
    return false;
  }

  const Snapshot& snapshot_;
  const RouteRequest& request_;
  std::uint64_t seed_;
  base::Random random_;
  RouteDecision decision_;
};

}  // namespace

RouteDecision Choose(const Snapshot& snapshot,
                     const RouteRequest& request,
                     std::uint64_t seed) {
  return Chooser(snapshot, request, seed).Run();
}

std::optional<ForwardTarget> ChooseForwardTarget(const Snapshot& snapshot,
                                                 const RouteRequest& request,
                                                 std::uint64_t seed) {
  const RouteDecision decision = Chooser(snapshot, request, seed).RunRemote();
  if (decision.remote == nullptr)
    return std::nullopt;
  return ForwardTarget{.address = *decision.remote_host,
                       .load = decision.remote->load};
}

std::optional<ReservedUpstream> CopyReservedUpstream(
    const RouteDecision& decision) {
  if (decision.upstream == nullptr)
    return std::nullopt;
  return ReservedUpstream{.id = decision.upstream->announcement.id,
                          .address = decision.upstream->announcement.address,
                          .load = decision.upstream->load};
}

const char* RouteReasonName(RouteReason reason) {
  switch (reason) {
    case RouteReason::kLowerCost:
      return "lower_cost";
    case RouteReason::kOnlyCandidate:
      return "only_candidate";
    case RouteReason::kSpill:
      return "spill";
    case RouteReason::kRefused:
      return "refused";
  }
  return "unknown";
}

const char* RejectionReasonName(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kHigherCost:
      return "higher_cost";
    case RejectionReason::kFull:
      return "full";
    case RejectionReason::kEjected:
      return "ejected";
    case RejectionReason::kAlreadyFailed:
      return "already_failed";
  }
  return "unknown";
}

}  // namespace wigeonstair::routing
