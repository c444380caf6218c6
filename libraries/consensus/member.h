#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_MEMBER_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/strong_id.h"

namespace wigeonstair::consensus {

enum class MemberRole : std::uint8_t {
  kVoter,
  // Receives the log and never votes.
  kLearner,
  // A learner that the leader makes a voter once it holds the whole log.
  kCatchingUp,
};

// Names one life of a host's data folder. A host that lost its folder returns
// with another incarnation, so votes and acknowledgements of its former life
// cannot be counted for it. 0 is a host without a disk.
using Incarnation = std::uint64_t;

// The incarnation of every voter of a new group.
constexpr Incarnation kFirstIncarnation = 1;

struct Member {
  base::HostId host;
  // "ip:port" of the message server.
  std::string address;
  MemberRole role = MemberRole::kVoter;
  Incarnation incarnation = kFirstIncarnation;

  bool operator==(const Member&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, address, role, incarnation);
  }
};

using MemberList = std::vector<Member>;

enum class MemberChangeKind : std::uint8_t {
  // Adds a learner, or changes its address.
  kAddLearner,
  // Makes a learner with a disk a voter when it has caught up, or changes the
  // address of a voter.
  kAddVoter,
  // Removes a host. The leader refuses to remove itself; it hands its role to
  // another voter and the caller tries again.
  kRemove,
};

struct MemberChange {
  MemberChangeKind kind = MemberChangeKind::kAddLearner;
  base::HostId host;
  // Not used by kRemove.
  std::string address;

  bool operator==(const MemberChange&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(kind, host, address);
  }
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_MEMBER_H_
