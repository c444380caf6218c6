#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_MIGRATION_COST_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_MIGRATION_COST_H_

#include "base/monotonic_clock.h"

namespace wigeonstair::placement {

// Estimates the run time that a task loses to one migration (checkpoint and
// stop, then prepare and start) from observed stops and resumed starts.
class MigrationCost {
 public:
  // `expected` is the initial estimate.
  explicit MigrationCost(base::Duration expected)
      : stop_(expected / 2), start_(expected / 2) {}

  // Time from the checkpoint directive until the job held no resources.
  void ObserveStop(base::Duration duration);
  // Time from the prepare directive until a job that resumes from a checkpoint
  // was running.
  void ObserveStart(base::Duration duration);

  base::Duration value() const;

 private:
  base::Duration stop_;
  base::Duration start_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_MIGRATION_COST_H_
