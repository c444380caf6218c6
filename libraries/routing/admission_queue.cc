#include "routing/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonstair::routing {

namespace {

// Moving average over about 32 samples; over fewer it swings with single slow
// answers.
base::Duration Average(base::Duration before, base::Duration sample) {
  constexpr int kSamples = 32;
  return before.count() == 0 ? sample : before + (sample - before) / kSamples;
}

}  // namespace

bool AdmissionQueue::CanFinish(base::Instant deadline,
                               base::Duration patience,
                               base::Instant now) const {
  // A caller with little time is not shed while half of it is left.
  const base::Duration needed =
      std::max(service_time_, std::min(needed_time(), patience / 2));
  return options_.fault == QueueFault::kNoShedding || now + needed <= deadline;
}

std::vector<ShedRequest> AdmissionQueue::Push(const WaitingRequest& waiting,
                                              base::Instant now) {
  const base::Duration patience = waiting.deadline - now;
  if (!CanFinish(waiting.deadline, patience, now)) {
    return {ShedRequest{.ticket = waiting.ticket,
                        .reason = ReasonCode::kDeadlineUnreachable}};
  }
  Customer& customer = customers_[waiting.customer];
  if (customer.by_deadline.empty() &&
      options_.fault != QueueFault::kSaveTurns) {
    // A customer that was idle does not catch up on turns it did not use.
    customer.turn = std::max(customer.turn, virtual_time_);
  }
  customer.weight = std::max(1, waiting.weight);
  customer.by_deadline.emplace(waiting.deadline, Entry{.ticket = waiting.ticket,
                                                       .patience = patience,
                                                       .spill = waiting.spill});
  ++size_;
  if (size_ <= options_.maximum_length)
    return {};
  // Room that expired requests hold is used before anybody is shed for it.
  std::vector<ShedRequest> shed = Expire(now);
  if (size_ > options_.maximum_length) {
    shed.push_back(ShedLatest(options_.fault == QueueFault::kNoFairness
                                  ? customers_.find(waiting.customer)
                                  : MostOverShare()));
  }
  return shed;
}

AdmissionQueue::Customers::iterator AdmissionQueue::MostOverShare() {
  const auto held = [](const Customers::value_type& entry) {
    return static_cast<double>(entry.second.by_deadline.size()) /
           entry.second.weight;
  };
  return std::max_element(customers_.begin(), customers_.end(),
                          [&](const auto& left, const auto& right) {
                            return held(left) < held(right);
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

AdmissionQueue::Entries::iterator AdmissionQueue::First(Entries& entries,
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
    if (First(entry->second.by_deadline, from) ==
        entry->second.by_deadline.end())
      continue;
    if (next == customers_.end() || entry->second.turn < next->second.turn)
      next = entry;
  }
  if (next == customers_.end())
    return std::nullopt;
  Customer& customer = next->second;
  virtual_time_ = customer.turn;
  customer.turn += options_.fault == QueueFault::kIgnoreWeights
                       ? 1.0
                       : 1.0 / customer.weight;
  const auto first = First(customer.by_deadline, from);
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
           !CanFinish(waiting.begin()->first, waiting.begin()->second.patience,
                      now)) {
      shed.push_back({.ticket = waiting.begin()->second.ticket,
                      .reason = ReasonCode::kDeadlineUnreachable});
      waiting.erase(waiting.begin());
      --size_;
    }
    // An idle customer is forgotten once the others have passed its turn.
    const bool idle = waiting.empty() && entry->second.turn <= virtual_time_;
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
