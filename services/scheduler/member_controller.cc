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
// A voter that restarts answers sooner.
constexpr base::Duration kReplaceAfter = std::chrono::seconds(5);
// A learner that comes back later asks for a place again.
constexpr base::Duration kDropLearnerAfter = std::chrono::seconds(30);

// What the next repair is chosen from.
struct Survey {
  std::vector<const consensus::Member*> answering_voters;
  std::vector<const consensus::Member*> silent_voters;
  // Learners that could vote now.
  std::vector<const consensus::Member*> ready_learners;
  const consensus::Member* lost_learner = nullptr;
  // A member that catches up is about to vote.
  bool changing = false;
};

MemberView ViewOf(const MemberViews& views, const base::HostId& host) {
  const auto found = views.find(host);
  return found == views.end() ? MemberView{} : found->second;
}

Survey Look(const consensus::MemberList& members,
            const base::HostId& self,
            const MemberViews& views) {
  Survey survey;
  for (const consensus::Member& member : members) {
    const base::Duration silence = ViewOf(views, member.host).silence;
    const bool answers = member.host == self || silence < kReplaceAfter;
    if (member.role == consensus::MemberRole::kCatchingUp && answers)
      survey.changing = true;
    if (member.role == consensus::MemberRole::kVoter) {
      (answers ? survey.answering_voters : survey.silent_voters)
          .push_back(&member);
    } else if (answers && silence < kPingTimeout) {
      survey.ready_learners.push_back(&member);
    } else if (silence > kDropLearnerAfter) {
      survey.lost_learner = &member;
    }
  }
  return survey;
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

std::size_t VotersFor(std::size_t losses) {
  return 2 * losses + 1;
}

std::optional<consensus::MemberChange> NextRepair(
    const consensus::MemberList& members,
    const base::HostId& self,
    const MemberViews& views,
    std::size_t voters) {
  const Survey survey = Look(members, self, views);
  if (survey.changing)
    return std::nullopt;
  std::map<base::DomainId, std::size_t> crowd;
  for (const consensus::Member* voter : survey.answering_voters)
    ++crowd[ViewOf(views, voter->host).domain];
  const auto crowd_of = [&](const consensus::Member* member) {
    const auto found = crowd.find(ViewOf(views, member->host).domain);
    return found == crowd.end() ? 0 : found->second;
  };
  const auto by_crowd = [&](const consensus::Member* a,
                            const consensus::Member* b) {
    return crowd_of(a) < crowd_of(b);
  };
  const auto learner = std::min_element(survey.ready_learners.begin(),
                                        survey.ready_learners.end(), by_crowd);
  const bool has_learner = learner != survey.ready_learners.end();
  // The leader keeps its own place.
  std::vector<const consensus::Member*> others = survey.answering_voters;
  std::erase_if(others, [&](const consensus::Member* voter) {
    return voter->host == self;
  });
  const auto crowded = std::max_element(others.begin(), others.end(), by_crowd);
  const bool has_voter = crowded != others.end();
  const std::size_t answering = survey.answering_voters.size();
  if (answering < voters && has_learner)
    return Add(**learner);
  if (answering + survey.silent_voters.size() > voters) {
    if (!survey.silent_voters.empty())
      return Remove(*survey.silent_voters.back());
    if (has_voter)
      return Remove(**crowded);
  }
  const bool uneven = answering == voters && has_learner && has_voter &&
                      crowd_of(*crowded) > crowd_of(*learner) + 1;
  if (uneven)
    return Add(**learner);
  return survey.lost_learner == nullptr
             ? std::nullopt
             : std::optional(Remove(*survey.lost_learner));
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
  answers_.clear();
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
      [this](const jobs::LeaderCallResult&) { join_in_flight_ = false; });
}

void MemberController::Watch(const consensus::MemberList& members) {
  const base::Instant now = base::MonotonicClock::now();
  for (const consensus::Member& member : members) {
    if (member.host == options_.self)
      continue;
    answers_.try_emplace(member.host, Answer{.at = now});
    const auto channel = options_.channels->Open(member.address);
    if (!channel)
      continue;
    channel->Call(jobs::kCallMessage, jobs::EncodeCall(jobs::PingCall{}),
                  kPingTimeout,
                  [this, host = member.host](const net::CallOutcome& outcome) {
                    NoteAnswer(host, outcome);
                  });
  }
}

void MemberController::NoteAnswer(const base::HostId& host,
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

void MemberController::Repair(const consensus::MemberList& members) {
  if (change_in_flight_)
    return;
  const base::Instant now = base::MonotonicClock::now();
  MemberViews views{{options_.self, {.domain = options_.domain}}};
  for (const auto& [host, answer] : answers_)
    views[host] = {.silence = now - answer.at, .domain = answer.domain};
  const auto change = NextRepair(members, options_.self, views,
                                 VotersFor(options_.tolerated_losses));
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
        options_.loop->Post([this] { change_in_flight_ = false; });
      });
}

}  // namespace wigeonstair::scheduler
