#include "authority/take_out_tracker.h"

#include <algorithm>
#include <string_view>

namespace wigeonstair::authority {

namespace {

struct Process {
  base::HostId host;
  ProcessRole role = ProcessRole::kControl;
  ProcessObservation observed;
};

std::string Seconds(base::Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::seconds>(duration)
                 .count()) +
         " s";
}

// Large enough that after a burst of changes it is still known since when an
// older one has been applied.
constexpr std::size_t kMaximumRevisions = 64;

}  // namespace

void AppliedHistory::Note(std::uint64_t revision, base::Instant now) {
  if (revision <= this->revision())
    return;
  since_.emplace(revision, now);
  if (since_.size() > kMaximumRevisions)
    since_.erase(since_.begin());
}

std::uint64_t AppliedHistory::revision() const {
  return since_.empty() ? 0 : since_.rbegin()->first;
}

std::optional<base::Instant> AppliedHistory::Since(
    std::uint64_t revision) const {
  const auto first = since_.lower_bound(revision);
  return first == since_.end() ? std::nullopt : std::optional(first->second);
}

// The processes of one domain and how far they have applied the revision of the
// query.
struct TakeOutTracker::DomainView {
  const cluster::DomainConfiguration* domain = nullptr;
  std::vector<Process> processes;
  // The last contact with any of the processes.
  base::Instant last_heard = base::Instant::min();
  base::Instant applied_here{};
  bool control_alive = false;
  // Whether every control process has applied the revision, including those
  // that were lost afterwards.
  bool control_applied = true;
  std::size_t control_hosts = 0;
  // The number of control hosts that are alive and have applied the revision,
  // and when the last of them did.
  std::size_t applied_hosts = 0;
  base::Instant applied_since = base::Instant::min();

  // Whether the hosts that are not known to have applied the revision are too
  // few to elect one of them. The others do not vote for them, because their
  // member list is older.
  bool StaleHostsLackMajority() const {
    return control_hosts - applied_hosts < control_hosts / 2 + 1;
  }
};

TakeOutTracker::DomainView TakeOutTracker::ViewOf(
    const cluster::DomainConfiguration& domain,
    const TakeOutQuery& query) const {
  DomainView view{.domain = &domain, .applied_here = query.applied_here};
  const auto add_process = [&](const base::HostId& host, ProcessRole role) {
    const auto known = query.observed->find({host, role});
    Process process{.host = host, .role = role};
    process.observed =
        known != query.observed->end()
            ? known->second
            : ProcessObservation{.last_heard = query.observed_since};
    view.last_heard = std::max(view.last_heard, process.observed.last_heard);
    view.processes.push_back(std::move(process));
  };
  for (const cluster::HostConfiguration& host : query.configuration->hosts) {
    if (host.domain != domain.id)
      continue;
    if (!host.control_http.empty() || !host.control_messages.empty())
      add_process(host.id, ProcessRole::kControl);
    if (!host.entry_http.empty() || !host.entry_messages.empty())
      add_process(host.id, ProcessRole::kEntry);
  }
  for (const Process& process : view.processes) {
    if (process.role != ProcessRole::kControl)
      continue;
    ++view.control_hosts;
    const auto since = process.observed.applied.Since(query.revision);
    if (!since)
      view.control_applied = false;
    if (process.observed.liveness != Liveness::kAlive)
      continue;
    view.control_alive = true;
    if (!since)
      continue;
    ++view.applied_hosts;
    view.applied_since = std::max(view.applied_since, *since);
  }
  return view;
}

std::vector<MissingConfirmation> TakeOutTracker::Missing(
    const TakeOutQuery& query,
    base::Instant now) const {
  std::vector<MissingConfirmation> missing;
  for (const cluster::DomainConfiguration& domain :
       query.configuration->domains) {
    if (query.domains.empty() || query.domains.contains(domain.id))
      AddMissing(ViewOf(domain, query), query, now, missing);
  }
  return missing;
}

