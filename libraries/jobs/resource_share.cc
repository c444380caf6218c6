#include "jobs/resource_share.h"

#include <algorithm>
#include <limits>

namespace wigeonstair::jobs {

namespace {

double ShareOf(double part, double whole) {
  if (part <= 0)
    return 0;
  return whole > 0 ? part / whole : std::numeric_limits<double>::infinity();
}

std::uint64_t Whole(double amount) {
  return static_cast<std::uint64_t>(std::max(amount, 0.0));
}

}  // namespace

ResourceAmounts AmountsOf(const Resources& resources) {
  return {.cpu = static_cast<double>(resources.cpu),
          .memory_mb = static_cast<double>(resources.memory_mb),
          .accelerators = static_cast<double>(resources.accelerators)};
}

Resources WholeResources(const ResourceAmounts& amounts) {
  return {.cpu = Whole(amounts.cpu),
          .memory_mb = Whole(amounts.memory_mb),
          .accelerators = Whole(amounts.accelerators)};
}

ResourceAmounts operator+(const ResourceAmounts& a, const ResourceAmounts& b) {
  return {.cpu = a.cpu + b.cpu,
          .memory_mb = a.memory_mb + b.memory_mb,
          .accelerators = a.accelerators + b.accelerators};
}

ResourceAmounts operator-(const ResourceAmounts& a, const ResourceAmounts& b) {
  return a + -1 * b;
}

ResourceAmounts operator*(double factor, const ResourceAmounts& amounts) {
  return {.cpu = factor * amounts.cpu,
          .memory_mb = factor * amounts.memory_mb,
          .accelerators = factor * amounts.accelerators};
}

ResourceAmounts Larger(const ResourceAmounts& a, const ResourceAmounts& b) {
  return {.cpu = std::max(a.cpu, b.cpu),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators)};
}

ResourceAmounts PresentIn(const ResourceAmounts& part, const Resources& whole) {
  return {.cpu = whole.cpu > 0 ? part.cpu : 0,
          .memory_mb = whole.memory_mb > 0 ? part.memory_mb : 0,
          .accelerators = whole.accelerators > 0 ? part.accelerators : 0};
}

double DominantShare(const ResourceAmounts& part,
                     const ResourceAmounts& whole) {
  return std::max({ShareOf(part.cpu, whole.cpu),
                   ShareOf(part.memory_mb, whole.memory_mb),
                   ShareOf(part.accelerators, whole.accelerators)});
}

double DominantShare(const Resources& part, const Resources& whole) {
  return DominantShare(AmountsOf(part), AmountsOf(whole));
}

double TimesContained(const Resources& unit, const Resources& room) {
  const double share = DominantShare(unit, room);
  return share > 0 ? 1 / share : std::numeric_limits<double>::infinity();
}

}  // namespace wigeonstair::jobs
