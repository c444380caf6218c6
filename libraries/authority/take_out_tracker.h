#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_TAKE_OUT_TRACKER_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_TAKE_OUT_TRACKER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "authority/planted_fault.h"
#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/cluster_state.h"
#include "cluster/configuration.h"

namespace wigeonstair::authority {

enum class ProcessRole : std::uint8_t { kControl, kEntry };
enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead };

// When the observer learned that a process had applied each revision. Keeps a
// bounded number of the newest entries. A revision older than those counts from
// the oldest entry kept, which is later than the truth and therefore safe.
class AppliedHistory {
 public:
  void Note(std::uint64_t revision, base::Instant now);
  // The newest revision applied; 0 when there is none.
  std::uint64_t revision() const;
  // When the process was known to have applied `revision`. Empty when it has
  // not applied it.
  std::optional<base::Instant> Since(std::uint64_t revision) const;

 private:
  std::map<std::uint64_t, base::Instant> since_;
};

// The state of one process as the observer knows it.
struct ProcessObservation {
  Liveness liveness = Liveness::kDead;
  // The last instant at which the process may have been in contact with others.
  base::Instant last_heard{};
  AppliedHistory applied;
  // Whether the process reported that it holds its domain's authority.
  bool holds_authority = false;
};

// By host and role. A process without an entry counts as dead since
// TakeOutQuery::observed_since.
using ObservationMap =
    std::map<std::pair<base::HostId, ProcessRole>, ProcessObservation>;

// Added to the task lease: when the lease of a task has expired, its worker
// writes a last checkpoint before it stops the task.
inline constexpr base::Duration kLastCheckpointTime = std::chrono::seconds(5);

// How long processes that have lost contact may go on acting.
struct TakeOutLimits {
  base::Duration authority_lease = std::chrono::milliseconds(2000);
  // How long an entry process that is cut off from its domain may use an old
  // view of the cluster state.
  base::Duration entry_grace = std::chrono::seconds(5);
  // How long a worker runs a task whose lease no authority renews, including
  // the last checkpoint.
  base::Duration task_lease = std::chrono::seconds(10) + kLastCheckpointTime;
  int drift_percent = 1;
};

struct TakeOutQuery {
  // Both must outlive the call.
  const cluster::ClusterConfiguration* configuration = nullptr;
  const ObservationMap* observed = nullptr;
  // The revision of the change.
  std::uint64_t revision = 0;
  // When the observer applied `revision`, which is after its commit.
  base::Instant applied_here{};
  // When the observer started.
  base::Instant observed_since{};
  // The domains to check; empty means every domain.
  std::set<base::DomainId> domains;
};

enum class MissingKind : std::uint8_t { kHost, kDomain };

// A host or a whole domain that may still act on the state before the change.
struct MissingConfirmation {
  MissingKind kind = MissingKind::kHost;
  // Id of the host or domain.
  std::string id;
  // The reason, for operators.
  std::string why;
  auto operator<=>(const MissingConfirmation&) const = default;
};

// Decides whether a change, such as the take-out of a domain from service, is
// in force: every control and entry process of the domain has applied it or has
// provably stopped acting. The functions are free of side effects.
class TakeOutTracker {
 public:
  explicit TakeOutTracker(TakeOutLimits limits = {},
                          PlantedFault fault = PlantedFault::kNone)
      : limits_(limits), fault_(fault) {}

  // The hosts and domains that keep the change from being in force at `now`;
  // empty when it is.
  std::vector<MissingConfirmation> Missing(const TakeOutQuery& query,
                                           base::Instant now) const;
  // The domains that are out of service, have no live authority and provably
  // run no task any more. `query.revision` and `query.domains` are not used.
  std::set<base::DomainId> StoppedDomains(
      const TakeOutQuery& query,
      const std::map<base::DomainId, cluster::DomainState>& states,
      base::Instant now) const;

 private:
  struct DomainView;

  DomainView ViewOf(const cluster::DomainConfiguration& domain,
                    const TakeOutQuery& query) const;
  void AddMissing(const DomainView& view,
                  const TakeOutQuery& query,
                  base::Instant now,
                  std::vector<MissingConfirmation>& missing) const;
  // The following two return an empty string when the process, which has not
  // applied the change, has provably stopped acting.
  std::string WhyControlMissing(const DomainView& view,
                                const ProcessObservation& process,
                                base::Instant now) const;
  std::string WhyEntryMissing(const DomainView& view,
                              const ProcessObservation& process,
                              base::Instant now) const;
  // Whether a process last heard from at `last_heard` has stopped acting
  // because the autonomy limit of its domain has passed.
  bool AutonomyRunOut(const DomainView& view,
                      base::Instant last_heard,
                      base::Instant now) const;
  base::Duration WithDrift(base::Duration duration) const;

  TakeOutLimits limits_;
  PlantedFault fault_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_TAKE_OUT_TRACKER_H_
