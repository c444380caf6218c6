#include "services/scheduler/member_controller.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace wigeonstair::scheduler {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(500);
constexpr base::Duration kPingTimeout = std::chrono::milliseconds(900);
constexpr base::Duration kJoinTimeout = std::chrono::seconds(2);
constexpr base::Duration kChangeTimeout = std::chrono::seconds(2);
// A host that was replaced counts as lost until its successor has run for 4 s.
// After that another voter may lose its disk, so by then the successor must be
// a voter and the replaced host must not be one any more.
constexpr base::Duration kReplaceVoterAfter = std::chrono::seconds(2);
// Delay before the change that follows another one. A learner that has caught
// up becomes a voter within this time.
constexpr base::Duration kNextChangeDelay = std::chrono::milliseconds(100);
// A learner that is removed and comes back later asks to join again.
constexpr base::Duration kRemoveLearnerAfter = std::chrono::seconds(30);

// The members grouped by role and reachability; input to NextRepair().
struct MembershipSummary {
  std::vector<const consensus::Member*> live_voters;
  std::vector<const consensus::Member*> unresponsive_voters;
  // Learners that answer pings now and can become voters.
  std::vector<const consensus::Member*> ready_learners;
  const consensus::Member* expired_learner = nullptr;
  // A reachable member is catching up and will become a voter.
  bool change_in_progress = false;
};

MemberHealth HealthOf(const MemberHealthMap& member_health,
                      const base::HostId& host) {
  const auto found = member_health.find(host);
  return found == member_health.end() ? MemberHealth{} : found->second;
}

MembershipSummary SummarizeMembers(const consensus::MemberList& members,
                                   const base::HostId& self,
                                   const MemberHealthMap& member_health) {
  MembershipSummary summary;
  for (const consensus::Member& member : members) {
    const MemberHealth health = HealthOf(member_health, member.host);
    const base::Duration since_last_answer = health.since_last_answer;
    const bool answers =
        member.host == self ||
        (since_last_answer < kReplaceVoterAfter && !health.leaving);
    if (member.role == consensus::MemberRole::kCatchingUp && answers)
      summary.change_in_progress = true;
    if (member.role == consensus::MemberRole::kVoter) {
      (answers ? summary.live_voters : summary.unresponsive_voters)
          .push_back(&member);
    } else if (answers && since_last_answer < kPingTimeout) {
      summary.ready_learners.push_back(&member);
    } else if (since_last_answer > kRemoveLearnerAfter) {
      summary.expired_learner = &member;
    }
  }
  return summary;
}

consensus::MemberChange Add(const consensus::Member& learner) {
  return {.kind = consensus::MemberChangeKind::kAddVoter,
          .host = learner.host,
          .address = learner.address};
}

consensus::MemberChange Remove(const consensus::Member& member) {
  return {.kind = consensus::MemberChangeKind::kRemove,
          .host = member.host,
          .address = {}};
}

}  // namespace

std::size_t RequiredVoters(std::size_t losses) {
  return 2 * losses + 1;
}

std::optional<consensus::MemberChange> NextRepair(
    const consensus::MemberList& members,
    const base::HostId& self,
    const MemberHealthMap& member_health,
    std::size_t voters) {
  const MembershipSummary summary =
      SummarizeMembers(members, self, member_health);
  if (summary.change_in_progress)
    return std::nullopt;
  std::map<base::DomainId, std::size_t> voters_per_domain;
  for (const consensus::Member* voter : summary.live_voters)
    ++voters_per_domain[HealthOf(member_health, voter->host).domain];
  const auto domain_voters = [&](const consensus::Member* member) {
    const auto found =
        voters_per_domain.find(HealthOf(member_health, member->host).domain);
    return found == voters_per_domain.end() ? 0 : found->second;
  };
  const auto by_domain_voters = [&](const consensus::Member* a,
                                    const consensus::Member* b) {
    return domain_voters(a) < domain_voters(b);
  };
  const auto learner =
      std::min_element(summary.ready_learners.begin(),
                       summary.ready_learners.end(), by_domain_voters);
  const bool has_learner = learner != summary.ready_learners.end();
  // The leader never removes itself.
  std::vector<const consensus::Member*> others = summary.live_voters;
  std::erase_if(others, [&](const consensus::Member* voter) {
    return voter->host == self;
  });
  const auto most_crowded =
      std::max_element(others.begin(), others.end(), by_domain_voters);
  const bool has_voter = most_crowded != others.end();
  const std::size_t answering = summary.live_voters.size();
  if (answering < voters && has_learner)
    return Add(**learner);
  if (answering + summary.unresponsive_voters.size() > voters) {
    if (!summary.unresponsive_voters.empty())
      return Remove(*summary.unresponsive_voters.back());
    if (has_voter)
      return Remove(**most_crowded);
  }
  const bool rebalance =
      answering == voters && has_learner && has_voter &&
      domain_voters(*most_crowded) > domain_voters(*learner) + 1;
  if (rebalance)
    return Add(**learner);
  return summary.expired_learner == nullptr
             ? std::nullopt
             : std::optional(Remove(*summary.expired_learner));
}

MemberController::MemberController(MemberControllerOptions options)
    : options_(std::move(options)) {}

