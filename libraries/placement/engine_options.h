#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_OPTIONS_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/monotonic_clock.h"
#include "cluster/configuration.h"
#include "placement/events.h"

namespace wigeonstair::placement {

// Faults that tests inject to verify that the property tests detect them.
// Production code uses kNone.
enum class PlantedFault : std::uint8_t {
  kNone,
  kClaimWithoutCell,        // Borrowed jobs are marked as guaranteed.
  kStartBeforeAllPrepared,  // A gang starts once one member is prepared.
  kKeepGangAfterFailure,    // Members keep running when another one fails.
  kIgnoreStartTimeout,      // A start that gets no answer never times out.
  kStartWhileOut,           // Tasks start while the domain is out.
  kGrantTwice,              // Accelerators of running tasks count as free.
  kDropCheckpointedJobs,    // Jobs that a drain stopped are not requeued.
  kIgnoreInfeasibleJobs,    // An infeasible job is dropped without a reply.
  kStartAnyInRecovery,      // Jobs start that may run on unreported workers.
};

struct EngineOptions {
  cluster::DomainConfiguration domain = {};
  std::vector<cluster::CustomerConfiguration> customers = {};
  // The status of the domain when the engine is created.
  DomainStatus status = DomainStatus::kIn;
  DrainMode drain_mode = DrainMode::kHoldForReturn;
  base::Instant created_at = {};
  // All attempt numbers are greater than this. Pass the fencing epoch shifted
  // left by 20 bits, so that task keys of different authorities never collide.
  std::int64_t attempt_base = 0;

  // Three worker report intervals of 1 s (section 3.6 of the design page).
  base::Duration recovery_period = std::chrono::seconds(3);
  base::Duration tick_period = std::chrono::milliseconds(100);
  // Minimum time between two passes over the queue. Urgent jobs do not wait for
  // the next pass.
  base::Duration pass_interval = std::chrono::milliseconds(20);
  base::Duration prepare_timeout = std::chrono::seconds(5);
  base::Duration start_timeout = std::chrono::seconds(5);
  base::Duration stop_retry_interval = std::chrono::seconds(5);
  // A borrowed task whose checkpoint takes longer is stopped without it.
  base::Duration checkpoint_grace = std::chrono::seconds(15);
  // The same limit for urgent claims. An urgent job must start within 4 s
  // (section 1.5 of the design page): 1 s to reach the worker, 1 s for the
  // checkpoint, and 2 s for stop, prepare and start.
  base::Duration urgent_checkpoint_grace = std::chrono::seconds(2);
  // A job that needs only part of a guaranteed cell and is not urgent waits
  // this long before it preempts borrowed jobs. Without the delay, bursts of
  // small jobs that run for a few seconds preempt gangs: the p99 wait of gangs
  // is 6,541 s at 0 s and 3,936 s at 10 s (benchmark deployment Scheldebloem at
  // 0.9 load).
  base::Duration claim_preemption_delay = std::chrono::seconds(10);
  // A job fails permanently after failures on this many healthy workers.
  int maximum_failures = 3;
  // A worker is ejected after this many consecutive failures.
  int ejection_failures = 3;
  base::Duration ejection_period = std::chrono::seconds(60);
  base::Duration maximum_ejection_period = std::chrono::minutes(30);
  // Share of the registered workers that may be ejected at the same time.
  int maximum_ejected_percent = 30;
  // A job may run on reserved accelerators if it is expected to end at most
  // this long after the reservation starts. Predicted starts are inaccurate,
  // and accelerators that are kept free for them are idle: the mean completion
  // time of small jobs is 1.29 times the lower bound without the tolerance
  // and 1.06 times with it (geometric mean of both benchmark deployments at 0.7
  // and 0.9 load over five seeds).
  base::Duration backfill_tolerance = std::chrono::seconds(120);
  // A gang that has waited this long may preempt small borrowed jobs, and
  // borrowed gangs that were submitted after it.
  base::Duration gang_preemption_delay = std::chrono::minutes(30);
  // A borrowed gang yields only if at least this many short jobs wait. The mean
  // completion time in the benchmark differs by less than 2% between 3 and 6.
  int minimum_jobs_for_yield = 6;
  // A borrowed gang runs for at least this multiple of the migration cost
  // before it yields, so that it loses at most a tenth of its time to stops.
  // The mean completion time of Scheldebloem at 0.9 load is 87.3 s at 5, 86.4 s
  // at 10 and 90.7 s at 30.
  int run_to_migration_ratio = 10;
  // A borrowed gang that has lost more time than this since its submission no
  // longer yields to short jobs.
  base::Duration maximum_yield_loss = std::chrono::hours(2);
  // Initial estimate of the run time that a task loses to one migration
  // (checkpoint, stop and start). MigrationCost replaces it by measured values.
  base::Duration migration_cost = std::chrono::seconds(30);
  // Jobs examined in one pass over the queue.
  int maximum_jobs_per_pass = 512;
  // Ended jobs that are kept for Explain().
  int retained_ended_jobs = 10'000;

  PlantedFault planted_fault = PlantedFault::kNone;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_OPTIONS_H_
