#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_RESOURCES_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_RESOURCES_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace wigeonstair::placement {

// The resources that a worker offers or that a task uses.
struct Resources {
  int accelerators = 0;
  int cores = 0;
  int memory_megabytes = 0;

  // Lexicographic order for use as a container key.
  // FitsIn() tests whether one amount is covered by another.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const Resources&) const = default;

  Resources& operator+=(const Resources& other) {
    accelerators += other.accelerators;
    cores += other.cores;
    memory_megabytes += other.memory_megabytes;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    accelerators -= other.accelerators;
    cores -= other.cores;
    memory_megabytes -= other.memory_megabytes;
    return *this;
  }
  friend Resources operator+(Resources left, const Resources& right) {
    return left += right;
  }
  friend Resources operator-(Resources left, const Resources& right) {
    return left -= right;
  }
  friend Resources operator*(Resources left, int factor) {
    return {left.accelerators * factor, left.cores * factor,
            left.memory_megabytes * factor};
  }

  // Returns true if no amount exceeds the one in `available`.
  bool FitsIn(const Resources& available) const {
    return accelerators <= available.accelerators && cores <= available.cores &&
           memory_megabytes <= available.memory_megabytes;
  }
};

// Returns how many tasks fit into `available`, at most `limit`. Returns 0 if an
// amount of `available` is negative, which happens when the measured use of a
// worker exceeds its capacity.
inline int CountFitting(const Resources& task,
                        const Resources& available,
                        int limit) {
  if (!Resources{}.FitsIn(available))
    return 0;
  int count = limit;
  if (task.accelerators > 0)
    count = std::min(count, available.accelerators / task.accelerators);
  if (task.cores > 0)
    count = std::min(count, available.cores / task.cores);
  if (task.memory_megabytes > 0)
    count = std::min(count, available.memory_megabytes / task.memory_megabytes);
  return count;
}

// Returns the share of a worker's cores and memory that is proportional to
// `accelerators`, rounded down, together with these accelerators.
inline Resources ShareOf(const Resources& worker, int accelerators) {
  if (worker.accelerators == 0)
    return {};
  return {.accelerators = accelerators,
          .cores = worker.cores * accelerators / worker.accelerators,
          .memory_megabytes = static_cast<int>(
              static_cast<std::int64_t>(worker.memory_megabytes) *
              accelerators / worker.accelerators)};
}

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_RESOURCES_H_
