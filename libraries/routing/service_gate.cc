#include "routing/service_gate.h"

#include "routing/snapshot.h"

namespace wigeonstair::routing {

ServiceGate::ServiceGate(ServiceGateOptions options)
    : limit_(options.limit), queue_(options.queue) {}

void ServiceGate::Wait(const base::CustomerId& customer,
                       int weight,
                       base::Instant deadline,
                       base::Instant now,
                       Resume resume,
                       SpillPermission spill) {
  Resumed resumed;
  {
    const std::lock_guard lock(mutex_);
    const std::uint64_t ticket = ++next_ticket_;
    resumes_.emplace(ticket, std::move(resume));
    ShedAll(queue_.Push({.ticket = ticket,
                         .customer = customer,
                         .weight = weight,
                         .deadline = deadline,
                         .spill = spill},
                        now),
            resumed);
    waiting_.store(static_cast<int>(queue_.size()), std::memory_order_release);
  }
  for (auto& [callback, turn] : resumed)
    callback(std::move(turn));
}

void ServiceGate::Pump(base::Instant now,
                       const Reserve& reserve,
                       const Forward& forward) {
  if (!RequestsWait())
    return;
  Resumed resumed;
  {
    const std::lock_guard lock(mutex_);
    ShedAll(queue_.Expire(now), resumed);
    while (queue_.size() > 0 && GrantOne(now, reserve, resumed)) {
    }
    while (forward && queue_.size() > 0 && ForwardOne(now, forward, resumed)) {
    }
    waiting_.store(static_cast<int>(queue_.size()), std::memory_order_release);
  }
  // Outside of the lock, because a resumed request may come back here.
  for (auto& [callback, turn] : resumed)
    callback(std::move(turn));
}

void ServiceGate::RefuseNonSpillable(ReasonCode reason) {
  Resumed resumed;
  {
    const std::lock_guard lock(mutex_);
    ShedAll(queue_.RemoveNonSpillable(reason), resumed);
    waiting_.store(static_cast<int>(queue_.size()), std::memory_order_release);
  }
  for (auto& [callback, turn] : resumed)
    callback(std::move(turn));
}

bool ServiceGate::GrantOne(base::Instant now,
                           const Reserve& reserve,
                           Resumed& resumed) {
  if (!limit_.TryEnter())
    return false;
  std::optional<ReservedUpstream> upstream = reserve();
  if (!upstream) {
    limit_.Leave();
    return false;
  }
  std::vector<ShedRequest> shed;
  const std::optional<std::uint64_t> ticket = queue_.Pop(now, shed);
  ShedAll(shed, resumed);
  if (!ticket) {
    upstream->load->Release();
    limit_.Leave();
    return false;
  }
  resumed.emplace_back(Take(*ticket), AdmissionResult(std::move(*upstream)));
  return true;
}

bool ServiceGate::ForwardOne(base::Instant now,
                             const Forward& forward,
                             Resumed& resumed) {
  std::optional<ForwardTarget> target = forward();
  if (!target)
    return false;
  std::vector<ShedRequest> shed;
  const std::optional<std::uint64_t> ticket =
      queue_.Pop(now, shed, PopFrom::kMaySpill);
  ShedAll(shed, resumed);
  if (!ticket) {
    target->load->Release();
    return false;
  }
  resumed.emplace_back(Take(*ticket), AdmissionResult(std::move(*target)));
  return true;
}

void ServiceGate::ShedAll(const std::vector<ShedRequest>& shed,
                          Resumed& resumed) {
  for (const ShedRequest& one : shed)
    resumed.emplace_back(Take(one.ticket), AdmissionResult(one.reason));
}

ServiceGate::Resume ServiceGate::Take(std::uint64_t ticket) {
  const auto found = resumes_.find(ticket);
  Resume resume = std::move(found->second);
  resumes_.erase(found);
  return resume;
}

void ServiceGate::RecordService(base::Duration service_time) {
  const std::unique_lock lock(mutex_, std::try_to_lock);
  if (lock.owns_lock())
    queue_.RecordService(service_time);
}

}  // namespace wigeonstair::routing
