#include "placement/views.h"

#include <array>

namespace wigeonstair::placement {

namespace {

// In the order of JobState.
constexpr std::array<std::string_view, 13> kJobStateNames = {
    "queued",        "reclaiming", "preparing",    "starting", "running",
    "checkpointing", "stopping",   "checkpointed", "finished", "failed",
    "cancelled",     "refused",    "released"};

static_assert(kJobStateNames.size() ==
              static_cast<std::size_t>(JobState::kReleased) + 1);

// In the order of WorkerHealthState.
constexpr std::array<std::string_view, 4> kHealthNames = {"healthy", "ejected",
                                                          "probation", "lost"};

}  // namespace

std::string_view JobStateName(JobState state) {
  return kJobStateNames[static_cast<std::size_t>(state)];
}

std::string_view WorkerHealthStateName(WorkerHealthState state) {
  return kHealthNames[static_cast<std::size_t>(state)];
}

}  // namespace wigeonstair::placement
