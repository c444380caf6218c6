#ifndef WIGEONSTAIR_LIBRARIES_JOBS_CUSTOMER_CAP_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_CUSTOMER_CAP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/strong_id.h"
#include "jobs/configuration.h"
#include "jobs/customer_accounts.h"
#include "jobs/job.h"

namespace wigeonstair::jobs {

// Limits what a customer may have running across all workers. Pure functions.
// In a cap, 0 is no limit; the demand of a task counts in full, also where its
// processor time is not counted against the capacity of a worker.

// Tasks of one step that wait for a placement.
struct CapRequest {
  Resources task;
  std::uint32_t count = 0;
  // All of the tasks start or none.
  bool gang = false;

  auto operator<=>(const CapRequest&) const = default;
};

// Whether `in_use` is above the cap in any dimension.
bool ExceedsCap(const Resources& cap, const Resources& in_use);

// How many tasks of the request may start while the customer has `in_use`
// running. None while that is above the cap in any dimension, also one that the
// tasks do not need: a cap that was lowered starts nothing until the customer
// is back within it.
// Load pattern: a few large customers, each of which sends more than its share
// of the fleet.
std::uint32_t TasksWithinCap(const Resources& cap,
                             const Resources& in_use,
                             const CapRequest& request);

// Returns why a job can never run whole under the customer's cap, or empty when
// it can: a task, or all tasks of a gang together, need more than the cap.
// Load pattern: a customer whose cap was lowered sends gangs of the old size.
std::optional<std::string> FindCapFault(const Resources& cap,
                                        const JobSpec& spec);

// The caps of a configuration, by customer. Customers without a limit are left
// out.
class CustomerCaps {
 public:
  // Takes over the caps of a configuration if its version is another one.
  void Sync(const Configuration& configuration);

  bool empty() const { return caps_.empty(); }
  // Null when the customer has no limit or is not known.
  const Resources* Find(const base::CustomerId& customer) const;
  const std::map<base::CustomerId, Resources>& all() const { return caps_; }

  bool IsExceeded(const base::CustomerId& customer,
                  const CustomerAccounts& accounts) const;
  // Whether room under the cap should be left to a step that it holds back: the
  // step can start once other runs of the customer have ended, and these use
  // most of the cap.
  // Load pattern: a customer at its cap with gangs and, less urgent, small
  // tasks that take each accelerator as it becomes free.
  bool ShouldHoldRoom(const base::CustomerId& customer,
                      const StepSpec& step,
                      const CustomerAccounts& accounts) const;
  // Why a step waits of which no task may start under the cap.
  std::string_view WaitReason(const base::CustomerId& customer,
                              const StepSpec& step) const;

 private:
  std::uint64_t version_ = 0;
  std::map<base::CustomerId, Resources> caps_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_CUSTOMER_CAP_H_
