#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "jobs/dispatcher.h"

namespace wigeonstair::jobs {

namespace {

// Number of heartbeat intervals without contact after which a worker gets no
// new tasks.
constexpr int kMissedHeartbeats = 2;
constexpr base::Duration kHeartbeatSlack = std::chrono::milliseconds(400);

// A worker of an unresponsive domain that answered within this time is still
// used.
constexpr base::Duration kRecentAnswer = std::chrono::milliseconds(400);

constexpr base::Duration kExplanationInterval = std::chrono::seconds(1);
// A step that waits for less gets no line.
constexpr std::uint64_t kUnexplainedWaitMs = 2000;
// Maximum number of lines in a sample; the steps that wait longest come first.
constexpr std::size_t kMaximumExplanations = 8;

// The workers without the resources that are kept for other steps.
std::vector<CandidateWorker> WithoutReservations(
    std::vector<CandidateWorker> workers) {
  for (CandidateWorker& worker : workers) {
    worker.claimed = {};
    worker.urgent_only = false;
    worker.usable_ms = std::numeric_limits<double>::infinity();
  }
  return workers;
}

}  // namespace

std::optional<std::string_view> Dispatcher::UnusableReason(
    const Worker& worker,
    const std::set<base::DomainId>& unresponsive_domains,
    const Now& now) const {
  const WorkerDescription& description = worker.description;
  if (description.phase != WorkerPhase::kReady || worker.deregisters_at)
    return "leaving";
  if (!store_.InService(description.domain))
    return "domain_out_of_service";
  if (worker.unanswered_at)
    return "unanswered_call";
  if (unresponsive_domains.contains(description.domain) &&
      now.instant - worker.answered_at > kRecentAnswer)
    return "unresponsive_domain";
  if (now.instant - worker.last_contact_at >=
      kMissedHeartbeats * options_.heartbeat + kHeartbeatSlack)
    return "no_heartbeat";
  if (!worker.clock_ms || !worker.listed_in_term)
    return "not_listed_yet";
  if (now.instant < worker.avoid_until ||
      now.instant < worker.unanswered_pause_until)
    return "paused";
  return std::nullopt;
}

std::string_view Dispatcher::WaitReason(
    const ReadyStep& ready,
    RackRule rule,
    const std::vector<CandidateWorker>& unreserved) const {
  if (claims_.contains(ready.step))
    return "preempted_runs_end";
  const PlanRequest request = RequestOf(ready);
  if (std::none_of(unreserved.begin(), unreserved.end(),
                   [&](const CandidateWorker& candidate) {
                     return Accepts(candidate, request);
                   })) {
    return "no_usable_worker";
  }
  const std::vector<std::uint32_t> used = TasksPerWorker(unreserved, ready);
  const auto fits = [&](RackRule tried) {
    return ready.spec->gang
               ? PlanAll(unreserved, used, request, tried).has_value()
               : !PlanSome(unreserved, used, request, tried).workers.empty();
  };
  if (fits(rule))
    return "reserved_for_others";
  return fits(RackRule::kAnyRack) ? "no_rack_with_room" : "no_room";
}

void Dispatcher::ExplainWaiting(const ReadySteps& ready,
                                Round& round,
                                const Now& now) {
  if (now.instant < next_explanation_at_)
    return;
  next_explanation_at_ = now.instant + kExplanationInterval;
  unused_workers_.clear();
  const std::set<base::DomainId> unresponsive = UnresponsiveDomains(now);
  for (const auto& [id, worker] : workers_) {
    if (const auto reason = UnusableReason(worker, unresponsive, now))
      ++unused_workers_[*reason];
  }
  struct Explanation {
    std::uint64_t waited_ms = 0;
    TaskRef task;
    std::string_view reason;
  };
  std::vector<Explanation> explanations;
  waiting_steps_.clear();
  const auto add = [&](const TaskRef& task, std::uint64_t due_ms,
                       std::string_view reason) {
    ++waiting_steps_[reason];
    const std::uint64_t waited_ms = now.wall_ms - std::min(now.wall_ms, due_ms);
    if (waited_ms >= kUnexplainedWaitMs)
      explanations.push_back(
          {.waited_ms = waited_ms, .task = task, .reason = reason});
  };
  std::set<StepRef> placed;
  for (const Placement& placement : round.placements)
    placed.insert(StepOf(placement.task));
  const std::vector<CandidateWorker> unreserved =
      WithoutReservations(round.workers);
  // Steps of one shape have the same reason but for their number of tasks; the
  // first one stands for all, so that a long queue costs little.
  std::map<std::pair<Shape, bool>, std::string_view> reasons;
  for (const ReadyStep* waiting : ready.steps) {
    const ReadyStep& entry = *waiting;
    if (entry.waiting.empty() ||
        (entry.spec->gang && placed.contains(entry.step)))
      continue;
    const TaskRef first{.job = entry.step.job,
                        .occurrence = entry.step.occurrence,
                        .step = entry.step.step,
                        .index = entry.waiting.front()};
    if (entry.allowed == 0) {
      add(first, entry.due_ms,
          caps_.WaitReason(entry.job->customer, *entry.spec));
      continue;
    }
    const RackRule rule = RackRuleFor(entry, round, now);
    const auto [reason, is_new] = reasons.try_emplace(
        {ShapeOf(entry, rule), claims_.contains(entry.step)});
    if (is_new)
      reason->second = WaitReason(entry, rule, unreserved);
    add(first, entry.due_ms, reason->second);
  }
  for (const auto& [task, job] : ready.held)
    add(task, job->DueMs(task.occurrence), "earlier_run_not_ended");
  const std::size_t lines = std::min(kMaximumExplanations, explanations.size());
  std::partial_sort(
      explanations.begin(),
      explanations.begin() + static_cast<std::ptrdiff_t>(lines),
      explanations.end(), [](const Explanation& a, const Explanation& b) {
        return std::tie(b.waited_ms, a.task) < std::tie(a.waited_ms, b.task);
      });
  for (std::size_t i = 0; i < lines; ++i) {
    RecordDecision("wait", {.task = explanations[i].task}, {},
                   std::string(explanations[i].reason), now,
                   std::chrono::milliseconds(explanations[i].waited_ms));
  }
}

std::string_view Dispatcher::FindStaleState(const Now& now) {
  RefreshOpenJobs(now);
  OpenJobIndex jobs(store_, [this](const auto&... arguments) {
    return HoldOf(arguments...);
  });
  jobs.Refresh(open_jobs_.due_by_ms(), now);
  if (!open_jobs_.HasSameContent(jobs))
    return "open jobs";
  UpdateCandidates(now);
  const std::vector<CandidateWorker> kept = std::exchange(candidates_, {});
  candidates_revision_ = 0;
  UpdateCandidates(now);
  if (kept != candidates_)
    return "candidates";
  std::map<WorkerIncarnation, Resources> in_use;
  Resources urgent;
  for (auto& [key, run] : runs_) {
    in_use[run.worker] += run.resources;
    urgent += run.priority == 0 ? run.resources : Resources{};
    if (WorkerOf(run) != FindWorker(run.worker))
      return "workers of runs";
  }
  const bool same_use = std::equal(
      in_use.begin(), in_use.end(), runs_by_worker_.begin(),
      runs_by_worker_.end(), [](const auto& recount, const auto& kept_use) {
        return recount.first == kept_use.first &&
               recount.second == kept_use.second.in_use;
      });
  return same_use && urgent == urgent_in_use_ ? "" : "resources in use";
}

}  // namespace wigeonstair::jobs
