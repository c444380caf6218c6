#include "routing/service_gate.h"

#include "routing/snapshot.h"

namespace wigeonstair::routing {

ServiceGate::ServiceGate(ServiceGateOptions options)
    : limit_(options.limit), queue_(options.queue) {}

void ServiceGate::Wait(const base::CustomerId& customer,
                       int weight,
                       base::Instant deadline,
                       base::Instant now,
                       ResumeCallback resume,
                       SpillPermission spill) {
  DeferredCallbacks deferred;
  {
    const std::lock_guard lock(mutex_);
    const std::uint64_t ticket = ++next_ticket_;
    callbacks_.emplace(ticket, std::move(resume));
    ShedAll(queue_.Push({.ticket = ticket,
                         .customer = customer,
                         .weight = weight,
                         .deadline = deadline,
                         .spill = spill},
                        now),
            deferred);
    waiting_.store(static_cast<int>(queue_.size()), std::memory_order_release);
  }
  for (auto& [callback, result] : deferred)
    callback(std::move(result));
}

void ServiceGate::Pump(base::Instant now,
                       const ReserveSlot& reserve,
                       const ReserveForwardTarget& forward) {
  if (!RequestsWait())
    return;
  DeferredCallbacks deferred;
  {
    const std::lock_guard lock(mutex_);
    ShedAll(queue_.Expire(now), deferred);
    while (queue_.size() > 0 && GrantNext(now, reserve, deferred)) {
    }
    while (forward && queue_.size() > 0 &&
           ForwardNext(now, forward, deferred)) {
    }
    waiting_.store(static_cast<int>(queue_.size()), std::memory_order_release);
  }
  // Without the lock, because a resumed request may call this gate again.
  for (auto& [callback, result] : deferred)
    callback(std::move(result));
}

void ServiceGate::RefuseNonSpillable(ReasonCode reason) {
  DeferredCallbacks deferred;
  {
    const std::lock_guard lock(mutex_);
    ShedAll(queue_.RemoveNonSpillable(reason), deferred);
    waiting_.store(static_cast<int>(queue_.size()), std::memory_order_release);
  }
  for (auto& [callback, result] : deferred)
    callback(std::move(result));
}

bool ServiceGate::GrantNext(base::Instant now,
                            const ReserveSlot& reserve,
                            DeferredCallbacks& deferred) {
  if (!limit_.TryEnter())
    return false;
  std::optional<ReservedUpstream> upstream = reserve();
  if (!upstream) {
    limit_.Leave();
    return false;
  }
  std::vector<ShedRequest> shed;
  const std::optional<std::uint64_t> ticket = queue_.Pop(now, shed);
  ShedAll(shed, deferred);
  if (!ticket) {
    upstream->load->Release();
    limit_.Leave();
    return false;
  }
  deferred.emplace_back(TakeCallback(*ticket),
                        AdmissionResult(std::move(*upstream)));
  return true;
}

bool ServiceGate::ForwardNext(base::Instant now,
                              const ReserveForwardTarget& forward,
                              DeferredCallbacks& deferred) {
  std::optional<ForwardTarget> target = forward();
  if (!target)
    return false;
  std::vector<ShedRequest> shed;
  const std::optional<std::uint64_t> ticket =
      queue_.Pop(now, shed, PopFrom::kMaySpill);
  ShedAll(shed, deferred);
  if (!ticket) {
    target->load->Release();
    return false;
  }
  deferred.emplace_back(TakeCallback(*ticket),
                        AdmissionResult(std::move(*target)));
  return true;
}

void ServiceGate::ShedAll(const std::vector<ShedRequest>& shed,
                          DeferredCallbacks& deferred) {
  for (const ShedRequest& one : shed)
    deferred.emplace_back(TakeCallback(one.ticket),
                          AdmissionResult(one.reason));
}

ServiceGate::ResumeCallback ServiceGate::TakeCallback(std::uint64_t ticket) {
  const auto found = callbacks_.find(ticket);
  ResumeCallback resume = std::move(found->second);
  callbacks_.erase(found);
  return resume;
}

void ServiceGate::RecordService(base::Duration service_time) {
  const std::unique_lock lock(mutex_, std::try_to_lock);
  if (lock.owns_lock())
    queue_.RecordService(service_time);
}

}  // namespace wigeonstair::routing
