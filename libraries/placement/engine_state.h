#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_STATE_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_STATE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "placement/cell_hierarchy.h"
#include "placement/decisions.h"
#include "placement/engine_options.h"
#include "placement/events.h"
#include "placement/free_index.h"
#include "placement/guarantee_ledger.h"
#include "placement/job_queue.h"
#include "placement/job_record.h"
#include "placement/migration_cost.h"
#include "placement/reservation.h"
#include "placement/runtime_estimator.h"

namespace wigeonstair::placement {

struct CustomerRecord {
  cluster::CustomerConfiguration configuration = {};
  // False after a configuration without this customer.
  bool configured = false;
  int borrowed_accelerators = 0;
};

// Everything that the engine knows. The parts of the engine are functions of
// this state; each part has a file of its own.
struct EngineState {
  explicit EngineState(EngineOptions engine_options)
      : options(std::move(engine_options)),
        migration_cost(options.migration_cost) {}

  EngineOptions options = {};
  base::Instant now = {};
  DomainStatus status = DomainStatus::kIn;
  DrainMode drain_mode = DrainMode::kHoldForReturn;
  bool drained_reported = false;
  bool recovering = true;
  base::Instant recovery_deadline = {};

  CellHierarchy hierarchy = {};
  GuaranteeLedger ledger = {};
  FreeIndex free_index = {};
  // Positions are stable; customers are never removed.
  std::deque<CustomerRecord> customers = {};
  std::map<base::CustomerId, int> customer_indexes = {};
  std::map<base::JobId, Job> jobs = {};
  std::deque<base::JobId> ended_jobs = {};
  std::int64_t next_sequence = 1;
  // Shared by all jobs, so that a job that was released and came back does not
  // use an attempt number again.
  std::int64_t last_attempt = 0;
  JobQueue queue = {};
  RuntimeEstimator estimator = {};
  MigrationCost migration_cost;
  // Jobs with a deadline, by time and then by sequence.
  std::set<std::tuple<base::Instant, std::int64_t, Job*>> timers = {};
  // Jobs that wait for borrowed tasks to stop, by sequence.
  std::map<std::int64_t, Job*> reclaiming = {};
  // Jobs that hold resources, by sequence.
  std::map<std::int64_t, Job*> active = {};
  std::vector<Reservation> reservations = {};

  // True when something changed that may let a waiting job start.
  bool pass_needed = false;
  base::Instant last_pass_at = {};
  // True when the next pass plans the reservations again.
  bool replan_reservations = false;
  base::Instant last_reservations_at = {};
  base::Instant next_orphan_stop_at = {};
  base::Instant last_defragmentation_at = {};

  std::vector<Decision>* decisions = nullptr;

  bool HasFault(PlantedFault fault) const {
    return options.planted_fault == fault;
  }
  bool MayStart() const {
    return !recovering && (status == DomainStatus::kIn ||
                           HasFault(PlantedFault::kStartWhileOut));
  }
  // Whether some job may start. In recovery only those may that the former
  // authority cannot have started, on what is their customers' own.
  bool MayStartSomeJobs() const {
    return MayStart() || (recovering && status == DomainStatus::kIn);
  }
  Job* FindJob(const base::JobId& id) {
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
  }

  void Emit(Decision decision) { decisions->push_back(std::move(decision)); }
  // Sets the job's current reason and keeps it for Explain().
  void RecordReason(Job& job, std::string_view decision, Reason reason);
  void SetDeadline(Job& job, std::optional<base::Instant> deadline);
};

// Joins texts and numbers.
inline void AppendTo(std::string& text, std::string_view part) {
  text += part;
}
inline void AppendTo(std::string& text, std::int64_t part) {
  text += std::to_string(part);
}
template <typename... Parts>
std::string Join(const Parts&... parts) {
  std::string text;
  (AppendTo(text, parts), ...);
  return text;
}

inline TaskKey KeyOf(const Job& job, int member) {
  return {.job = job.specification.id, .index = member, .attempt = job.attempt};
}
inline TaskPlace PlaceOf(const EngineState& state, const Job& job, int member) {
  return {.task = KeyOf(job, member),
          .worker = state.hierarchy.slot(job.members[member].slot).worker};
}

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_ENGINE_STATE_H_
