#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_CHOOSE_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_CHOOSE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "routing/outcome.h"
#include "routing/service_gate.h"
#include "routing/snapshot.h"
#include "routing/spill_permission.h"

namespace wigeonstair::routing {

enum class SelectionPolicy : std::uint8_t {
  // The lowest product of outstanding requests and answer time of two or
  // three random upstreams.
  kPowerOfTwoLatency,
  kPowerOfThreeLatency,
  // The fewest outstanding requests of two random upstreams.
  kPowerOfTwoOutstanding,
  // The fewest outstanding requests of all upstreams.
  kLeastOutstanding,
  kRoundRobin,  // Baseline for benchmarks; `seed` is the position.
  kRandom,      // Baseline for benchmarks.
};

struct RouteRequest {
  std::string_view service;
  SpillPermission spill = SpillPermission::kAllowed;
  // Upstreams and entry hosts that already failed for this request.
  std::span<const std::string> avoided;
  SelectionPolicy policy = SelectionPolicy::kPowerOfThreeLatency;
  base::Instant now{};
};

enum class RouteReason : std::uint8_t {
  kLowerCost,      // The best of those compared.
  kOnlyCandidate,  // No other usable upstream was found.
  kSpill,          // No capacity in the own domain.
  kRefused,
};

enum class RejectionReason : std::uint8_t {
  kHigherCost,
  kFull,
  kEjected,
  kAlreadyFailed,
};

struct Rejection {
  const UpstreamEntry* upstream = nullptr;
  RejectionReason reason = RejectionReason::kFull;
};

// The pointers are valid as long as the snapshot.
struct RouteDecision {
  static constexpr std::size_t kMaximumRejections = 6;

  RouteReason reason = RouteReason::kRefused;
  // Set when the decision is for an upstream of the own domain. One of its
  // slots has been reserved, and the caller releases it.
  const UpstreamEntry* upstream = nullptr;
  // Set when the request goes through an entry host of another domain.
  const RemoteDomain* remote = nullptr;
  const std::string* remote_host = nullptr;
  // Set when nothing was chosen.
  ReasonCode refusal = ReasonCode::kNone;
  // The first ones; further rejections are not kept.
  std::array<Rejection, kMaximumRejections> rejections{};
  std::size_t rejection_count = 0;

  std::span<const Rejection> KeptRejections() const {
    return std::span(rejections).first(rejection_count);
  }
};

// Chooses an upstream and reserves one of its slots. Equal loads and equal
// seeds give equal decisions. Takes no lock and allocates nothing.
RouteDecision Choose(const Snapshot& snapshot,
                     const RouteRequest& request,
                     std::uint64_t seed);

// An entry host of another domain that offers the service and has room in its
// window, in which a place is taken; nothing when there is none.
std::optional<ForwardTarget> ChooseForwardTarget(const Snapshot& snapshot,
                                                 const RouteRequest& request,
                                                 std::uint64_t seed);

// A copy of the chosen upstream that outlives the snapshot; nothing when
// another domain or no upstream was chosen.
std::optional<ReservedUpstream> CopyReservedUpstream(
    const RouteDecision& decision);

const char* RouteReasonName(RouteReason reason);
const char* RejectionReasonName(RejectionReason reason);

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_CHOOSE_H_
