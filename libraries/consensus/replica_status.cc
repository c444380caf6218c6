#include "consensus/replica_status.h"

namespace wigeonstair::consensus {

std::string_view RoleName(Role role) {
  switch (role) {
    case Role::kForming:
      return "forming";
    case Role::kLearner:
      return "learner";
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre_candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
    case Role::kStopped:
      return "stopped";
  }
  return "unknown";
}

}  // namespace wigeonstair::consensus
