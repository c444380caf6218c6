#ifndef WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_

#include <optional>
#include <string>
#include <variant>

#include "jobs/api.h"
#include "jobs/job_store.h"

namespace wigeonstair::jobs {

// A call whose queue was found and whose key was checked.
struct AdmittedCall {
  const Queue* queue = nullptr;
  // Empty when the queue is open to all and the key belongs to no customer.
  base::CustomerId customer;
  // Empty when the call concerns the queue itself.
  base::JobId job;
};

// Resolves the queue, customer and job of a call, or returns the reply that
// rejects it. The queue pointer refers to the store.
std::variant<AdmittedCall, Reply> AdmitCall(const JobStore& store,
                                            const CallTarget& target);

// Returns why the specification is invalid, or empty when it is valid.
std::optional<std::string> ValidateJobSpec(const JobSpec& spec);

// Returns the job of an admitted call, or null when it does not exist or
// belongs to another customer.
const JobRecord* VisibleJob(const JobStore& store, const AdmittedCall& call);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_
