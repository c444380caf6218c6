#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_OPTIONS_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/monotonic_clock.h"
#include "cluster/configuration.h"
#include "placement/events.h"

namespace wigeonstair::placement {

// Faults that tests switch on to show that a property test catches them.
// Production code leaves this at kNone.
enum class PlantedFault : std::uint8_t {
  kNone,
  kClaimWithoutCell,        // Borrowed work counts as guaranteed.
  kStartBeforeAllPrepared,  // A gang starts when its first member prepared.
  kKeepGangAfterFailure,    // Members go on when another member failed.
  kIgnoreStartTimeout,      // A lost start is never noticed.
  kStartWhileOut,           // A domain that is out goes on starting tasks.
  kGrantTwice,              // Accelerators of running tasks count as free.
  kDropCheckpointedJobs,    // Jobs stopped by a drain are not queued again.
  kIgnoreInfeasibleJobs,    // A job that can never run gets no answer.
  kStartAnyInRecovery,      // Jobs start that may run on unreported workers.
};

struct EngineOptions {
  cluster::DomainConfiguration domain = {};
  std::vector<cluster::CustomerConfiguration> customers = {};
  // A domain that is out when the engine starts must say so here.
  DomainStatus status = DomainStatus::kIn;
  DrainMode drain_mode = DrainMode::kHoldForReturn;
  base::Instant created_at = {};
  // Attempt numbers are above this. Pass the fencing epoch shifted left by 20
  // bits, so that a task of an earlier authority never has the same key as a
  // new one.
  std::int64_t attempt_base = 0;

  // Three report intervals of 1 s; section 3.6 of the design page.
  base::Duration recovery_period = std::chrono::seconds(3);
  base::Duration tick_period = std::chrono::milliseconds(100);
  // At most one pass over the queue in this time, except for urgent work.
  base::Duration pass_interval = std::chrono::milliseconds(20);
  base::Duration prepare_timeout = std::chrono::seconds(5);
  base::Duration start_timeout = std::chrono::seconds(5);
  base::Duration stop_retry_interval = std::chrono::seconds(5);
  // A borrowed task is stopped when its checkpoint takes longer.
  base::Duration checkpoint_grace = std::chrono::seconds(15);
  // For urgent claims: 1 s to reach the worker, 1 s for the checkpoint, and 2 s
  // for stop, prepare and start give the 4 s of section 1.5.
  base::Duration urgent_checkpoint_grace = std::chrono::seconds(2);
  // A job that needs only part of a guaranteed cell and is not urgent waits
  // this long before borrowed work is stopped for it. Without it, bursts of
  // small jobs stop gangs for runs of a few seconds: the p99 wait of gangs was
  // 6,541 s at 0 s and 3,936 s at 10 s (Scheldebloem at 0.9 load in the
  // benchmark).
  base::Duration claim_preemption_delay = std::chrono::seconds(10);
  // A job fails for good after it failed on this many workers in good health.
  int maximum_failures = 3;
  // A worker is ejected after this many failures in a row.
  int ejection_failures = 3;
  base::Duration ejection_period = std::chrono::seconds(60);
  base::Duration maximum_ejection_period = std::chrono::minutes(30);
  // Share of the registered workers that may be ejected at once.
  int maximum_ejected_percent = 30;
  // A job may run on reserved accelerators when it is expected to end at most
  // this long after the reservation starts. Predicted starts are rough, and
  // accelerators that wait for them do nothing: without it the mean completion
  // of small jobs was 1.29 times the lower bound, with it 1.06 (geometric mean
  // of both deployments at 0.7 and 0.9 load over five seeds).
  base::Duration backfill_tolerance = std::chrono::seconds(120);
  // A gang that waited this long may stop small borrowed jobs, and borrowed
  // gangs that were submitted after it.
  base::Duration gang_preemption_delay = std::chrono::minutes(30);
  // A borrowed gang yields to at least this many short jobs. The mean
  // completion of the benchmark is the same within 2% at 3 and 6.
  int minimum_jobs_for_yield = 6;
  // It runs this many times the cost of a migration before it yields, so that
  // it loses at most a tenth of its time to stops. At 30 the mean completion of
  // Scheldebloem at 0.9 load is 90.7 s, at 10 it is 86.4 s, at 5 it is 87.3 s.
  int run_to_migration_ratio = 10;
  // A borrowed gang that lost this much time since its submission does not
  // yield to short jobs any more.
  base::Duration maximum_yield_loss = std::chrono::hours(2);
  // Time of work that one migration costs a task: checkpoint, stop, start. Used
  // until migrations were seen; see MigrationCost.
  base::Duration migration_cost = std::chrono::seconds(30);
  // Jobs looked at in one pass over the queue.
  int maximum_jobs_per_pass = 512;
  // Ended jobs that Explain() still knows.
  int retained_ended_jobs = 10'000;

  PlantedFault planted_fault = PlantedFault::kNone;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_OPTIONS_H_
