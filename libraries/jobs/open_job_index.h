#ifndef WIGEONSTAIR_LIBRARIES_JOBS_OPEN_JOB_INDEX_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_OPEN_JOB_INDEX_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/decision.h"
#include "jobs/job_store.h"

namespace wigeonstair::jobs {

// The tasks of a step that wait for a placement.
struct ReadyStep {
  StepRef step;
  const JobRecord* job = nullptr;
  const StepSpec* spec = nullptr;
  std::vector<std::uint32_t> waiting;
  // How many of these the cap of the customer allows to place now.
  std::uint32_t allowed = 0;
  std::uint64_t due_ms = 0;
  std::uint64_t objective_ms = 0;
  double work_ms = 0;
  // Of the step, in the index.
  std::size_t shape = 0;

  bool operator==(const ReadyStep&) const = default;
};

struct ReadySteps {
  // Owned by the index, until it is refreshed.
  std::vector<ReadyStep*> steps;
  // Steps with tasks that wait for the end of an earlier run, and the first
  // of these tasks.
  std::vector<std::pair<TaskRef, const JobRecord*>> held;
};

// Whether a task without a placement can get one.
enum class TaskHold {
  kNone,
  // It is placed, and the command is not committed yet.
  kProposed,
  // An earlier run of it may not have ended, or may have been its last attempt.
  kEarlierRun,
};

// Properties that decide on which workers the tasks of a step fit, apart from
// their number.
struct StepShape {
  Resources task;
  std::string pool;
  std::string required_label;
  std::string data_rack;
  std::uint32_t max_per_worker = 0;
  bool fills = false;
  bool rack_local = false;
  bool urgent = false;

  auto operator<=>(const StepShape&) const = default;
};

struct NumberedShape {
  StepShape shape;
  // The number of the same shape without a limit of tasks on a worker, without
  // `fills` and without `rack_local`.
  std::size_t without_limits = 0;
};

// Index of the open jobs: their steps that are ready, and the tasks of each
// that wait. Looks only at jobs that were changed by a command, whose runs were
// changed, or that have a due time since the last refresh.
// Load pattern: thousands of waiting tasks and a round of decisions after each
// event, which changes a few jobs.
class OpenJobIndex {
 public:
  using HoldOf = std::function<TaskHold(const JobRecord&,
                                        const TaskRef&,
                                        const TaskProgress*,
                                        const Now&)>;

  // `store` outlives the index. `hold_of` tells the hold of a task without a
  // placement; the owner calls Touch when its result may have changed.
  OpenJobIndex(const JobStore& store, HoldOf hold_of);

  void Clear();
  void Touch(const base::JobId& job) { touched_.insert(job); }
  // Brings the index up to date. Includes occurrences that are due by
  // `due_by_ms`, in milliseconds since the Unix epoch.
  void Refresh(std::uint64_t due_by_ms, const Now& now);

  // Of the last refresh.
  std::uint64_t due_by_ms() const { return due_by_ms_; }

  // All ready steps and held tasks. The expected times of the steps are those
  // that the caller set before. A caller that changes `waiting` calls Touch.
  ReadySteps Ready();
  // The accelerators that all steps of the open jobs of priority 0 of each
  // customer need in total. Customers that need none may be missing.
  const std::map<base::CustomerId, std::uint64_t>& urgent_need() const {
    return urgent_need_;
  }
  // Calls `visit(job, step, tasks)` for each step of the open jobs that do not
  // repeat; `tasks` is the number of tasks without a placement.
  template <typename Visitor>
  void VisitUnplaced(Visitor visit) const {
    for (const auto& [id, entry] : entries_) {
      for (std::uint32_t step = 0; step < entry.unplaced.size(); ++step)
        visit(*entry.job, step, entry.unplaced[step]);
    }
  }
  // The shapes of the steps, by their numbers.
  const std::vector<NumberedShape>& shapes() const { return shapes_; }

  // Whether another index holds the same, apart from the expected times and the
  // numbers of shapes. For tests.
  bool HasSameContent(const OpenJobIndex& other) const;

 private:
  struct Entry {
    const JobRecord* job = nullptr;
    std::vector<ReadyStep> steps;
    std::vector<TaskRef> held;
    // The first due time that was not reached yet.
    std::optional<std::uint64_t> next_due_ms;
    // Kept apart, since `job` may no longer exist when the entry is removed.
    base::CustomerId customer;
    std::uint64_t urgent_need = 0;
    // The tasks without a placement of each step; empty for jobs that repeat.
    std::vector<std::uint32_t> unplaced;
  };

  void Rebuild(const Now& now);
  void Update(const base::JobId& id, const Now& now);
  void Remove(const base::JobId& id);
  void SubtractUrgentNeed(const Entry& entry);
  Entry MakeEntry(const JobRecord& job, const Now& now);
  void AddStep(const JobRecord& job,
               const StepRef& step,
               std::uint64_t due_ms,
               const Now& now,
               Entry& entry);
  std::size_t NumberOf(const StepShape& shape);

  const JobStore& store_;
  const HoldOf hold_of_;
  // Of the changes in the store.
  std::uint64_t revision_ = 0;
  std::uint64_t due_by_ms_ = 0;
  std::set<base::JobId> touched_;
  std::map<base::JobId, Entry> entries_;
  // The entries with ready steps or held tasks.
  std::map<base::JobId, Entry*> waiting_;
  // Due times that were not reached yet.
  std::set<std::pair<std::uint64_t, base::JobId>> due_;
  std::map<base::CustomerId, std::uint64_t> urgent_need_;
  std::vector<NumberedShape> shapes_;
  std::map<StepShape, std::size_t> shape_numbers_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_OPEN_JOB_INDEX_H_
