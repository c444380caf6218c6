#include "routing/choose.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

#include "tests/routing/snapshot_fixture.h"

namespace wigeonstair::routing {

namespace {

constexpr SelectionPolicy kAllPolicies[] = {
    SelectionPolicy::kPowerOfTwoLatency,
    SelectionPolicy::kPowerOfThreeLatency,
    SelectionPolicy::kPowerOfTwoOutstanding,
    SelectionPolicy::kLeastOutstanding,
    SelectionPolicy::kRoundRobin,
    SelectionPolicy::kRandom,
};

RouteRequest For(SelectionPolicy policy) {
  return {.service = "s", .avoided = {}, .policy = policy};
}

}  // namespace

// Guards against a policy that misses a free slot or exceeds the slot limit.
TEST_CASE("every policy uses all slots and never more") {
  for (const SelectionPolicy policy : kAllPolicies) {
    const auto snapshot = MakeSnapshot(7, 3);
    for (std::uint64_t seed = 0; seed < 21; ++seed) {
      const RouteDecision decision = Choose(*snapshot, For(policy), seed * 977);
      REQUIRE(decision.upstream != nullptr);
    }
    const RouteDecision full = Choose(*snapshot, For(policy), 1);
    CHECK(full.upstream == nullptr);
    CHECK(full.refusal == ReasonCode::kNoCapacity);
    CHECK(full.rejection_count == RouteDecision::kMaximumRejections);
    CHECK(full.KeptRejections().front().reason == RejectionReason::kFull);
    for (const auto& upstream : snapshot->services["s"].upstreams)
      CHECK(upstream.load->in_progress == 3);
  }
}

// Guards against choosing an upstream that is ejected or has already failed for
// the request.
TEST_CASE("ejected and failed upstreams are not chosen") {
  for (const SelectionPolicy policy : kAllPolicies) {
    const auto snapshot = MakeSnapshot(4, 1);
    snapshot->services["s"].upstreams[0].health = HealthState::kEjected;
    const std::vector<std::string> avoided{"u2"};
    RouteRequest request = For(policy);
    request.avoided = avoided;
    std::set<std::string> chosen;
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
      const RouteDecision decision = Choose(*snapshot, request, seed);
      if (decision.upstream != nullptr)
        chosen.insert(decision.upstream->announcement.id.value());
    }
    CHECK(chosen == std::set<std::string>{"u1", "u3"});
  }
}

// Guards against forwarding to another domain while the own domain has
// capacity, and against a refusal while another domain has capacity.
TEST_CASE("a request spills to another domain only without own capacity") {
  const auto snapshot = MakeSnapshot(1, 1);
  snapshot->services["s"].remotes.push_back(
      {.domain = base::DomainId("d2"), .entry_hosts = {"h1", "h2"}});
  RouteRequest request = For(SelectionPolicy::kPowerOfThreeLatency);
  CHECK(Choose(*snapshot, request, 1).upstream != nullptr);

  const RouteDecision spill = Choose(*snapshot, request, 2);
  REQUIRE(spill.remote != nullptr);
  CHECK(spill.reason == RouteReason::kSpill);
  const std::vector<std::string> avoided{*spill.remote_host};
  request.avoided = avoided;
  const RouteDecision other = Choose(*snapshot, request, 2);
  REQUIRE(other.remote_host != nullptr);
  CHECK(*other.remote_host != *spill.remote_host);

  request.spill = SpillPermission::kForbidden;
  CHECK(Choose(*snapshot, request, 2).refusal == ReasonCode::kNoCapacity);
}

// Guards against sending requests to the upstreams of a domain that operators
// took out of service.
TEST_CASE("a domain that is out of service gets no requests") {
  const auto snapshot = MakeSnapshot(2, 2);
  snapshot->own_domain_service = DomainService::kOut;
  const RouteRequest request = For(SelectionPolicy::kPowerOfThreeLatency);
  CHECK(Choose(*snapshot, request, 1).refusal == ReasonCode::kDomainOut);
  snapshot->services["s"].remotes.push_back(
      {.domain = base::DomainId("d2"), .entry_hosts = {"h1"}});
  CHECK(Choose(*snapshot, request, 1).remote != nullptr);
}

// Guards against refusals without a reason code.
TEST_CASE("an unknown service is refused with its reason") {
  const auto snapshot = MakeSnapshot(1, 1);
  const RouteDecision decision =
      Choose(*snapshot, {.service = "other", .avoided = {}}, 1);
  CHECK(decision.refusal == ReasonCode::kNoUpstream);
}

// Guards against decisions that cannot be reproduced from a logged seed.
TEST_CASE("equal seeds and loads give equal decisions") {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const auto first = MakeSnapshot(9, 2);
    const auto second = MakeSnapshot(9, 2);
    const RouteRequest request = For(SelectionPolicy::kPowerOfThreeLatency);
    CHECK(Choose(*first, request, seed).upstream->announcement ==
          Choose(*second, request, seed).upstream->announcement);
  }
}

}  // namespace wigeonstair::routing
