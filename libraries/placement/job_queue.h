#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_QUEUE_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_QUEUE_H_

#include <map>
#include <vector>

#include "placement/job_record.h"

namespace wigeonstair::placement {

// The waiting jobs in queue order. Jobs are removed by key in logarithmic time,
// so that many cancellations at once do not take quadratic time.
class JobQueue {
 public:
  using Order = std::map<QueueKey, Job*>;

  // The queue position of a job with `left` of its run time remaining.
  // `priority` is the customer's.
  static QueueKey KeyOf(const Job& job, int priority, base::Duration left);

  // Sets the key of the job and adds it to the queue.
  void Add(Job& job, int priority);
  void Remove(Job& job);

  const Order& order() const { return order_; }
  // The waiting jobs of one customer.
  const Order& order_of(int customer) const;
  std::size_t size() const { return order_.size(); }

 private:
  Order order_;
  std::vector<Order> by_customer_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_QUEUE_H_
