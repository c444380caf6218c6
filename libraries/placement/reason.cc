#include "placement/reason.h"

#include <array>

namespace wigeonstair::placement {

namespace {

// In the order of ReasonCode.
constexpr std::array<std::string_view, 30> kNames = {
    "guaranteed",       "borrowed",
    "all_prepared",     "reclaim",
    "defragment",       "domain_out",
    "recovering",       "no_capacity",
    "fragmented",       "borrowing_limit",
    "reserved",         "infeasible",
    "invalid",          "domain_not_allowed",
    "unknown_customer", "gang_member_failed",
    "prepare_timeout",  "start_timeout",
    "stop_unconfirmed", "attempts_exhausted",
    "cancelled",        "completed",
    "unknown_task",     "fails_everything",
    "ejection_floor",   "probation",
    "recovered_health", "overload",
    "room_elsewhere",   "yield"};

static_assert(kNames.size() ==
              static_cast<std::size_t>(ReasonCode::kYield) + 1);

}  // namespace

std::string_view ReasonCodeName(ReasonCode code) {
  return kNames[static_cast<std::size_t>(code)];
}

}  // namespace wigeonstair::placement
