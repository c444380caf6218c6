#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_JOB_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_JOB_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "cluster/configuration.h"

namespace wigeonstair::cluster {

enum class Urgency : std::uint8_t {
  kNormal,
  // Starts within 4 s when the customer's guarantee covers it.
  kUrgent,
};

// What to do when the required adjacency is not available soon.
enum class AdjacencyFallback : std::uint8_t { kWait, kAnywhere };

// A job as submitted: a gang of identical tasks. A single-task job is a gang of
// one.
struct JobSpecification {
  base::JobId id;
  base::CustomerId customer;
  // Groups similar jobs: run times are estimated per customer and class.
  std::string job_class;
  int tasks = 1;
  int accelerators_per_task = 0;
  int cores_per_task = 1;
  int memory_megabytes_per_task = 256;
  // The level that must contain the whole gang.
  CellLevel adjacency = CellLevel::kDomain;
  AdjacencyFallback fallback = AdjacencyFallback::kWait;
  // As declared by the customer; may be off by a factor of ten.
  std::int64_t declared_run_milliseconds = 0;
  Urgency urgency = Urgency::kNormal;
  // Failure domains that may run the job; empty means any.
  std::vector<base::DomainId> allowed_domains;
  // Opaque to the scheduler; passed to the tasks.
  std::string payload;

  auto operator<=>(const JobSpecification&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, customer, job_class, tasks, accelerators_per_task,
            cores_per_task, memory_megabytes_per_task, adjacency, fallback,
            declared_run_milliseconds, urgency, allowed_domains, payload);
  }
};

enum class JobOutcome : std::uint8_t {
  kNone,  // The job has not ended.
  kFinished,
  kFailed,
  kCancelled,
  kRefused,
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_JOB_H_
