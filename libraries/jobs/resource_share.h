#ifndef WIGEONSTAIR_LIBRARIES_JOBS_RESOURCE_SHARE_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_RESOURCE_SHARE_H_

#include "jobs/job.h"

namespace wigeonstair::jobs {

// Resources as real numbers: expected work (resources times milliseconds),
// decayed peaks and parts of a fleet.
struct ResourceAmounts {
  // Millicores.
  double cpu = 0;
  double memory_mb = 0;
  double accelerators = 0;

  bool operator==(const ResourceAmounts&) const = default;
};

ResourceAmounts AmountsOf(const Resources& resources);
// Rounds down; negative amounts become 0.
Resources WholeResources(const ResourceAmounts& amounts);

ResourceAmounts operator+(const ResourceAmounts& a, const ResourceAmounts& b);
ResourceAmounts operator-(const ResourceAmounts& a, const ResourceAmounts& b);
ResourceAmounts operator*(double factor, const ResourceAmounts& amounts);

// The larger amount of each resource.
ResourceAmounts Larger(const ResourceAmounts& a, const ResourceAmounts& b);

// `part` without the resources that `whole` lacks.
ResourceAmounts PresentIn(const ResourceAmounts& part, const Resources& whole);

// The largest share that `part` takes of any resource of `whole` (the dominant
// share). Infinite when it takes of a resource that `whole` lacks.
double DominantShare(const ResourceAmounts& part, const ResourceAmounts& whole);
double DominantShare(const Resources& part, const Resources& whole);

// How often `unit` fits into `room`, as a real number: the resource that runs
// out first decides. Infinite when the unit is empty.
double TimesContained(const Resources& unit, const Resources& room);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_RESOURCE_SHARE_H_
