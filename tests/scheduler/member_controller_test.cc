#include "services/scheduler/member_controller.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

namespace wigeonstair::scheduler {

namespace {

using consensus::MemberChangeKind;
using consensus::MemberRole;

consensus::Member MakeMember(const std::string& name, MemberRole role) {
  return {.host = base::HostId(name), .address = name, .role = role};
}

// Voters "a", "b" and "c", followed by `learners`.
consensus::MemberList ThreeVotersAnd(const std::vector<std::string>& learners) {
  consensus::MemberList members;
  for (const char* voter : {"a", "b", "c"})
    members.push_back(MakeMember(voter, MemberRole::kVoter));
  for (const std::string& learner : learners)
    members.push_back(MakeMember(learner, MemberRole::kLearner));
  return members;
}

constexpr base::Duration kLongSilence = std::chrono::seconds(8);

const base::HostId kSelf("a");

MemberHealthMap Unresponsive(const std::string& host) {
  return {{base::HostId(host), {.since_last_answer = kLongSilence}}};
}

// Maps each host name to the name of its failure domain.
MemberHealthMap HealthWithDomains(
    const std::map<std::string, std::string>& domains) {
  MemberHealthMap member_health;
  for (const auto& [host, domain] : domains)
    member_health[base::HostId(host)] = {.domain = base::DomainId(domain)};
  return member_health;
}

}  // namespace

TEST_CASE("a healthy group needs no membership change") {
  const consensus::MemberList members = ThreeVotersAnd({"d"});
  CHECK_FALSE(NextRepair(members, kSelf, {}, RequiredVoters(1)));
}

// Guards against the loss of acknowledged jobs when two hosts lose their disks
// at the same time after the acknowledgement (fault wipe_after_ack).
TEST_CASE("a group that must tolerate two losses grows to five voters") {
  consensus::MemberList members = ThreeVotersAnd({"d", "e", "f"});
  int added = 0;
  while (const auto change =
             NextRepair(members, kSelf, {}, RequiredVoters(2))) {
    REQUIRE(change->kind == MemberChangeKind::kAddVoter);
    for (consensus::Member& member : members) {
      if (member.host == change->host)
        member.role = MemberRole::kVoter;
    }
    REQUIRE(++added <= 2);
  }
  CHECK(added == 2);
}

TEST_CASE("a learner replaces a voter that has stopped answering") {
  consensus::MemberList members = ThreeVotersAnd({"d"});
  const MemberHealthMap member_health = Unresponsive("c");
  auto change = NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("d"));
  // One change at a time: no voter is removed while a new one catches up.
  members[3].role = MemberRole::kCatchingUp;
  CHECK_FALSE(NextRepair(members, kSelf, member_health, RequiredVoters(1)));
  members[3].role = MemberRole::kVoter;
  change = NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->host == base::HostId("c"));
}

// Guards against the loss of all that was acknowledged when another voter loses
// its disk 4 s after the successor of a dead one has started.
TEST_CASE(
    "a silent voter is replaced before its successor counts as caught up") {
  const consensus::MemberList members = ThreeVotersAnd({"d"});
  // Leaves three ticks of 0.5 s for the changes.
  const MemberHealthMap member_health{
      {base::HostId("c"),
       {.since_last_answer = std::chrono::milliseconds(2500)}}};
  const auto change =
      NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("d"));
}

// Guards against a voter that ends on a planned shutdown and takes its vote
// with it, although another member could have it.
TEST_CASE("a voter that shuts down is replaced while it still answers") {
  consensus::MemberList members = ThreeVotersAnd({"d", "e"});
  // "b" loses its vote to "e", since "d" shuts down as well.
  const MemberHealthMap member_health{{base::HostId("b"), {.leaving = true}},
                                      {base::HostId("d"), {.leaving = true}}};
  auto change = NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("e"));
  members[4].role = MemberRole::kVoter;
  change = NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->host == base::HostId("b"));
}

// Guards against a group that removes unresponsive voters until it has lost its
// majority: it would shrink to two voters and then to none.
TEST_CASE("an unresponsive voter without a replacement is not removed") {
  const consensus::MemberList members = ThreeVotersAnd({});
  CHECK_FALSE(NextRepair(members, kSelf, Unresponsive("c"), RequiredVoters(1)));
}

// Guards against a majority of the voters in one failure domain, whose loss
// would stop the group.
TEST_CASE("voters are spread over the failure domains") {
  consensus::MemberList members = ThreeVotersAnd({"d", "e"});
  const MemberHealthMap member_health = HealthWithDomains(
      {{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}, {"e", "2"}});
  auto change = NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("e"));
  members[4].role = MemberRole::kVoter;
  change = NextRepair(members, kSelf, member_health, RequiredVoters(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->host != kSelf);
  CHECK(change->host != base::HostId("e"));
}

}  // namespace wigeonstair::scheduler