void TakeOutTracker::AddMissing(
    const DomainView& view,
    const TakeOutQuery& query,
    base::Instant now,
    std::vector<MissingConfirmation>& missing) const {
  // No control process can be reached, but cut off from the observer they may
  // still elect an authority among themselves.
  if (!view.control_alive && !view.control_applied) {
    if (AutonomyRunOut(view, view.last_heard, now))
      return;
    missing.push_back(
        {.kind = MissingKind::kDomain,
         .id = view.domain->id.value(),
         .why = "cannot be reached; " +
                (view.domain->autonomy_seconds
                     ? "without the cluster log it may start tasks for " +
                           std::to_string(*view.domain->autonomy_seconds) + " s"
                     : std::string("its autonomy is unlimited"))});
    return;
  }
  std::map<base::HostId, std::string> why;
  for (const Process& process : view.processes) {
    if (process.observed.applied.Since(query.revision))
      continue;
    const std::string reason =
        process.role == ProcessRole::kControl
            ? WhyControlMissing(view, process.observed, now)
            : WhyEntryMissing(view, process.observed, now);
    if (!reason.empty())
      why.emplace(process.host, reason);
  }
  for (const auto& [host, reason] : why) {
    missing.push_back(
        {.kind = MissingKind::kHost, .id = host.value(), .why = reason});
  }
}

std::string TakeOutTracker::WhyControlMissing(const DomainView& view,
                                              const ProcessObservation& process,
                                              base::Instant now) const {
  if (process.liveness == Liveness::kAlive)
    return "control process has not applied the change";
  if (process.liveness == Liveness::kSuspect)
    return "control process does not answer";
  if (fault_ == PlantedFault::kAssumeStopped ||
      AutonomyRunOut(view, process.last_heard, now))
    return {};
  if (!view.StaleHostsLackMajority())
    return "control process is lost and may still be elected in its domain";
  const base::Instant stopped =
      std::max(process.last_heard, view.applied_since) +
      WithDrift(limits_.authority_lease);
  if (now >= stopped)
    return {};
  return "control process is lost and may hold the authority lease for " +
         Seconds(stopped - now + std::chrono::milliseconds(999));
}

std::string TakeOutTracker::WhyEntryMissing(const DomainView& view,
                                            const ProcessObservation& process,
                                            base::Instant now) const {
  if (process.liveness == Liveness::kAlive)
    return "entry process has not applied the change";
  if (process.liveness == Liveness::kSuspect)
    return "entry process does not answer";
  const base::Instant stopped =
      process.last_heard + WithDrift(limits_.entry_grace);
  if (fault_ == PlantedFault::kAssumeStopped || now >= stopped ||
      AutonomyRunOut(view, process.last_heard, now))
    return {};
  return "entry process is lost and may still use an old cluster view";
}

bool TakeOutTracker::AutonomyRunOut(const DomainView& view,
                                    base::Instant last_heard,
                                    base::Instant now) const {
  if (fault_ == PlantedFault::kAssumeStopped)
    return true;
  if (!view.domain->autonomy_seconds)
    return false;
  // Every contact with the log after the commit of the change brings the change
  // with it. A process without the change therefore had its last contact before
  // this host applied the change.
  const base::Duration autonomy =
      std::chrono::seconds(*view.domain->autonomy_seconds);
  return now >= std::max(last_heard, view.applied_here) +
                    WithDrift(autonomy + limits_.authority_lease);
}

base::Duration TakeOutTracker::WithDrift(base::Duration duration) const {
  return duration + duration * limits_.drift_percent / 100;
}

std::set<base::DomainId> TakeOutTracker::StoppedDomains(
    const TakeOutQuery& query,
    const std::map<base::DomainId, cluster::DomainState>& states,
    base::Instant now) const {
  std::set<base::DomainId> stopped;
  for (const cluster::DomainConfiguration& domain :
       query.configuration->domains) {
    const auto state = states.find(domain.id);
    if (state == states.end() ||
        state->second.status != cluster::DomainStatus::kOut)
      continue;
    TakeOutQuery domain_query = query;
    domain_query.revision = state->second.revision;
    domain_query.domains = {domain.id};
    const DomainView view = ViewOf(domain, domain_query);
    const bool has_authority = std::any_of(
        view.processes.begin(), view.processes.end(), [](const Process& p) {
          return p.observed.liveness != Liveness::kDead &&
                 p.observed.holds_authority;
        });
    // Tasks run on until their lease expires, so the domain must have stopped
    // acting at least one task lease ago.
    const base::Instant before = now - WithDrift(limits_.task_lease);
    if (!has_authority && view.applied_since <= before &&
        Missing(domain_query, before).empty())
      stopped.insert(domain.id);
  }
  return stopped;
}

}  // namespace wigeonstair::authority
