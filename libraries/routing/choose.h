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
  // Of two or three random upstreams, the one with the lowest product of
  // outstanding requests and answer time.
  kPowerOfTwoLatency,
  kPowerOfThreeLatency,
  // Of two random upstreams, the one with fewer outstanding requests.
  kPowerOfTwoOutstanding,
  // Of all upstreams, the one with the fewest outstanding requests.
  kLeastOutstanding,
  kRoundRobin,  // Baseline for benchmarks; `seed` is the start index.
  kRandom,      // Baseline for benchmarks.
};

struct RouteRequest {
  std::string_view service;
  SpillPermission spill = SpillPermission::kAllowed;
  // Upstream ids and entry host addresses that already failed for this request
  // and are excluded.
  std::span<const std::string> avoided;
  SelectionPolicy policy = SelectionPolicy::kPowerOfThreeLatency;
  base::Instant now{};
};

enum class RouteReason : std::uint8_t {
  kLowerCost,      // The lowest cost among the compared upstreams.
  kOnlyCandidate,  // No other usable upstream was found.
  kSpill,          // No capacity in the own domain; another one is used.
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

// The pointers refer to the snapshot and are valid as long as it exists.
struct RouteDecision {
  static constexpr std::size_t kMaximumRejections = 6;

  RouteReason reason = RouteReason::kRefused;
  // Set when an upstream of the own domain was chosen. One of its slots is
  // reserved, and the caller must release it.
  const UpstreamEntry* upstream = nullptr;
  // Set when the request is forwarded to an entry host of another domain. A
  // place in the window of `remote->load` is reserved for it.
  const RemoteDomain* remote = nullptr;
  const std::string* remote_host = nullptr;
  // Set when neither was chosen.
  ReasonCode refusal = ReasonCode::kNone;
  // The first kMaximumRejections rejected upstreams; later ones are dropped.
  std::array<Rejection, kMaximumRejections> rejections{};
  std::size_t rejection_count = 0;

  std::span<const Rejection> KeptRejections() const {
    return std::span(rejections).first(rejection_count);
  }
};

// Chooses an upstream, or an entry host of another domain, and reserves
// capacity there. Deterministic for equal loads and equal seeds. Takes no lock
// and does not allocate.
RouteDecision Choose(const Snapshot& snapshot,
                     const RouteRequest& request,
                     std::uint64_t seed);

// Chooses an entry host of another domain that offers the service and whose
// window has a free place, and reserves that place; nothing when there is none.
std::optional<ForwardTarget> ChooseForwardTarget(const Snapshot& snapshot,
                                                 const RouteRequest& request,
                                                 std::uint64_t seed);

// A copy of the chosen upstream that does not depend on the lifetime of the
// snapshot; nothing when no upstream of the own domain was chosen.
std::optional<ReservedUpstream> CopyReservedUpstream(
    const RouteDecision& decision);

const char* RouteReasonName(RouteReason reason);
const char* RejectionReasonName(RejectionReason reason);

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_CHOOSE_H_
