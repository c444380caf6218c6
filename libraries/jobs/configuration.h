#ifndef WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong_id.h"

namespace wigeonstair::jobs {

// How the jobs of a queue are treated.
struct QueuePolicy {
  // 0 comes first and may preempt others.
  std::uint32_t priority = 0;
  // Failed runs of a task, or of a gang, until its job fails.
  std::uint32_t max_attempts = 1;
  // The objective of a job is `stretch` times the work of its longest chain of
  // steps and `completion_target_ms` more.
  double stretch = 1.0;
  std::uint32_t completion_target_ms = 0;

  bool operator==(const QueuePolicy&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(priority, max_attempts, stretch, completion_target_ms);
  }
};

// Jobs that are posted below one host and path prefix.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  // The pool of workers that runs its tasks.
  std::string pool;
  QueuePolicy policy;
  // Whether calls need no key.
  bool open_to_all = false;
  // For an answer to one call.
  std::uint32_t timeout_ms = 0;
  // Workers must be allowed by the advice service.
  bool needs_advice = false;

  bool operator==(const Queue&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(name, host, path_prefix, pool, policy, open_to_all, timeout_ms,
            needs_advice);
  }
};

struct Customer {
  base::CustomerId id;
  std::vector<std::string> keys;
  // Accelerators that are there for its jobs of priority 0 at all times.
  std::uint64_t guaranteed_accelerators = 0;

  bool operator==(const Customer&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, keys, guaranteed_accelerators);
  }
};

// The queue that a path belongs to, and what follows its prefix.
struct QueueMatch {
  const Queue* queue = nullptr;
  std::string_view rest;
};

// What operators set. The newest version is in force.
struct Configuration {
  // 0: none was accepted yet.
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Customer> customers;

  bool operator==(const Configuration&) const = default;

  // The queue with the longest prefix that `path` begins with.
  std::optional<QueueMatch> Match(std::string_view host,
                                  std::string_view path) const;
  // The customer that owns a key, or null.
  const Customer* FindCustomer(std::string_view key) const;
  const Customer* FindCustomer(const base::CustomerId& id) const;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(version, queues, customers);
  }
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_H_
