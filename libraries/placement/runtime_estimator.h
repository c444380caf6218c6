#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RUNTIME_ESTIMATOR_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RUNTIME_ESTIMATOR_H_

#include <map>
#include <string>
#include <utility>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/job.h"

namespace wigeonstair::placement {

struct RuntimeEstimate {
  base::Duration typical{0};
  // Most runs are shorter than this.
  base::Duration upper{0};
};

// Estimates run times by customer and job class from completed runs. Declared
// run times may be wrong by a factor of ten either way, so a declared time has
// the weight of one observed run.
class RuntimeEstimator {
 public:
  RuntimeEstimate Estimate(const cluster::JobSpecification& job) const;
  void Observe(const cluster::JobSpecification& job, base::Duration run);

 private:
  // Statistics of the natural logarithm of the run time in seconds.
  struct History {
    double count = 0;
    double mean = 0;
    double squares = 0;  // Sum of squared differences from the mean.
  };

  std::map<std::pair<base::CustomerId, std::string>, History> histories_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RUNTIME_ESTIMATOR_H_
