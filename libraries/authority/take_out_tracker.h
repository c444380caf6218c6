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

// When the observer learned that a process had applied a revision. Keeps the
// newest entries; of an older revision it says the time of the oldest one kept,
// which is later and therefore safe.
class AppliedHistory {
 public:
  void Note(std::uint64_t revision, base::Instant now);
  std::uint64_t revision() const;
  // Empty when the process has not applied `revision`.
  std::optional<base::Instant> Since(std::uint64_t revision) const;

 private:
  std::map<std::uint64_t, base::Instant> since_;
};

// What the observer knows of one process.
struct ProcessObservation {
  Liveness liveness = Liveness::kDead;
  // The last moment at which the process may have been heard of.
  base::Instant last_heard{};
  AppliedHistory applied;
  // The process said that it holds its domain's authority.
  bool holds_authority = false;
};

// Host and role. A process that is not listed is dead since `observed_since`.
using ObservationMap =
    std::map<std::pair<base::HostId, ProcessRole>, ProcessObservation>;

// Added to the task lease: a worker checkpoints a task when its lease has run
// out, and stops it then.
inline constexpr base::Duration kLastCheckpointTime = std::chrono::seconds(5);

struct TakeOutLimits {
  base::Duration authority_lease = std::chrono::milliseconds(2000);
  // How long an entry process that is alone cut off may use an old view.
  base::Duration entry_grace = std::chrono::seconds(5);
  // How long a worker runs a task that nobody renews, with its checkpoint.
  base::Duration task_lease = std::chrono::seconds(10) + kLastCheckpointTime;
  int drift_percent = 1;
};

struct TakeOutQuery {
  // Outlive the call.
  const cluster::ClusterConfiguration* configuration = nullptr;
  const ObservationMap* observed = nullptr;
  std::uint64_t revision = 0;
  // When the observer applied `revision`, which is after its commit.
  base::Instant applied_here{};
  // When the observer started to listen.
  base::Instant observed_since{};
  // Empty means every domain.
  std::set<base::DomainId> domains;
};

enum class MissingKind : std::uint8_t { kHost, kDomain };

struct MissingConfirmation {
  MissingKind kind = MissingKind::kHost;
  // Of the host or domain.
  std::string id;
  std::string why;
  auto operator<=>(const MissingConfirmation&) const = default;
};

// Decides which changes are in force: every live control and entry process of
// the domain has applied it, or has provably stopped acting. Pure.
class TakeOutTracker {
 public:
  explicit TakeOutTracker(TakeOutLimits limits = {},
                          PlantedFault fault = PlantedFault::kNone)
      : limits_(limits), fault_(fault) {}

  // What keeps the change from being in force; empty when it is.
  std::vector<MissingConfirmation> Missing(const TakeOutQuery& query,
                                           base::Instant now) const;
  // Domains that are out, have no living authority and provably run nothing
  // any more. `query.revision` is not used.
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
  std::string WhyControlMissing(const DomainView& view,
                                const ProcessObservation& process,
                                base::Instant now) const;
  std::string WhyEntryMissing(const DomainView& view,
                              const ProcessObservation& process,
                              base::Instant now) const;
  bool AutonomyRunOut(const DomainView& view,
                      base::Instant last_heard,
                      base::Instant now) const;
  base::Duration WithDrift(base::Duration duration) const;

  TakeOutLimits limits_;
  PlantedFault fault_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_TAKE_OUT_TRACKER_H_
