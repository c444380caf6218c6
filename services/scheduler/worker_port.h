#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_WORKER_PORT_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_WORKER_PORT_H_

#include <functional>

#include "jobs/actions.h"

namespace wigeonstair::scheduler {

// Interface for calls to workers. `done` runs exactly once, on any thread. The
// implementation times out calls that a worker does not answer.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  virtual void Start(const jobs::StartAction& call,
                     std::function<void(jobs::CallAnswer)> done) = 0;
  virtual void Stop(const jobs::StopAction& call,
                    std::function<void(jobs::CallAnswer)> done) = 0;
  // Acknowledges ends only to the incarnation that the call names; otherwise it
  // acknowledges nothing, and the answer says so.
  virtual void Hold(const jobs::HoldAction& call,
                    std::function<void(jobs::HoldAnswer)> done) = 0;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_WORKER_PORT_H_
