#include "services/scheduler/member_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wigeonstair::scheduler {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(500);
constexpr base::Duration kPingTimeout = std::chrono::milliseconds(900);
constexpr base::Duration kJoinTimeout = std::chrono::seconds(2);
constexpr base::Duration kChangeTimeout = std::chrono::seconds(2);
// A voter that restarts answers sooner.
constexpr base::Duration kReplaceAfter = std::chrono::seconds(5);
// A learner that comes back later asks for a place again.
constexpr base::Duration kDropLearnerAfter = std::chrono::seconds(30);
// Survives the loss of one voter.
constexpr std::size_t kVoters = 3;

base::Duration SilenceOf(const Silences& silences, const base::HostId& host) {
  const auto found = silences.find(host);
  return found == silences.end() ? base::Duration(0) : found->second;
}

}  // namespace

std::optional<consensus::MemberChange> NextRepair(
    const consensus::MemberList& members,
    const base::HostId& self,
    const Silences& silences) {
  std::size_t voters = 0;
  std::size_t answering_voters = 0;
  const consensus::Member* silent_voter = nullptr;
  const consensus::Member* answering_learner = nullptr;
  const consensus::Member* lost_learner = nullptr;
  for (const consensus::Member& member : members) {
    const base::Duration silence = SilenceOf(silences, member.host);
    const bool answers = member.host == self || silence < kReplaceAfter;
    // One change at a time: a member that catches up is about to vote.
    if (member.role == consensus::MemberRole::kCatchingUp && answers)
      return std::nullopt;
    if (member.role == consensus::MemberRole::kVoter) {
      ++voters;
      answering_voters += answers ? 1 : 0;
      if (!answers)
        silent_voter = &member;
    } else if (answers && silence < kPingTimeout) {
      answering_learner = &member;
    } else if (silence > kDropLearnerAfter) {
      lost_learner = &member;
    }
  }
  if (answering_voters < kVoters && answering_learner != nullptr) {
    return consensus::MemberChange{
        .kind = consensus::MemberChangeKind::kAddVoter,
        .host = answering_learner->host,
        .address = answering_learner->address};
  }
  const consensus::Member* dropped =
      voters > kVoters && silent_voter != nullptr ? silent_voter : lost_learner;
  if (dropped == nullptr)
    return std::nullopt;
  return consensus::MemberChange{.kind = consensus::MemberChangeKind::kRemove,
                                 .host = dropped->host,
                                 .address = {}};
}

MemberController::MemberController(MemberControllerOptions options)
    : options_(std::move(options)) {}

void MemberController::Start() {
  options_.loop->ScheduleEvery(kTickInterval, [this] { Tick(); });
}

void MemberController::Tick() {
  const consensus::ReplicaStatus status = options_.replica->status();
  const bool listed = std::any_of(status.members.begin(), status.members.end(),
                                  [&](const consensus::Member& member) {
                                    return member.host == options_.self;
                                  });
  if (status.role == consensus::Role::kLeader) {
    Watch(status.members);
    Repair(status.members);
    return;
  }
  answered_.clear();
  // A replica that was removed while it was away still lists itself, but hears
  // no leader.
  constexpr base::Duration kUnheard = std::chrono::seconds(7);
  const bool forgotten =
      !status.since_leader_contact || *status.since_leader_contact > kUnheard;
  if (status.role != consensus::Role::kForming && (!listed || forgotten))
    Join();
}

void MemberController::Join() {
  if (std::exchange(join_in_flight_, true))
    return;
  options_.leader->Send(
      jobs::JoinCall{.host = options_.self, .address = options_.address},
      base::MonotonicClock::now() + kJoinTimeout,
      [this](const jobs::CallResultOfLeader&) { join_in_flight_ = false; });
}

void MemberController::Watch(const consensus::MemberList& members) {
  const base::Instant now = base::MonotonicClock::now();
  for (const consensus::Member& member : members) {
    if (member.host == options_.self)
      continue;
    answered_.try_emplace(member.host, now);
    const auto channel = options_.channels->Open(member.address);
    if (!channel)
      continue;
    channel->Call(jobs::kCallMessage, jobs::EncodeCall(jobs::PingCall{}),
                  kPingTimeout,
                  [this, host = member.host](const net::CallOutcome& outcome) {
                    if (!std::holds_alternative<std::string>(outcome))
                      return;
                    const auto known = answered_.find(host);
                    if (known != answered_.end())
                      known->second = base::MonotonicClock::now();
                  });
  }
}

void MemberController::Repair(const consensus::MemberList& members) {
  if (change_in_flight_)
    return;
  const base::Instant now = base::MonotonicClock::now();
  Silences silences;
  for (const auto& [host, at] : answered_)
    silences[host] = now - at;
  const auto change = NextRepair(members, options_.self, silences);
  if (!change)
    return;
  change_in_flight_ = true;
  options_.replica->ChangeMembers(
      *change, kChangeTimeout, [this](const consensus::ChangeOutcome&) {
        options_.loop->Post([this] { change_in_flight_ = false; });
      });
}

}  // namespace wigeonstair::scheduler
