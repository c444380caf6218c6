#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_STATUS_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_STATUS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "consensus/member.h"

namespace wigeonstair::consensus {

enum class Role : std::uint8_t {
  // An initial voter with an empty folder that does not yet know whether the
  // group is new or its own disk was lost.
  kForming,
  // Receives the log without a vote.
  kLearner,
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  // The disk refuses writes. The replica takes no part until it accepts them.
  kStopped,
};

std::string_view RoleName(Role role);

struct ReplicaStatus {
  Role role = Role::kFollower;
  std::uint64_t term = 0;
  // Empty when unknown.
  base::HostId leader;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  // The highest commit index that a leader told this host, which may not have
  // those entries yet. At least `commit_index`.
  std::uint64_t known_commit_index = 0;
  std::uint64_t last_index = 0;
  std::uint64_t snapshot_index = 0;
  MemberList members;
  Incarnation incarnation = 0;
  // Time since the last message of a leader or, on the leader, since a majority
  // last confirmed it. Empty when there was no contact since the start.
  // Learners hear from the leader every 3 s when nothing changes.
  std::optional<base::Duration> since_leader_contact;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_REPLICA_STATUS_H_