void MemberController::Start() {
  options_.loop->ScheduleEvery(kTickInterval, [this] { Tick(); });
}

void MemberController::Tick() {
  const consensus::ReplicaStatus status = options_.replica->status();
  const bool is_member =
      std::any_of(status.members.begin(), status.members.end(),
                  [&](const consensus::Member& member) {
                    return member.host == options_.self;
                  });
  if (status.role == consensus::Role::kLeader) {
    PingMembers(status.members);
    Repair();
    return;
  }
  answers_.clear();
  releases_.clear();
  if (!status.leader.empty() && status.since_leader_contact) {
    answers_[status.leader] = {.at = base::MonotonicClock::now() -
                                     *status.since_leader_contact};
  }
  // A replica that was removed while it was unreachable still finds itself in
  // its own member list, but no leader contacts it any more.
  constexpr base::Duration kLeaderContactTimeout = std::chrono::seconds(7);
  const bool lost_contact =
      !status.since_leader_contact ||
      *status.since_leader_contact > kLeaderContactTimeout;
  if (status.role != consensus::Role::kForming && (!is_member || lost_contact))
    Join();
}

void MemberController::Join() {
  if (std::exchange(join_in_flight_, true))
    return;
  options_.leader->Send(
      jobs::JoinCall{.host = options_.self, .address = options_.address},
      base::MonotonicClock::now() + kJoinTimeout,
      [this](const jobs::LeaderCallResult&) { join_in_flight_ = false; });
}

void MemberController::PingMembers(const consensus::MemberList& members) {
  const base::Instant now = base::MonotonicClock::now();
  for (const consensus::Member& member : members) {
    if (member.host == options_.self)
      continue;
    const bool was_leader = last_leader_ && last_leader_->host == member.host;
    answers_.try_emplace(member.host,
                         Answer{.at = was_leader ? last_leader_->at : now});
    const auto channel = options_.channels->Open(member.address);
    if (!channel)
      continue;
    channel->Call(jobs::kCallMessage, jobs::EncodeCall(jobs::PingCall{}),
                  kPingTimeout,
                  [this, host = member.host](const net::CallOutcome& outcome) {
                    RecordAnswer(host, outcome);
                  });
  }
  last_leader_.reset();
}

void MemberController::RecordAnswer(const base::HostId& host,
                                    const net::CallOutcome& outcome) {
  const auto* body = std::get_if<std::string>(&outcome);
  const auto known = answers_.find(host);
  if (body == nullptr || known == answers_.end())
    return;
  const auto envelope =
      base::Capture([&] { return jobs::DecodeEnvelope(*body); });
  if (const auto* decoded = std::get_if<jobs::Envelope>(&envelope))
    known->second = {.at = base::MonotonicClock::now(),
                     .domain = decoded->domain};
}

std::optional<consensus::MemberChange> MemberController::NextChange(
    const consensus::MemberList& members) const {
  const base::Instant now = base::MonotonicClock::now();
  MemberHealthMap member_health{{options_.self, {.domain = options_.domain}}};
  for (const auto& [host, answer] : answers_)
    member_health[host] = {.since_last_answer = now - answer.at,
                           .domain = answer.domain};
  // After this time the silence of the host tells that it has ended.
  for (const auto& [host, released_at] : releases_) {
    if (now - released_at < kReplaceVoterAfter)
      member_health[host].leaving = true;
  }
  return NextRepair(members, options_.self, member_health,
                    RequiredVoters(options_.tolerated_losses));
}

bool MemberController::ReleaseVote(const base::HostId& host) {
  const base::Instant now = base::MonotonicClock::now();
  std::erase_if(releases_, [&](const auto& release) {
    return now - release.second >= kReplaceVoterAfter;
  });
  releases_[host] = now;
  const consensus::MemberList members = options_.replica->status().members;
  const bool votes = std::any_of(
      members.begin(), members.end(), [&](const consensus::Member& member) {
        return member.host == host &&
               member.role == consensus::MemberRole::kVoter;
      });
  if (!votes)
    return true;
  const bool in_progress =
      change_in_flight_ ||
      std::any_of(members.begin(), members.end(),
                  [](const consensus::Member& member) {
                    return member.role == consensus::MemberRole::kCatchingUp;
                  });
  Repair();
  return !in_progress && !change_in_flight_;
}

void MemberController::Repair() {
  const consensus::ReplicaStatus status = options_.replica->status();
  if (change_in_flight_ || status.role != consensus::Role::kLeader)
    return;
  const auto change = NextChange(status.members);
  if (!change)
    return;
  change_in_flight_ = true;
  options_.replica->ChangeMembers(
      *change, kChangeTimeout,
      [this, host = change->host](const consensus::ChangeOutcome& outcome) {
        if (const auto* error = std::get_if<base::Error>(&outcome)) {
          options_.log->Warning(
              base::EventNumber::kMemberChangeFailed,
              {{"member", host.value()}, {"reason", error->ToString()}});
        }
        const bool failed = std::holds_alternative<base::Error>(outcome);
        options_.loop->Post([this, failed] {
          change_in_flight_ = false;
          if (!failed)
            options_.loop->Schedule(kNextChangeDelay, [this] { Repair(); });
        });
      });
}

}  // namespace wigeonstair::scheduler
