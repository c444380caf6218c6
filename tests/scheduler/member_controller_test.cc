#include "services/scheduler/member_controller.h"

#include <catch2/catch.hpp>

namespace wigeonstair::scheduler {

namespace {

using consensus::MemberChangeKind;
using consensus::MemberRole;

consensus::Member Host(const std::string& name, MemberRole role) {
  return {.host = base::HostId(name), .address = name, .role = role};
}

constexpr base::Duration kLong = std::chrono::seconds(8);

}  // namespace

TEST_CASE("a whole group is left alone") {
  const consensus::MemberList members{
      Host("a", MemberRole::kVoter), Host("b", MemberRole::kVoter),
      Host("c", MemberRole::kVoter), Host("d", MemberRole::kLearner)};
  CHECK_FALSE(NextRepair(members, base::HostId("a"), {}));
}

TEST_CASE("a learner takes the place of a voter that is silent for long") {
  consensus::MemberList members{
      Host("a", MemberRole::kVoter), Host("b", MemberRole::kVoter),
      Host("c", MemberRole::kVoter), Host("d", MemberRole::kLearner)};
  const Silences silences{{base::HostId("c"), kLong}};
  auto change = NextRepair(members, base::HostId("a"), silences);
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("d"));
  // One change at a time: no voter is dropped while another catches up.
  members[3].role = MemberRole::kCatchingUp;
  CHECK_FALSE(NextRepair(members, base::HostId("a"), silences));
  members[3].role = MemberRole::kVoter;
  change = NextRepair(members, base::HostId("a"), silences);
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->host == base::HostId("c"));
}

// Guards against a group that shrinks to two voters and then to none.
TEST_CASE("a silent voter without a replacement keeps its place") {
  const consensus::MemberList members{Host("a", MemberRole::kVoter),
                                      Host("b", MemberRole::kVoter),
                                      Host("c", MemberRole::kVoter)};
  CHECK_FALSE(
      NextRepair(members, base::HostId("a"), {{base::HostId("c"), kLong}}));
}

}  // namespace wigeonstair::scheduler
