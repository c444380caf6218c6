#ifndef WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_

#include <optional>
#include <string>
#include <variant>

#include "jobs/api.h"
#include "jobs/job_store.h"

namespace wigeonstair::jobs {

// A call that names a queue, after its key was checked.
struct AdmittedCall {
  const Queue* queue = nullptr;
  // Empty when the queue is open to all and the key belongs to nobody.
  base::CustomerId customer;
  // Empty when the call is about the queue itself.
  base::JobId job;
};

// The queue and customer of a call, or the reply that ends it. The pointers
// refer to the store.
std::variant<AdmittedCall, Reply> AdmitCall(const JobStore& store,
                                            const CallTarget& target);

// What is wrong with a job in itself; empty when nothing is.
std::optional<std::string> ValidateJobSpec(const JobSpec& spec);

// The job of an admitted call if its customer may see it, or null.
const JobRecord* VisibleJob(const JobStore& store, const AdmittedCall& call);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_
