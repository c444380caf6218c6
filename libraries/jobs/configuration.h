#ifndef WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong_id.h"
#include "jobs/job.h"

namespace wigeonstair::jobs {

// Scheduling policy of the jobs of a queue.
struct QueuePolicy {
  // 0 is the highest priority; such jobs are urgent and may preempt others.
  std::uint32_t priority = 0;
  // Number of failed runs of a task or gang after which its job fails.
  std::uint32_t max_attempts = 1;
  // A job should complete within `stretch` times the duration of its critical
  // path plus `completion_target_ms`.
  double stretch = 1.0;
  std::uint32_t completion_target_ms = 0;

  bool operator==(const QueuePolicy&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(priority, max_attempts, stretch, completion_target_ms);
  }
};

// Accepts the jobs that are posted to one host below one path prefix.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  // The pool of workers that runs its tasks.
  std::string pool;
  QueuePolicy policy;
  // Calls need no key.
  bool open_to_all = false;
  // Timeout of one call.
  std::uint32_t timeout_ms = 0;
  // The advice service decides which workers may run the tasks.
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
  // Accelerators that are guaranteed to the customer's jobs of priority 0;
  // other jobs are preempted for them.
  std::uint64_t guaranteed_accelerators = 0;
  // The customer's share, in proportion to the others, when the fleet is full.
  // Finite and not negative.
  double weight = 1;
  // What the customer may have running in total; 0 is no limit.
  Resources cap;

  bool operator==(const Customer&) const = default;

  // Without `weight` and `cap`; see CustomerLimits.
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, keys, guaranteed_accelerators);
  }
};

// What was added to a customer after the first format of the log. Stored behind
// the configuration, and only for customers with values other than the
// defaults: earlier versions read and write configurations without them.
struct CustomerLimits {
  // Index into the customers of the configuration.
  std::uint32_t customer = 0;
  double weight = 1;
  Resources cap;

  bool operator==(const CustomerLimits&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(customer, weight, cap);
  }
};

// The queue that a path belongs to, and the part of the path after the prefix.
struct QueueMatch {
  const Queue* queue = nullptr;
  std::string_view rest;
};

// The configuration set by operators. The highest version is in force.
struct Configuration {
  // 0 while no configuration was accepted.
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Customer> customers;

  bool operator==(const Configuration&) const = default;

  // Finds the queue of the host with the longest prefix of `path`.
  std::optional<QueueMatch> Match(std::string_view host,
                                  std::string_view path) const;
  // Whether any queue sends its tasks to the pool.
  bool UsesPool(std::string_view pool) const;
  // The customer that owns a key, or null.
  const Customer* FindCustomer(std::string_view key) const;
  const Customer* FindCustomer(const base::CustomerId& id) const;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(version, queues, customers);
  }
};

std::vector<CustomerLimits> LimitsOf(const Configuration& configuration);
void SetLimits(Configuration& configuration,
               const std::vector<CustomerLimits>& limits);

// Writes the limits as the last part of a body, or nothing when all are the
// defaults.
template <typename Archive>
void SaveLimits(Archive& archive, const Configuration& configuration) {
  if (const auto limits = LimitsOf(configuration); !limits.empty())
    archive(limits);
}

// Reads what SaveLimits() wrote.
template <typename Archive>
void LoadLimits(Archive& archive, Configuration& configuration) {
  if (archive.remaining() == 0)
    return;
  std::vector<CustomerLimits> limits;
  archive(limits);
  SetLimits(configuration, limits);
}

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_CONFIGURATION_H_
