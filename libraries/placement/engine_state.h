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
  // False if the current configuration does not contain this customer.
  bool configured = false;
  int borrowed_accelerators = 0;
};

// The complete state of the engine. The parts of the engine are functions on
// this state, one file per part.
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
  // Customers are never removed, so that indexes stay valid.
  std::deque<CustomerRecord> customers = {};
  std::map<base::CustomerId, int> customer_indexes = {};
  std::map<base::JobId, Job> jobs = {};
  std::deque<base::JobId> ended_jobs = {};
  std::int64_t next_sequence = 1;
  // Shared by all jobs, so that a job that was released and assigned again does
  // not reuse an attempt number.
  std::int64_t last_attempt = 0;
  JobQueue queue = {};
  RuntimeEstimator estimator = {};
  MigrationCost migration_cost;
  // Jobs with a deadline, ordered by time and then by sequence.
  std::set<std::tuple<base::Instant, std::int64_t, Job*>> timers = {};
  // Jobs that wait for preempted borrowed tasks to stop, by sequence.
  std::map<std::int64_t, Job*> reclaiming = {};
  // Jobs that hold resources, by sequence.
  std::map<std::int64_t, Job*> active = {};
  std::vector<Reservation> reservations = {};

  // Set when a change may allow a waiting job to start.
  bool pass_needed = false;
  base::Instant last_pass_at = {};
  // Set when the next pass must plan the reservations again.
  bool replan_reservations = false;
  base::Instant last_reservations_at = {};
  base::Instant next_orphan_stop_at = {};
  base::Instant last_defragmentation_at = {};

  // Receives the decisions of the current step; null between steps.
  std::vector<Decision>* decisions = nullptr;

  bool HasFault(PlantedFault fault) const {
    return options.planted_fault == fault;
  }
  bool MayStart() const {
    return !recovering && (status == DomainStatus::kIn ||
                           HasFault(PlantedFault::kStartWhileOut));
  }
  // Returns whether at least some jobs may start. During recovery these are the
  // jobs that no former authority can have started, and only on guaranteed
  // cells of their customers.
  bool MayStartSomeJobs() const {
    return MayStart() || (recovering && status == DomainStatus::kIn);
  }
  Job* FindJob(const base::JobId& id) {
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
  }

  void Emit(Decision decision) { decisions->push_back(std::move(decision)); }
  // Sets the current reason of the job and adds it to the entries that
  // Explain() returns.
  void RecordReason(Job& job, std::string_view decision, Reason reason);
  // Sets or clears the time at which HandleDeadline() is called for the job.
  void SetDeadline(Job& job, std::optional<base::Instant> deadline);
};

inline void AppendTo(std::string& text, std::string_view part) {
  text += part;
}
inline void AppendTo(std::string& text, std::int64_t part) {
  text += std::to_string(part);
}
// Concatenates strings and integers.
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
