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

// Returns why a report of a worker must not be recorded, or empty when it may
// be. An incarnation that deregistered gets no tasks, and is told so if it says
// that it is ready. A worker of a pool that no queue uses must not take the
// place of one that runs tasks: under the id or at the address of another, the
// report would end that worker's runs here while they go on there.
std::optional<std::string> ValidateWorker(const JobStore& store,
                                          const WorkerDescription& worker);

// Returns the incarnation that a deregistration ends, or empty when it ends
// none. One that does not name its incarnation may have been held back until
// another one runs under the id. A worker drains before it leaves, so only an
// incarnation that drains is taken for the one that leaves.
std::optional<WorkerIncarnation> FindLeaving(const JobStore& store,
                                             const WorkerLeftCall& call);

// Whether the job came by the queue and the customer of the call; without a key
// the customer is empty on both sides. Only then the call may read it, cancel
// it or take it for its own.
bool Owns(const AdmittedCall& call, const JobRecord& job);

// Returns the job of an admitted call, or null when it does not exist or came
// by another queue or customer.
const JobRecord* VisibleJob(const JobStore& store, const AdmittedCall& call);

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_ADMISSION_H_
