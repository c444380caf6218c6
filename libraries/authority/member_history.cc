#include "authority/member_history.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::authority {

namespace {

// The number of hosts that are in exactly one of the lists.
std::size_t CountDifference(const MemberList& a, const MemberList& b) {
  const auto missing = [](const MemberList& from, const MemberList& in) {
    return std::count_if(
        from.hosts.begin(), from.hosts.end(),
        [&](const base::HostId& host) { return !in.hosts.contains(host); });
  };
  return static_cast<std::size_t>(missing(a, b) + missing(b, a));
}

}  // namespace

bool MemberHistory::Contains(const base::HostId& host) const {
  return current_.hosts.contains(host);
}

bool MemberHistory::ListsHost(const base::HostId& host) const {
  return Contains(host) || std::any_of(old_lists_.begin(), old_lists_.end(),
                                       [&](const OldList& old) {
                                         return old.list.hosts.contains(host);
                                       });
}

bool MemberHistory::Apply(MemberList list, base::Instant now) {
  if (list.version <= current_.version)
    return false;
  // A version with the same hosts replaces the former one, which need not be
  // kept: any majorities of the two share a host.
  if (list.hosts != current_.hosts && !current_.hosts.empty())
    old_lists_.push_back({.list = current_, .lost_majority_at = std::nullopt});
  current_ = std::move(list);
  MarkLostMajorities(now);
  return true;
}

void MemberHistory::SawVersion(const base::HostId& host,
                               std::uint64_t version,
                               base::Instant now) {
  std::uint64_t& known = versions_[host];
  if (version <= known)
    return;
  known = version;
  MarkLostMajorities(now);
}

void MemberHistory::MarkLostMajorities(base::Instant now) {
  for (OldList& old : old_lists_) {
    const auto may_vote = std::count_if(
        old.list.hosts.begin(), old.list.hosts.end(),
        [&](const base::HostId& host) {
          const auto known = versions_.find(host);
          return known == versions_.end() || known->second <= old.list.version;
        });
    if (!old.lost_majority_at &&
        static_cast<std::size_t>(may_vote) < old.list.majority())
      old.lost_majority_at = now;
  }
}

void MemberHistory::SawRetired(std::uint64_t version) {
  retired_version_ = std::max(retired_version_, version);
  std::erase_if(old_lists_, [&](const OldList& old) {
    return old.list.version <= version;
  });
}

void MemberHistory::DropRetired(base::Instant now) {
  // Stops at the first list that is not retired, because retired_version()
  // covers all lists up to it.
  while (!old_lists_.empty() && old_lists_.front().lost_majority_at &&
         now >= *old_lists_.front().lost_majority_at + longest_lease_)
    SawRetired(old_lists_.front().list.version);
}

bool MemberHistory::MayCompete() const {
  return std::all_of(old_lists_.begin(), old_lists_.end(),
                     [&](const OldList& old) {
                       return CountDifference(old.list, current_) <= 1;
                     });
}

std::set<base::HostId> MemberHistory::AllHosts() const {
  std::set<base::HostId> hosts = current_.hosts;
  for (const OldList& old : old_lists_)
    hosts.insert(old.list.hosts.begin(), old.list.hosts.end());
  return hosts;
}

}  // namespace wigeonstair::authority
