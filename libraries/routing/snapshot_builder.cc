#include "routing/snapshot_builder.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace wigeonstair::routing {

namespace {

// The slots that this host may use on an upstream. Reduced during slow start,
// but to no less than one, so that a new upstream gets requests by which its
// health can be evaluated.
std::int32_t HostLimit(const Announcement& announcement,
                       const SlotShare& share,
                       double weight,
                       base::Instant now) {
  const int limit =
      std::min(share.Share(announcement.slots, announcement.id, now),
               share.Share(announcement.connections, announcement.id, now));
  if (limit == 0)
    return 0;
  return std::max(1, static_cast<std::int32_t>(std::ceil(limit * weight)));
}

}  // namespace

SnapshotBuilder::SnapshotBuilder(SnapshotBuilderOptions options)
    : options_(std::move(options)), health_(options_.health) {}

std::unique_ptr<const Snapshot> SnapshotBuilder::Build(
    const std::vector<KnownUpstream>& upstreams,
    const SlotShare& share,
    const ClusterView& view,
    const std::vector<RemoteService>& remotes,
    base::Instant now) {
  auto snapshot = std::make_unique<Snapshot>();
  snapshot->version = ++version_;
  snapshot->own_domain = options_.own_domain;
  snapshot->revision = view.revision;
  const auto is_out = [&](const base::DomainId& domain) {
    return std::find(view.domains_out.begin(), view.domains_out.end(),
                     domain) != view.domains_out.end();
  };
  snapshot->own_domain_service =
      is_out(options_.own_domain) ? DomainService::kOut : DomainService::kIn;
  for (const auto& [service, usable] : UsableUpstreams(upstreams))
    AddService(*snapshot, service, usable, share, now);
  for (const RemoteService& remote : remotes) {
    if (is_out(remote.remote.domain) ||
        remote.remote.domain == options_.own_domain)
      continue;
    RemoteDomain domain = remote.remote;
    domain.load =
        remote_loads_.try_emplace({remote.service, domain.domain}, domain.load)
            .first->second;
    FindOrAddService(*snapshot, remote.service)
        .remotes.push_back(std::move(domain));
  }
  AddCustomers(*snapshot, view);
  RemoveUnused(upstreams, view);
  return snapshot;
}

SnapshotBuilder::ByService SnapshotBuilder::UsableUpstreams(
    const std::vector<KnownUpstream>& upstreams) {
  ByService usable;
  for (const KnownUpstream& known : upstreams) {
    if (known.state != UpstreamState::kAlive)
      continue;
    std::shared_ptr<UpstreamLoad>& load =
        upstream_loads_[known.announcement.id];
    if (load == nullptr)
      load = std::make_shared<UpstreamLoad>();
    usable[known.announcement.service].push_back(
        UsableUpstream{.known = &known, .load = load});
  }
  return usable;
}

void SnapshotBuilder::AddService(Snapshot& snapshot,
                                 const std::string& service,
                                 const std::vector<UsableUpstream>& usable,
                                 const SlotShare& share,
                                 base::Instant now) {
  std::vector<HealthTracker::Candidate> candidates;
  candidates.reserve(usable.size());
  for (const UsableUpstream& one : usable) {
    candidates.push_back({.id = one.known->announcement.id,
                          .usable_since = one.known->usable_since,
                          .load = one.load.get()});
  }
  const std::vector<HealthVerdict> verdicts = health_.Evaluate(candidates, now);
  ServiceEntry& entry = FindOrAddService(snapshot, service);
  entry.upstreams.reserve(usable.size());
  for (std::size_t index = 0; index < usable.size(); ++index) {
    const Announcement& announcement = usable[index].known->announcement;
    const HealthVerdict& verdict = verdicts[index];
    entry.upstreams.push_back(UpstreamEntry{
        .announcement = announcement,
        .health = verdict.state,
        .limit = HostLimit(announcement, share, verdict.weight, now),
        .weight = verdict.weight,
        .load = usable[index].load});
  }
}

ServiceEntry& SnapshotBuilder::FindOrAddService(Snapshot& snapshot,
                                                const std::string& service) {
  std::shared_ptr<ServiceGate>& gate = gates_[service];
  if (gate == nullptr)
    gate = std::make_shared<ServiceGate>(options_.gate);
  ServiceEntry& entry = snapshot.services[service];
  entry.gate = gate;
  return entry;
}

void SnapshotBuilder::AddCustomers(Snapshot& snapshot,
                                   const ClusterView& view) {
  for (const cluster::CustomerConfiguration& customer : view.customers) {
    std::shared_ptr<CustomerLoad>& load = customer_loads_[customer.id];
    if (load == nullptr)
      load = std::make_shared<CustomerLoad>();
    snapshot.customers.emplace(
        customer.id.value(),
        CustomerEntry{.weight = std::max(1, customer.request_weight),
                      .limit = customer.maximum_concurrent_requests,
                      .load = load});
  }
}

// Removes the loads of upstreams that are unknown and have no requests in
// progress, and of customers that are no longer configured. Requests in
// progress keep their customer's load alive; if the customer returns, it starts
// with a new one.
void SnapshotBuilder::RemoveUnused(const std::vector<KnownUpstream>& upstreams,
                                   const ClusterView& view) {
  std::set<base::UpstreamId> known;
  for (const KnownUpstream& upstream : upstreams)
    known.insert(upstream.announcement.id);
  std::erase_if(upstream_loads_, [&](const auto& entry) {
    if (known.contains(entry.first) ||
        entry.second->in_progress.load(std::memory_order_acquire) > 0)
      return false;
    health_.RemoveRecord(entry.first);
    return true;
  });
  std::erase_if(customer_loads_, [&](const auto& entry) {
    return std::none_of(
        view.customers.begin(), view.customers.end(),
        [&](const auto& customer) { return customer.id == entry.first; });
  });
}

}  // namespace wigeonstair::routing
