#include "services/control/member_list_follower.h"

#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "net/address.h"

namespace wigeonstair::control {

namespace {

// A host that cannot reach the leader after its start acts alone after this
// time. Longer than a host that can reach it needs to catch up, so that a host
// that an operator had confirmed to be stopped does not act on an old list.
constexpr base::Duration kAloneAfter = std::chrono::seconds(5);

// The election's version of a host list in force at `revision`. Version 0 is
// the empty list that the election starts with, and 1 that of the settings.
constexpr std::uint64_t VersionAt(std::uint64_t revision) {
  return revision + 1;
}
constexpr std::uint64_t kSettingsVersion = 1;

}  // namespace

MemberListFollower::MemberListFollower(MemberListFollowerOptions options)
    : options_(options) {}

void MemberListFollower::Tick(bool caught_up, base::Instant now) {
  if (!follows()) {
    if (!MayFollow(caught_up, now)) {
      FollowSettings(now);
      return;
    }
    follows_.store(true, std::memory_order_release);
  }
  FollowLists();
  FollowStoppedHosts();
  ProposeRetirement();
}

bool MemberListFollower::MayFollow(bool caught_up, base::Instant now) const {
  if (options_.cluster->revision() == 0)
    return false;
  if (caught_up)
    return true;
  // A host with a disk has at least the state that it had applied before.
  return !options_.settings->data_folder.empty() &&
         now >= options_.started + kAloneAfter;
}

// A host without a disk that restarts in a domain that is cut off still votes,
// so that the domain goes on. It can start nothing itself.
// FIXME: It has forgotten newer lists. When the domain's lists changed by more
// than one host before the restart, two hosts can hold the lease until a worker
// fences the older epoch.
void MemberListFollower::FollowSettings(base::Instant now) {
  if (!options_.settings->data_folder.empty() || version_ != 0 ||
      now < options_.started + kAloneAfter)
    return;
  std::map<base::HostId, std::string> hosts;
  for (const cluster::HostConfiguration& host : options_.settings->hosts) {
    if (host.domain == options_.settings->domain)
      hosts[host.id] = host.control_messages;
  }
  SetMembers(hosts, kSettingsVersion);
}

void MemberListFollower::FollowLists() {
  const std::uint64_t known = revision();
  std::vector<cluster::HostList> lists;
  std::uint64_t revision = known;
  options_.cluster->Read([&](const cluster::ClusterState& state) {
    revision = state.revision();
    if (revision != known)
      lists = state.host_lists().lists(options_.settings->domain);
  });
  if (revision == known)
    return;
  for (std::size_t i = 0; i < lists.size(); ++i) {
    // Each host gives a replaced list its last possible version, so that all of
    // them mean the same by a retired version.
    const bool last = i + 1 == lists.size();
    SetMembers(lists[i].hosts,
               last ? VersionAt(revision) : lists[i + 1].revision);
  }
  revision_.store(revision, std::memory_order_release);
}

void MemberListFollower::SetMembers(
    const std::map<base::HostId, std::string>& hosts,
    std::uint64_t version) {
  if (version <= version_)
    return;
  version_ = version;
  authority::MemberAddresses members;
  for (const auto& host : hosts) {
    const auto address =
        base::Capture([&] { return net::ParseAddress(host.second); });
    if (const auto* value = std::get_if<net::Address>(&address))
      members[host.first] = *value;
  }
  options_.authority->SetMembers(members, version);
}

void MemberListFollower::FollowStoppedHosts() {
  const auto stopped = options_.cluster->Read(
      [](const cluster::ClusterState& state) { return state.stopped_hosts(); });
  for (const auto& [host, revision] : stopped)
    SawRevision(host, revision);
}

void MemberListFollower::SawRevision(const base::HostId& host,
                                     std::uint64_t revision) {
  options_.authority->SawListApplied(host, VersionAt(revision));
}

void MemberListFollower::ProposeRetirement() {
  const std::uint64_t retired = options_.authority->retired_version();
  const bool useful =
      options_.cluster->Read([&](const cluster::ClusterState& state) {
        const auto& lists = state.host_lists().lists(options_.settings->domain);
        return lists.size() > 1 && lists[1].revision <= retired;
      });
  if (!useful || proposing_->exchange(true))
    return;
  options_.access->Propose(
      cluster::RetireHostLists{.domain = options_.settings->domain,
                               .revision = retired},
      [proposing = proposing_](const CommandOutcome&) {
        proposing->store(false);
      });
}

}  // namespace wigeonstair::control
