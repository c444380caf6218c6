#include "routing/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonstair::routing {

namespace {

// Exponential moving average over about 32 samples. Over fewer samples, single
// slow answers change it too much.
base::Duration Average(base::Duration before, base::Duration sample) {
  constexpr int kSamples = 32;
  return before.count() == 0 ? sample : before + (sample - before) / kSamples;
}

}  // namespace

bool AdmissionQueue::CanMeetDeadline(base::Instant deadline,
                                     base::Duration time_budget,
                                     base::Instant now) const {
  // The margin for the deviation is limited to half of the initial time budget,
  // so that requests with short deadlines are not shed immediately.
  const base::Duration needed =
      std::max(service_time_, std::min(needed_time(), time_budget / 2));
  return options_.fault == QueueFault::kNoShedding || now + needed <= deadline;
}

std::vector<ShedRequest> AdmissionQueue::Push(const WaitingRequest& waiting,
                                              base::Instant now) {
  const base::Duration time_budget = waiting.deadline - now;
  if (!CanMeetDeadline(waiting.deadline, time_budget, now)) {
    return {ShedRequest{.ticket = waiting.ticket,
                        .reason = ReasonCode::kDeadlineUnreachable}};
  }
  Customer& customer = customers_[waiting.customer];
  if (customer.by_deadline.empty() &&
      options_.fault != QueueFault::kCreditIdleCustomers) {
    // A customer that was idle gets no credit for the time it was idle.
    customer.virtual_start = std::max(customer.virtual_start, virtual_time_);
  }
  customer.weight = std::max(1, waiting.weight);
  customer.by_deadline.emplace(waiting.deadline,
                               Entry{.ticket = waiting.ticket,
                                     .time_budget = time_budget,
                                     .spill = waiting.spill});
  ++size_;
  if (size_ <= options_.maximum_length)
    return {};
  // Expired requests are removed first; others are shed only if the queue is
  // still full.
  std::vector<ShedRequest> shed = Expire(now);
  if (size_ > options_.maximum_length) {
    shed.push_back(ShedLatest(options_.fault == QueueFault::kNoFairness
                                  ? customers_.find(waiting.customer)
                                  : LargestRelativeBacklog()));
  }
  return shed;
}

AdmissionQueue::Customers::iterator AdmissionQueue::LargestRelativeBacklog() {
  const auto relative_backlog = [](const Customers::value_type& entry) {
    return static_cast<double>(entry.second.by_deadline.size()) /
           entry.second.weight;
  };
  return std::max_element(customers_.begin(), customers_.end(),
                          [&](const auto& left, const auto& right) {
                            return relative_backlog(left) <
                                   relative_backlog(right);
                          });
}

ShedRequest AdmissionQueue::ShedLatest(Customers::iterator customer) {
  auto& waiting = customer->second.by_deadline;
  const auto latest = std::prev(waiting.end());
  const std::uint64_t ticket = latest->second.ticket;
  waiting.erase(latest);
  --size_;
  return ShedRequest{.ticket = ticket, .reason = ReasonCode::kQueueFull};
}

AdmissionQueue::Entries::iterator AdmissionQueue::FirstEligible(
    Entries& entries,
    PopFrom from) {
  return std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
    return from == PopFrom::kAll ||
           entry.second.spill == SpillPermission::kAllowed;
  });
}

std::optional<std::uint64_t> AdmissionQueue::Pop(base::Instant now,
                                                 std::vector<ShedRequest>& shed,
                                                 PopFrom from) {
  for (const ShedRequest& expired : Expire(now))
    shed.push_back(expired);
  auto next = customers_.end();
  for (auto entry = customers_.begin(); entry != customers_.end(); ++entry) {
    if (FirstEligible(entry->second.by_deadline, from) ==
        entry->second.by_deadline.end())
      continue;
    if (next == customers_.end() ||
        entry->second.virtual_start < next->second.virtual_start)
      next = entry;
  }
  if (next == customers_.end())
    return std::nullopt;
  Customer& customer = next->second;
  virtual_time_ = customer.virtual_start;
  customer.virtual_start += options_.fault == QueueFault::kIgnoreWeights
                                ? 1.0
                                : 1.0 / customer.weight;
  const auto first = FirstEligible(customer.by_deadline, from);
  const std::uint64_t ticket = first->second.ticket;
  customer.by_deadline.erase(first);
  --size_;
  return ticket;
}

std::vector<ShedRequest> AdmissionQueue::Expire(base::Instant now) {
  std::vector<ShedRequest> shed;
  for (auto entry = customers_.begin(); entry != customers_.end();) {
    auto& waiting = entry->second.by_deadline;
    while (!waiting.empty() &&
           !CanMeetDeadline(waiting.begin()->first,
                            waiting.begin()->second.time_budget, now)) {
      shed.push_back({.ticket = waiting.begin()->second.ticket,
                      .reason = ReasonCode::kDeadlineUnreachable});
      waiting.erase(waiting.begin());
      --size_;
    }
    // An idle customer is removed once the virtual time has passed its start,
    // as its record then makes no difference to its next request.
    const bool idle =
        waiting.empty() && entry->second.virtual_start <= virtual_time_;
    entry = idle ? customers_.erase(entry) : std::next(entry);
  }
  return shed;
}

std::vector<ShedRequest> AdmissionQueue::RemoveNonSpillable(ReasonCode reason) {
  std::vector<ShedRequest> shed;
  for (auto& [id, customer] : customers_) {
    size_ -= std::erase_if(customer.by_deadline, [&](const auto& entry) {
      if (entry.second.spill == SpillPermission::kAllowed)
        return false;
      shed.push_back({.ticket = entry.second.ticket, .reason = reason});
      return true;
    });
  }
  return shed;
}

bool AdmissionQueue::Remove(std::uint64_t ticket) {
  for (auto& [id, customer] : customers_) {
    const auto found = std::find_if(
        customer.by_deadline.begin(), customer.by_deadline.end(),
        [&](const auto& entry) { return entry.second.ticket == ticket; });
    if (found == customer.by_deadline.end())
      continue;
    customer.by_deadline.erase(found);
    --size_;
    return true;
  }
  return false;
}

void AdmissionQueue::RecordService(base::Duration service_time) {
  if (service_time_.count() > 0) {
    const base::Duration distance = std::max(service_time, service_time_) -
                                    std::min(service_time, service_time_);
    deviation_ = Average(deviation_, distance);
  }
  service_time_ = Average(service_time_, service_time);
}

}  // namespace wigeonstair::routing
