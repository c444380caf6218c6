#include "services/scheduler/member_controller.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace wigeonstair::scheduler {

namespace {

using consensus::MemberChangeKind;
using consensus::MemberRole;

consensus::Member Host(const std::string& name, MemberRole role) {
  return {.host = base::HostId(name), .address = name, .role = role};
}

constexpr base::Duration kLong = std::chrono::seconds(8);

const base::HostId kSelf("a");

MemberViews Silent(const std::string& host) {
  return {{base::HostId(host), {.silence = kLong}}};
}

// One host a letter; those with the same digit share a failure domain.
MemberViews Domains(const std::map<std::string, std::string>& domains) {
  MemberViews views;
  for (const auto& [host, domain] : domains)
    views[base::HostId(host)] = {.domain = base::DomainId(domain)};
  return views;
}

}  // namespace

TEST_CASE("a whole group is left alone") {
  const consensus::MemberList members{
      Host("a", MemberRole::kVoter), Host("b", MemberRole::kVoter),
      Host("c", MemberRole::kVoter), Host("d", MemberRole::kLearner)};
  CHECK_FALSE(NextRepair(members, kSelf, {}, VotersFor(1)));
}

// Guards against the loss of what was acknowledged when two hosts lose their
// disks at once: trouble-2 of prg-returns-grown, closing (wipe_after_ack).
TEST_CASE("a group that must bear two losses grows to five voters") {
  consensus::MemberList members{
      Host("a", MemberRole::kVoter),   Host("b", MemberRole::kVoter),
      Host("c", MemberRole::kVoter),   Host("d", MemberRole::kLearner),
      Host("e", MemberRole::kLearner), Host("f", MemberRole::kLearner)};
  int added = 0;
  while (const auto change = NextRepair(members, kSelf, {}, VotersFor(2))) {
    REQUIRE(change->kind == MemberChangeKind::kAddVoter);
    for (consensus::Member& member : members) {
      if (member.host == change->host)
        member.role = MemberRole::kVoter;
    }
    REQUIRE(++added <= 2);
  }
  CHECK(added == 2);
}

TEST_CASE("a learner takes the place of a voter that is silent for long") {
  consensus::MemberList members{
      Host("a", MemberRole::kVoter), Host("b", MemberRole::kVoter),
      Host("c", MemberRole::kVoter), Host("d", MemberRole::kLearner)};
  const MemberViews views = Silent("c");
  auto change = NextRepair(members, kSelf, views, VotersFor(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("d"));
  // One change at a time: no voter is dropped while another catches up.
  members[3].role = MemberRole::kCatchingUp;
  CHECK_FALSE(NextRepair(members, kSelf, views, VotersFor(1)));
  members[3].role = MemberRole::kVoter;
  change = NextRepair(members, kSelf, views, VotersFor(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->host == base::HostId("c"));
}

// Guards against a group that shrinks to two voters and then to none.
TEST_CASE("a silent voter without a replacement keeps its place") {
  const consensus::MemberList members{Host("a", MemberRole::kVoter),
                                      Host("b", MemberRole::kVoter),
                                      Host("c", MemberRole::kVoter)};
  CHECK_FALSE(NextRepair(members, kSelf, Silent("c"), VotersFor(1)));
}

// Guards against a failure domain that holds a majority of the voters.
TEST_CASE("voters spread over the failure domains") {
  consensus::MemberList members{
      Host("a", MemberRole::kVoter), Host("b", MemberRole::kVoter),
      Host("c", MemberRole::kVoter), Host("d", MemberRole::kLearner),
      Host("e", MemberRole::kLearner)};
  const MemberViews views =
      Domains({{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "1"}, {"e", "2"}});
  auto change = NextRepair(members, kSelf, views, VotersFor(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kAddVoter);
  CHECK(change->host == base::HostId("e"));
  members[4].role = MemberRole::kVoter;
  change = NextRepair(members, kSelf, views, VotersFor(1));
  REQUIRE(change);
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->host != kSelf);
  CHECK(change->host != base::HostId("e"));
}

}  // namespace wigeonstair::scheduler
